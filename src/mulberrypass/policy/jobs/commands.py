"""What the holder of lots asks of the store and of the item runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.policy.jobs.items import Outcome
    from mulberrypass.policy.jobs.jobs import HeldLot, OpenJob
    from mulberrypass.policy.jobs.lots import LotKey, LotTerms


@dataclass(frozen=True, slots=True)
class FlushAges:
    """Age of an outcome at which it is flushed with few others.

    :param fleet_per_s: flushes a second that all holders make by age
    """

    min_s: float = 10.0
    max_s: float = 60.0
    fleet_flushes_per_s: float = 3.3

    def age_s(self, holders: int) -> float:
        """Return the age; it rises with the holders, so that writes don't."""
        return min(
            self.max_s, max(self.min_s, holders / self.fleet_flushes_per_s)
        )


@dataclass(frozen=True, slots=True)
class HolderSettings:
    """Bounds of one holder.

    :param window: items in flight
    :param max_lots: lots that still have items to start
    :param flush_outcomes: outcomes that are flushed together
    :param flush_ages: age at which fewer are flushed
    :param effect_flush_ages: the same for non-idempotent items
    :param unrest_flush_ages: the same for ``unrest_s`` seconds after a
        member was lost, since what is not flushed is run again
    :param max_outcomes: outcomes in memory beyond which nothing starts
    :param max_suspects: suspects that run at once
    :param poll_s: time between readings of the open jobs
    :param idle_poll_s: the same for a process that draws no lots
    :param takeover_s: time for which a holder must be gone
    :param effect_takeover_s: the same for lots of non-idempotent items,
        of which a takeover makes some indeterminate
    :param settle_s: time after the start without takeovers, in which this
        process gets to know the others
    :param board_age_s: age of a poll beyond which nothing starts by it
    :param pause_s: gap between ticks after which a poll must come first
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


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a holder knows of the processes beside it.

    :param live: incarnation of each member that isn't known to be dead
    :param drawing: members that may draw lots
    :param slots: what all backend servers run at once
    :param weights: share of each customer
    """

    live: Mapping[str, int]
    candidates: tuple[str, ...]
    slots: int
    weights: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class JobSnapshot:
    """The open jobs and the held lots at one time."""

    jobs: tuple[OpenJob, ...]
    held: tuple[HeldLot, ...]


@dataclass(frozen=True, slots=True)
class Poll:
    """Read the open jobs and the held lots."""


@dataclass(frozen=True, slots=True)
class LeaseNext:
    """Lease a free lot of a job.

    :param skip: free lots to leave to other holders
    """

    job: OpenJob
    skip: int


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Lease a lot whose holder is gone."""

    job: OpenJob
    held: HeldLot


@dataclass(frozen=True, slots=True)
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


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop one run."""

    run: int


@dataclass(frozen=True, slots=True)
class RecordIntents:
    """Make intents durable before their items are run."""

    key: LotKey
    items: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LotFlush:
    """The part of a flush that is one lot's.

    :param ended: whether nothing of the lot is left to do
    :param released: whether the holder gives the lot back
    :param returned: items with an intent that certainly haven't run
    """

    key: LotKey
    outcomes: tuple[Outcome, ...]
    ended: bool = False
    released: bool = False
    returned: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Flush:
    """Write outcomes of some lots together."""

    lots: tuple[LotFlush, ...]


@dataclass(frozen=True, slots=True)
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
    "JobSnapshot",
    "CloseJob",
    "Command",
    "FleetView",
    "Flush",
    "FlushAges",
    "HolderSettings",
    "LeaseNext",
    "LotFlush",
    "Poll",
    "RecordIntents",
    "StartItem",
    "StopRun",
    "TakeOver",
]
