"""Batch jobs, their items and the results of operations on them."""

from __future__ import annotations

import enum

from mulberrypass.model.value_class import value_class

# The host of a job, and its id, which another host's job may have too.
JobKey = tuple[str, str]


@value_class
class BatchItem:
    """One item of a job, as submitted.

    :param headers: headers of the request that runs the item
    :param tokens: prompt tokens plus the maximum output tokens
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@value_class
class NewJob:
    """One job that a caller submits.

    :param host: selects the route, together with the path
    :param customer: whose job it is; empty if it is no customer's, ``None``
        if no customers are configured
    """

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]
    customer: str | None = None

    @property
    def tokens(self) -> int:
        """Total tokens of all items."""
        return sum(item.tokens for item in self.items)


class ItemState(enum.StrEnum):
    """Final state of an item."""

    COMPLETED = "completed"
    ABANDONED = "abandoned"


@value_class
class ItemOutcome:
    """Outcome of one item.

    :param index: index of the item in the job as submitted
    :param output: data of all events, joined by line feeds
    """

    index: int
    item_id: str
    state: ItemState
    output: str = ""


@value_class
class JobHead:
    """State of a job, small enough for one row.

    :param route: name of the route that accepted it, whose quota applies
    :param first_s: Unix time of its acceptance
    :param due_s: time from its acceptance until its results are due
    :param tokens: tokens of each item
    :param done: indexes of the items that have ended
    :param results: results recorded so far
    :param ended: whether the caller has ended the job
    :param holder: member that runs its items
    :param busy: indexes of items that a leaving member still runs
    :param busy_by: name of the leaving member
    :param busy_for_s: time from the hand-over by which that member has
        stopped
    :param busy_until: the end of that time as Unix time of that member
    :param customer: whose job it is; empty if it is no customer's
    :param prefix: that of the route that accepted it; empty if an earlier
        version of the program has written the head
    """

    job_id: str
    host: str
    route: str
    first_s: float
    due_s: float
    retention_s: float
    tokens: tuple[int, ...]
    done: frozenset[int] = frozenset()
    results: int = 0
    ended: bool = False
    holder: str = ""
    busy: frozenset[int] = frozenset()
    busy_by: str = ""
    busy_for_s: float = 0.0
    busy_until: float = 0.0
    customer: str = ""
    prefix: str = ""

    @property
    def key(self) -> JobKey:
        """What tells it from the other jobs."""
        return self.host, self.job_id

    @property
    def total(self) -> int:
        """The number of items."""
        return len(self.tokens)

    @property
    def open(self) -> bool:
        """Whether items remain to be run."""
        return not self.ended and len(self.done) < self.total

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items that have not ended."""
        if self.ended:
            return 0
        return sum(
            tokens
            for index, tokens in enumerate(self.tokens)
            if index not in self.done
        )


@value_class
class VersionedHead:
    """A job head as stored in the table.

    :param version: version of its row
    """

    head: JobHead
    version: int


@value_class
class ResultPage:
    """Results of a job, starting at one position."""

    total: int
    outcomes: tuple[ItemOutcome, ...]


@value_class
class Accepted:
    """The job is stored.

    :param again: whether it had been stored before
    :param head: its head, if this call wrote it
    """

    job_id: str
    again: bool = False
    head: VersionedHead | None = None


@value_class
class OverQuota:
    """The job exceeds the quota; none of it runs.

    :param waiting_tokens: tokens that are waiting already
    """

    waiting_tokens: int


@value_class
class JobIdTaken:
    """Another customer has a job with this id."""


@value_class
class NoSuchJob:
    """The job does not exist, or the requested item is not available."""


@value_class
class StoreUnavailable:
    """The store did not answer.

    :param maybe_done: whether a change may have taken effect
    """

    reason: str
    maybe_done: bool = False


__all__ = [
    "Accepted",
    "BatchItem",
    "ItemOutcome",
    "ItemState",
    "JobHead",
    "JobIdTaken",
    "JobKey",
    "NewJob",
    "NoSuchJob",
    "OverQuota",
    "ResultPage",
    "StoreUnavailable",
    "VersionedHead",
]
