"""Assignment of lots to processes, and the progress of jobs."""

from __future__ import annotations

from collections import Counter
import enum
import math
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
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


@value_class
class OpenJob:
    """A job that hasn't ended.

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


@value_class
class HeldLot:
    """A leased lot, as listed in the store."""

    key: LotKey
    customer: str
    holder: str
    incarnation: int


@value_class
class Holder:
    """A process that can lease lots."""

    name: str
    incarnation: int


@value_class
class LotCounts:
    """Number of a lot's flushed items by outcome."""

    done: int = 0
    failed: int = 0
    indeterminate: int = 0

    @property
    def settled(self) -> int:
        """Number of items that have an outcome."""
        return self.done + self.failed + self.indeterminate


@value_class
class JobView:
    """Progress of a job as shown to its customer.

    :param remaining_s: estimated seconds until it ends
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
    job_ended: bool,
    running_s: float,
) -> JobView:
    """Return the progress of a job.

    :param job_ended: whether the job has ended
    :param running_s: seconds since it was accepted
    """
    done = failed = indeterminate = 0
    for lot in lots:
        done += lot.done
        failed += lot.failed
        indeterminate += lot.indeterminate
    rest = items - done - failed - indeterminate
    cancelled = rest if job_ended and state is JobState.CANCELLED else 0
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
    """Return the processes that lease lots, chosen by rendezvous hashing.

    :param slots: number of requests that all backend servers run at once
    :param window: number of items that one process has in flight
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
    """Order jobs by weighted fair share of customers, then by due time.

    A job's rank is the number of lots that its customer would hold if a
    lot of it and of each of the customer's earlier jobs were leased,
    divided by the customer's weight.
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
    """Return whether a lot's holder has restarted since it leased the lot."""
    return live.get(lot.holder, -1) > lot.incarnation


def orphaned_lots(
    held: Iterable[HeldLot],
    live: Mapping[str, int],
    own: Holder,
    keys: Collection[LotKey],
) -> tuple[HeldLot, ...]:
    """Return held lots whose holder is gone or doesn't know of them.

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
    "holder_restarted",
    "lease_order",
    "orphaned_lots",
    "view",
]
