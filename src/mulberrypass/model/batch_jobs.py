"""Batch jobs, their items, and what can become of them."""

from __future__ import annotations

from dataclasses import dataclass
import enum


@dataclass(frozen=True, slots=True)
class BatchItem:
    """One item of a job, as it was handed in.

    :param headers: of the request that runs it
    :param tokens: of the prompt and of the longest output together
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class NewJob:
    """One job that a caller hands in.

    :param host: chooses the route, with the path
    """

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


class ItemState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class ItemOutcome:
    """The end of one item.

    :param index: place of the item in the job as handed in
    :param output: data of all events, joined by line feeds
    """

    index: int
    item_id: str
    state: ItemState
    output: str = ""


@dataclass(frozen=True, slots=True)
class JobHead:
    """What is to be known of a job at all times; one small row.

    :param route: name of the route that took it, which has the quota
    :param first_s: Unix time of its acceptance
    :param tokens: tokens of each item
    :param done: places of the items that have ended
    :param results: results listed so far
    :param ended: whether its caller has ended it
    :param holder: member that runs its items
    :param busy: items that another member, which leaves, still runs
    :param busy_by: that member
    :param busy_until: Unix time after which it has ended at the latest
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
    busy_until: float = 0.0

    @property
    def total(self) -> int:
        """The number of items."""
        return len(self.tokens)

    @property
    def open(self) -> bool:
        """Whether items have still to be run."""
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


@dataclass(frozen=True, slots=True)
class VersionedHead:
    """A head as it stands in the table.

    :param version: of its row
    """

    head: JobHead
    version: int


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results of a job from one position on."""

    total: int
    outcomes: tuple[ItemOutcome, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is kept from now on.

    :param again: whether it was kept before
    :param head: its head, where it was written just now
    """

    job_id: str
    again: bool = False
    head: VersionedHead | None = None


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The job does not fit; none of it runs.

    :param waiting_tokens: tokens that wait already
    """

    waiting_tokens: int


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """There is no such job, or no such item that can be given."""


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The store could not be asked.

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
    "NewJob",
    "NoSuchJob",
    "OverQuota",
    "ResultPage",
    "StoreLost",
    "VersionedHead",
]
