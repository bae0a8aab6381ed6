"""Settings of a lot holder, and its commands to the store and the runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.policy.jobs.items import Outcome
    from mulberrypass.policy.jobs.jobs import HeldLot, OpenJob
    from mulberrypass.policy.jobs.lots import LotKey, LotTerms


@value_class
class FlushAges:
    """Age at which outcomes are flushed even if they are few.

    :param fleet_flushes_per_s: target rate of such flushes over all holders
    """

    min_s: float = 10.0
    max_s: float = 60.0
    fleet_flushes_per_s: float = 3.3

    def age_s(self, holders: int) -> float:
        """Return the age; it grows with the holders to bound their writes."""
        return min(
            self.max_s, max(self.min_s, holders / self.fleet_flushes_per_s)
        )


@value_class
class HolderSettings:
    """Limits and timing of one holder.

    :param window: items in flight
    :param max_lots: lots that still have items to start
    :param flush_outcomes: number of outcomes that triggers a flush
    :param flush_ages: age of an outcome that triggers a flush
    :param effect_flush_ages: the same for non-idempotent items
    :param churn_flush_ages: the same for idempotent items in the ``churn_s``
        seconds after a member was lost, since unflushed items are run again
    :param max_outcomes: outcomes in memory beyond which nothing starts
    :param max_suspects: suspects that run at once
    :param poll_s: seconds between polls of the open jobs
    :param idle_poll_s: the same for a process that leases no lots
    :param takeover_s: seconds that a holder must be gone before a takeover
    :param effect_takeover_s: the same for lots of non-idempotent items,
        of which a takeover makes some indeterminate
    :param settle_s: seconds after the start without takeovers, in which
        this process learns of the other members
    :param max_snapshot_age_s: age of a poll beyond which nothing starts
    :param pause_s: gap between ticks after which a new poll must come first
    """

    window: int = 192
    max_lots: int = 4
    flush_outcomes: int = 2_000
    flush_ages: FlushAges = FlushAges()
    effect_flush_ages: FlushAges = FlushAges(1.0, 30.0, 10.0)
    churn_flush_ages: FlushAges = FlushAges(1.0, 60.0, 20.0)
    churn_s: float = 60.0
    max_outcomes: int = 20_000
    max_suspects: int = 4
    poll_s: float = 1.0
    idle_poll_s: float = 5.0
    takeover_s: float = 2.0
    effect_takeover_s: float = 10.0
    settle_s: float = 10.0
    max_snapshot_age_s: float = 2.0
    pause_s: float = 1.0


@value_class
class FleetView:
    """Members and capacity of the fleet, as one holder knows them.

    :param live: incarnation of each member that isn't known to be dead
    :param candidates: members that may lease lots
    :param slots: number of requests that all backend servers run at once
    :param weights: weight of each customer
    """

    live: Mapping[str, int]
    candidates: tuple[str, ...]
    slots: int
    weights: Mapping[str, float]


@value_class
class JobSnapshot:
    """The open jobs and the held lots at one time."""

    jobs: tuple[OpenJob, ...]
    held: tuple[HeldLot, ...]


@value_class
class Poll:
    """Read the open jobs and the held lots."""


@value_class
class LeaseNext:
    """Lease a free lot of a job.

    :param skip: number of free lots to leave to other holders
    """

    job: OpenJob
    skip: int


@value_class
class TakeOver:
    """Lease a lot whose holder is gone."""

    job: OpenJob
    held: HeldLot


@value_class
class StartItem:
    """Run one item.

    :param avoid: backend servers not to run it on
    """

    run: int
    key: LotKey
    item: int
    terms: LotTerms
    suspect: bool = False
    avoid: tuple[str, ...] = ()


@value_class
class StopRun:
    """Stop one run."""

    run: int


@value_class
class RecordIntents:
    """Store intents to run non-idempotent items, before any of them is run.

    After the loss of the holder, only items with an intent may have run.
    """

    key: LotKey
    items: tuple[int, ...]


@value_class
class LotFlush:
    """One lot's part of a flush.

    :param ended: whether no item of the lot runs or waits to be run
    :param released: whether the holder releases the lot
    :param returned: items with an intent that certainly haven't run
    """

    key: LotKey
    outcomes: tuple[Outcome, ...]
    ended: bool = False
    released: bool = False
    returned: tuple[int, ...] = ()


@value_class
class Flush:
    """Write the outcomes of one or more lots together."""

    lots: tuple[LotFlush, ...]


@value_class
class CloseJob:
    """Close a cancelled job of which no lot is held."""

    job: OpenJob


Command = (
    Poll
    | LeaseNext
    | TakeOver
    | StartItem
    | StopRun
    | RecordIntents
    | Flush
    | CloseJob
)


__all__ = [
    "CloseJob",
    "Command",
    "FleetView",
    "Flush",
    "FlushAges",
    "HolderSettings",
    "JobSnapshot",
    "LeaseNext",
    "LotFlush",
    "Poll",
    "RecordIntents",
    "StartItem",
    "StopRun",
    "TakeOver",
]
