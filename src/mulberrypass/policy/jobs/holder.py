"""State machine of one lot holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.churn import ChurnDetector
from mulberrypass.policy.jobs.commands import (
    FleetView,
    Flush,
    HolderSettings,
    LotFlush,
    Poll,
    RecordIntents,
    StartItem,
    StopRun,
)
from mulberrypass.policy.jobs.lots import LotState
from mulberrypass.policy.jobs.polls import PollSchedule
from mulberrypass.policy.jobs.selector import LotSelector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypass.policy.jobs.commands import Command, JobSnapshot
    from mulberrypass.policy.jobs.items import Outcome, RunResult
    from mulberrypass.policy.jobs.jobs import Holder, OpenJob
    from mulberrypass.policy.jobs.lots import LotKey, LotLease, LotTerms


@value_class
class HolderState:
    """State of a holder as shown in dumps."""

    lots: tuple[LotKey, ...]
    running: int
    pending: int
    outcomes: int
    blocked: bool
    draining: bool


class LotHolder:
    """Handles events, and queues the commands that follow from them."""

    def __init__(
        self,
        own: Holder,
        settings: HolderSettings,
        terms_of: Callable[[OpenJob], LotTerms | None],
    ) -> None:
        self._selector = LotSelector(own, settings, terms_of)
        self._settings = settings
        self._terms_of = terms_of
        self._commands: list[Command] = []
        self._lots: dict[LotKey, LotState] = {}
        self._runs: dict[int, LotState] = {}
        self._suspect_runs: set[int] = set()
        self._next_run = 0
        self._fleet = FleetView({}, (), 0, {})
        self._churn = ChurnDetector(settings.churn_s)
        self._cancelled: set[str] = set()
        self._flushing: Flush | None = None
        self._polls = PollSchedule(settings)
        self._blocked = True
        self._draining = False

    @property
    def idle(self) -> bool:
        """Whether it holds no lots, runs no items and requests no lease."""
        return (
            not self._lots
            and not self._runs
            and self._selector.leasing is None
        )

    @property
    def start_until(self) -> float:
        """Time from which nothing may start without another poll."""
        return self._polls.start_until

    def state(self) -> HolderState:
        """Return the state for dumps."""
        lots = tuple(self._lots.values())
        return HolderState(
            tuple(lot.key for lot in lots),
            len(self._runs),
            sum(lot.pending for lot in lots),
            sum(lot.buffered_outcomes for lot in lots),
            self._blocked,
            self._draining,
        )

    def take_commands(self) -> list[Command]:
        """Remove and return the queued commands, in order."""
        commands, self._commands = self._commands, []
        return commands

    def tick(self, fleet: FleetView, now: float) -> None:
        """Queue the commands that are due at this time; called often."""
        self._fleet = fleet
        self._churn.observe(fleet.live, now)
        self._poll(now)
        self._lease(now)
        self._request_intents()
        self._start(now)
        self._duplicate_stragglers(now)
        self._flush(now)

    def polled(self, snapshot: JobSnapshot, now: float) -> None:
        """Apply the result of a poll."""
        self._selector.apply_snapshot(
            snapshot, self._fleet, tuple(self._lots), now
        )
        self._polls.answered()
        for job in snapshot.jobs:
            if job.cancelled:
                self.cancel(job.job)
        open_jobs = {job.job for job in snapshot.jobs}
        for key in tuple(self._lots):
            if key.job not in open_jobs:
                self.fenced(key)
        self._cancelled &= open_jobs
        if self._may_lease():
            self._commands.extend(self._selector.jobs_to_close())

    def poll_failed(self, unavailable: bool) -> None:
        """Record that a poll failed.

        :param unavailable: whether the platform gave no answer at all
        """
        self._polls.failed(unavailable)

    def cancel(self, job: str) -> None:
        """Stop all work of a cancelled job."""
        self._cancelled.add(job)
        for lot in self._lots.values():
            if lot.key.job == job and not lot.cancelled:
                self._stop(lot.cancel())

    def leased(self, lease: LotLease, now: float) -> None:
        """Add a lot that was leased."""
        job = self._selector.leased()
        if job is None:
            return
        terms = self._terms_of(job)
        if terms is None:
            return
        self._lots[lease.key] = LotState(lease, terms, now)
        if lease.key.job in self._cancelled:
            self._lots[lease.key].cancel()

    def not_leased(self, exhausted: bool, now: float) -> None:
        """Record that no lot was leased.

        :param exhausted: whether the job has no free lot
        """
        self._selector.not_leased(exhausted, now)

    def intents_recorded(self, key: LotKey) -> None:
        """Record that the pending intents of a lot are stored."""
        if key in self._lots:
            self._lots[key].intents_durable()

    def fenced(self, key: LotKey) -> None:
        """Drop a lot that this process no longer holds."""
        lot = self._lots.pop(key, None)
        if lot is not None:
            self._stop(lot.cancel())

    def flushed(self) -> None:
        """Record that the flush in flight is stored."""
        flush, self._flushing = self._flushing, None
        if flush is None:
            return
        for part in flush.lots:
            lot = self._lots.get(part.key)
            if lot is None:
                continue
            lot.flushed()
            if part.ended or part.released:
                del self._lots[part.key]

    def run_sent(self, run: int, now: float) -> None:
        """Record that a run was sent to a backend server."""
        lot = self._runs.get(run)
        if lot is not None and self._lots.get(lot.key) is lot:
            lot.mark_sent(run, now)

    def run_ended(
        self, run: int, result: RunResult, now: float
    ) -> Outcome | None:
        """Record the end of a run.

        :returns: the item's outcome if this run settled it
        """
        lot = self._runs.pop(run)
        self._suspect_runs.discard(run)
        if self._lots.get(lot.key) is not lot:
            return None
        item = lot.running[run].item
        outcome = lot.end(run, result, now)
        if outcome is not None:
            self._stop(lot.runs_of(item))
        return outcome

    def drain(self) -> None:
        """Start nothing more, and release each lot once no item of it runs."""
        self._draining = True

    def stop_idempotent(self) -> None:
        """Stop the runs of idempotent items, which can be run again."""
        for lot in self._lots.values():
            if lot.terms.idempotent:
                self._stop(lot.running)

    def _stop(self, runs: Iterable[int]) -> None:
        self._commands.extend(StopRun(run) for run in runs)

    def _poll(self, now: float) -> None:
        busy = bool(self._lots) or self._may_lease()
        if self._polls.due(busy, now):
            self._commands.append(Poll())
        self._blocked = self._polls.blocked(now)

    def _may_lease(self) -> bool:
        if self._draining:
            return False
        return self._selector.is_active(self._fleet)

    def _lease(self, now: float) -> None:
        if self._blocked or not self._may_lease() or not self._wants_lot():
            return
        command = self._selector.next_command(
            self._fleet, tuple(self._lots), self._busy_services(), now
        )
        if command is not None:
            self._commands.append(command)

    def _busy_services(self) -> set[str]:
        return {
            lot.terms.service for lot in self._lots.values() if lot.pending
        }

    def _wants_lot(self) -> bool:
        pending_lots = [lot for lot in self._lots.values() if lot.pending]
        if len(pending_lots) >= self._settings.max_lots:
            return False
        if self._buffered_outcomes() >= self._settings.max_outcomes:
            return False
        pending = sum(lot.pending for lot in pending_lots)
        if pending + len(self._runs) < self._settings.window:
            return True
        busy_services = self._busy_services()
        return any(
            j.service not in busy_services
            for j in self._selector.snapshot.jobs
        )

    def _buffered_outcomes(self) -> int:
        return sum(lot.buffered_outcomes for lot in self._lots.values())

    def _request_intents(self) -> None:
        if self._draining or self._blocked:
            return
        for lot in self._lots.values():
            items = lot.next_intents()
            if items:
                self._commands.append(RecordIntents(lot.key, items))

    def _start(self, now: float) -> None:
        if self._draining or self._blocked:
            return
        capacity = self._settings.window - len(self._runs)
        capacity = min(
            capacity, self._settings.max_outcomes - self._buffered_outcomes()
        )
        lots = list(self._lots.values())
        while capacity > 0 and lots:
            lot = min(lots, key=lambda lot: len(lot.running))
            if self._start_one(lot, now):
                capacity -= 1
            else:
                lots.remove(lot)

    def _start_one(self, lot: LotState, now: float) -> bool:
        suspect_allowed = len(self._suspect_runs) < self._settings.max_suspects
        chosen = lot.next_item(now, suspect_allowed)
        if chosen is None:
            return False
        running = lot.start(self._new_run(lot), chosen)
        if running.suspect:
            self._suspect_runs.add(running.run)
        self._commands.append(
            StartItem(
                running.run,
                lot.key,
                chosen.item,
                lot.terms,
                running.suspect,
                chosen.retry.avoid,
            )
        )
        return True

    def _new_run(self, lot: LotState) -> int:
        self._next_run += 1
        self._runs[self._next_run] = lot
        return self._next_run

    def _duplicate_stragglers(self, now: float) -> None:
        if self._draining or self._blocked:
            return
        if any(lot.pending for lot in self._lots.values()):
            return
        for lot in self._lots.values():
            if not self._selector.fully_leased(lot.key.job):
                continue
            for straggler in lot.stragglers(now):
                if len(self._runs) >= self._settings.window:
                    return
                if not straggler.suspect:
                    self._start_duplicate(lot, straggler.item)

    def _start_duplicate(self, lot: LotState, item: int) -> None:
        run = self._new_run(lot)
        lot.start_duplicate(run, item)
        self._commands.append(StartItem(run, lot.key, item, lot.terms))

    def _flush(self, now: float) -> None:
        if self._flushing is not None or not self._flush_due(now):
            return
        parts = tuple(self._lot_flush(lot) for lot in self._lots.values())
        parts = tuple(p for p in parts if p.outcomes or p.ended or p.released)
        if parts:
            self._flushing = Flush(parts)
            self._commands.append(self._flushing)

    def _flush_due(self, now: float) -> bool:
        lots = self._lots.values()
        if sum(lot.unflushed for lot in lots) >= self._settings.flush_outcomes:
            return True
        return any(self._lot_flush_due(lot, now) for lot in lots)

    def _lot_flush_due(self, lot: LotState, now: float) -> bool:
        if self._draining and not lot.running:
            return True
        if lot.ended and self._last_of_job(lot):
            return True
        ages = self._settings.flush_ages
        if not lot.terms.idempotent:
            ages = self._settings.effect_flush_ages
        elif self._churn.active(now):
            ages = self._settings.churn_flush_ages
        age_s = ages.age_s(self._selector.holder_count(self._fleet))
        return bool(lot.unflushed) and now - lot.unflushed_since >= age_s

    def _last_of_job(self, lot: LotState) -> bool:
        if lot.cancelled or not lot.unflushed:
            return True
        return self._selector.fully_leased(lot.key.job)

    def _lot_flush(self, lot: LotState) -> LotFlush:
        released = self._draining and not lot.running and not lot.ended
        return LotFlush(
            lot.key,
            lot.take_flush(),
            lot.ended,
            released,
            lot.unrun_intents() if released else (),
        )


__all__ = ["HolderState", "LotHolder"]
