"""Messages between the holders of permits and the owner of a pool cell."""

from __future__ import annotations

from dataclasses import dataclass
import enum


class WorkClass(enum.StrEnum):
    """Online work always goes before batch work."""

    ONLINE = "online"
    BATCH = "batch"


class RefusalReason(enum.StrEnum):
    """Why an owner refuses to admit work."""

    DEADLINE = "deadline"
    LATE_START = "late_start"
    QUEUE_FULL = "queue_full"
    CUSTOMER_LIMIT = "customer_limit"
    NO_BACKEND = "no_backend"
    NOT_OWNER = "not_owner"
    DRAINING = "draining"


class ReleaseOutcome(enum.StrEnum):
    """How the use of a permit ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class Ask:
    """Asks for a permit to send work to one backend server of a pool.

    :param ask_id: unique over the fleet; also names the permit
    :param holder: the member that asks
    :param budget_s: seconds left until the work's deadline
    :param prompt_tokens: estimate of the prefill that it brings
    :param output_tokens: estimate of the tokens that it generates
    :param prefix: hashes of the leading prompt blocks, outermost first
    :param avoid: backend servers not to choose, for a retry or a hedge
    :param revocable: whether the permit may be taken back after a grant
    :param version: version that the backend server must have; empty for any
    :param granted: backend server on which the work runs already; tells a
        new owner of a permit in use, and gets no answer
    :param start_within_s: seconds within which the work should start; 0 for
        no such limit
    :param subject: names a caller's request over its attempts; 0 where
        that is unknown
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


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Takes back an ask that may still be queued."""

    ask_id: str


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The prefill of a permit's work is done.

    :param after_s: seconds from dispatch to the first token
    """

    ask_id: str
    after_s: float


@dataclass(frozen=True, slots=True)
class Release:
    """A permit is no longer in use.

    :param service_s: seconds from dispatch to the end
    :param tokens: tokens generated
    :param gap_s: the 95th percentile gap between tokens, 0 if unknown
    """

    ask_id: str
    outcome: ReleaseOutcome
    service_s: float = 0.0
    tokens: int = 0
    gap_s: float = 0.0


HolderMessage = Ask | Withdraw | FirstToken | Release


@dataclass(frozen=True, slots=True)
class Grant:
    """Work may go to a backend server now."""

    ask_id: str
    backend: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Work was not admitted and did not run.

    :param retry_after_s: seconds after which a new ask may succeed
    """

    ask_id: str
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Revoke:
    """A granted permit is taken back: stop the work and release."""

    ask_id: str


OwnerMessage = Grant | Refuse | Revoke


__all__ = [
    "Ask",
    "FirstToken",
    "Grant",
    "HolderMessage",
    "OwnerMessage",
    "Refuse",
    "RefusalReason",
    "Release",
    "ReleaseOutcome",
    "Revoke",
    "Withdraw",
    "WorkClass",
]
