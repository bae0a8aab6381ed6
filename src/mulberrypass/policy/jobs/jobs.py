"""Which process runs which lots, and what is known of a job."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import enum
import math
from typing import TYPE_CHECKING

from mulberrypass.policy.jobs.lots import LotKey
from mulberrypass.policy.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

HOLDER_HASH_KEY = "drawing"
MIN_WEIGHT = 1e-9
MIN_HOLDERS = 2


class JobState(enum.StrEnum):
    """State of a job."""

    RUNNING = "running"
    CANCELLED = "cancelled"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A job of which something is left to do.

    :param due: Unix time in seconds
    :param version: version of its row, which rises when it is cancelled
    """

    job: str
    customer: str
    service: str
    due: float
    created: float
    lots: int
    version: int
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class HeldLot:
    """A lot that the store says is held."""

    key: LotKey
    customer: str
    holder: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Holder:
    """One process that may hold lots."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LotCounts:
    """Items of one lot by outcome, as far as they were flushed."""

    done: int = 0
    failed: int = 0
    indeterminate: int = 0

    @property
    def settled(self) -> int:
        """Items that have an outcome."""
        return self.done + self.failed + self.indeterminate


@dataclass(frozen=True, slots=True)
class JobView:
    """What a customer is told of a job.

    :param remaining_s: estimate of the seconds until it ends
    """

    state: JobState
    items: int
    done: int
    failed: int
    indeterminate: int
    cancelled: int
    pending: int
    remaining_s: float | None


def view(
    state: JobState,
    items: int,
    lots: Iterable[LotCounts],
    settled: bool,
    running_s: float,
) -> JobView:
    """Sum up a job.

    :param settled: whether nothing of it is left to do
    :param running_s: seconds since it was accepted
    """
    done = failed = indeterminate = 0
    for lot in lots:
        done += lot.done
        failed += lot.failed
        indeterminate += lot.indeterminate
    rest = items - done - failed - indeterminate
    cancelled = rest if settled and state is JobState.CANCELLED else 0
    pending = rest - cancelled
    ended = items - rest
    remaining = None
    if pending == 0:
        remaining = 0.0
    elif ended and state is JobState.RUNNING:
        remaining = running_s * pending / ended
    return JobView(
        state,
        items,
        done,
        failed,
        indeterminate,
        cancelled,
        pending,
        remaining,
    )


def active_holders(
    members: Iterable[str], slots: int, window: int
) -> tuple[str, ...]:
    """Choose the processes that draw lots, best first.

    :param slots: what all backend servers run at once
    :param window: items that one process has in flight
    """
    count = max(MIN_HOLDERS, math.ceil(slots / max(1, window)))
    ranked = sorted(
        members, key=lambda name: (weight(HOLDER_HASH_KEY, name), name)
    )
    return tuple(ranked[-count:])


def lease_order(
    jobs: Iterable[OpenJob],
    held: Iterable[HeldLot],
    weights: Mapping[str, float],
) -> tuple[OpenJob, ...]:
    """Order jobs for the next lot: fair over customers, then by due time.

    A customer's turn comes by the lots that it would have per weight.
    """
    counts = Counter(lot.customer for lot in held)
    queues: dict[str, list[OpenJob]] = {}
    for job in sorted(jobs, key=_due_order):
        queues.setdefault(job.customer, []).append(job)
    entries: list[tuple[float, float, str, OpenJob]] = []
    for customer, queue in queues.items():
        customer_weight = max(weights.get(customer, 1.0), MIN_WEIGHT)
        for position, job in enumerate(queue):
            share = (counts[customer] + 1 + position) / customer_weight
            entries.append((share, job.due, job.job, job))
    entries.sort(key=lambda entry: entry[:3])
    return tuple(entry[3] for entry in entries)


def _due_order(job: OpenJob) -> tuple[float, float, str]:
    return job.due, job.created, job.job


def holder_restarted(lot: HeldLot, live: Mapping[str, int]) -> bool:
    """Return whether a lot's holder was started again since."""
    return live.get(lot.holder, -1) > lot.incarnation


def orphaned(
    held: Iterable[HeldLot],
    live: Mapping[str, int],
    own: Holder,
    keys: Collection[LotKey],
) -> tuple[HeldLot, ...]:
    """Return held lots whose holder is gone, or forgot that it holds them.

    :param live: incarnation of each member that isn't known to be dead
    :param keys: lots that this process holds
    """
    mine = frozenset(keys)
    found = []
    for lot in held:
        if lot.holder == own.name and lot.incarnation == own.incarnation:
            lost = lot.key not in mine
        else:
            lost = live.get(lot.holder, -1) != lot.incarnation
        if lost:
            found.append(lot)
    return tuple(found)


__all__ = [
    "HeldLot",
    "Holder",
    "JobState",
    "JobView",
    "LotCounts",
    "OpenJob",
    "active_holders",
    "lease_order",
    "orphaned",
    "holder_restarted",
    "view",
]
