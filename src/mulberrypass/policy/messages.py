"""Messages between the holders of permits and the owner of a pool cell."""

from __future__ import annotations

import enum

from mulberrypass.model.value_class import value_class


class WorkClass(enum.StrEnum):
    """Classes of work; online work takes precedence over batch work."""

    ONLINE = "online"
    BATCH = "batch"


class RefusalReason(enum.StrEnum):
    """Why an owner refuses to admit work."""

    DEADLINE = "deadline"
    LATE_START = "late_start"
    QUEUE_FULL = "queue_full"
    CUSTOMER_LIMIT = "customer_limit"
    NO_BACKEND = "no_backend"
    NO_SPARE = "no_spare"
    NOT_OWNER = "not_owner"
    DRAINING = "draining"


class ReleaseOutcome(enum.StrEnum):
    """How the use of a permit ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@value_class
class Ask:
    """Requests a permit to send work to one backend server of a pool.

    :param ask_id: unique over the fleet; also names the permit
    :param holder: the member that requests the permit
    :param budget_s: seconds left until the work's deadline
    :param prompt_tokens: estimated prompt tokens to prefill
    :param output_tokens: estimated tokens to generate
    :param prefix: hashes of the leading prompt blocks, outermost first
    :param avoid: backend servers to exclude, for a retry or a hedge
    :param revocable: whether the permit may be revoked after the grant
    :param version: version that the backend server must have loaded; empty
        for any
    :param granted: backend server that already runs the work; reports a
        permit in use to a new owner, and is not answered
    :param start_within_s: seconds within which the work should start; 0 for
        no limit
    :param subject: identifies a caller's request across its attempts; 0
        if unknown
    :param repeat: whether this is a second run beside one that is late,
        which is granted only with room to spare
    """

    ask_id: str
    holder: str
    pool: str
    customer: str
    work_class: WorkClass
    budget_s: float
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()
    revocable: bool = False
    version: str = ""
    granted: str = ""
    start_within_s: float = 0.0
    subject: int = 0
    repeat: bool = False


@value_class
class Withdraw:
    """Cancels an ask that may still be queued."""

    ask_id: str


@value_class
class FirstToken:
    """Reports that the prefill of a permit's work is done.

    :param after_s: seconds from dispatch to the first token
    :param slowness: how long work takes on the server's machine at the
        moment, relative to its usual time; 0 if unknown
    """

    ask_id: str
    after_s: float
    slowness: float = 0.0


@value_class
class Release:
    """Reports that a permit is no longer in use.

    :param service_s: seconds from dispatch to the end
    :param tokens: number of tokens generated
    :param gap_s: 95th percentile of the gaps between tokens; 0 if unknown
    """

    ask_id: str
    outcome: ReleaseOutcome
    service_s: float = 0.0
    tokens: int = 0
    gap_s: float = 0.0


@value_class
class LimitReport:
    """Reports the limit that a backend server names.

    :param ask_id: the permit whose answer has named it; empty in a report
        to a new owner of what earlier answers said
    :param requests_per_s: requests that the server takes from all holders
        together; 0 if the answer names no limit
    """

    ask_id: str
    backend: str
    requests_per_s: float


@value_class
class PaceReport:
    """Reports the lasting pace of a backend server to a new owner.

    :param pace: time of a step relative to the median of its peers
    :param age_s: seconds since an owner has told it
    """

    backend: str
    pace: float
    age_s: float


PermitMessage = Withdraw | FirstToken | Release | LimitReport | PaceReport
HolderMessage = Ask | PermitMessage


@value_class
class Grant:
    """Permits work to be sent to a backend server.

    :param limit_per_s: known limit of the server in requests per second; 0
        for none. The holder reports what the answer says of it.
    :param pace: lasting pace of the server relative to its peers; 0 while
        it is unknown
    """

    ask_id: str
    backend: str
    limit_per_s: float = 0.0
    pace: float = 0.0


@value_class
class Refuse:
    """Rejects an ask; the work did not run.

    :param retry_after_s: seconds after which a new ask may succeed
    """

    ask_id: str
    reason: RefusalReason
    retry_after_s: float


@value_class
class Revoke:
    """Revokes a granted permit: the holder stops the work and releases."""

    ask_id: str


OwnerMessage = Grant | Refuse | Revoke


__all__ = [
    "Ask",
    "FirstToken",
    "Grant",
    "HolderMessage",
    "LimitReport",
    "OwnerMessage",
    "PaceReport",
    "PermitMessage",
    "Refuse",
    "RefusalReason",
    "Release",
    "ReleaseOutcome",
    "Revoke",
    "Withdraw",
    "WorkClass",
]
