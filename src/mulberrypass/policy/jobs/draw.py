"""Decides which lot one holder leases next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.jobs.commands import (
    Board,
    CloseJob,
    LeaseNext,
    TakeOver,
)
from mulberrypass.policy.jobs.jobs import (
    active_holders,
    draw_order,
    orphaned,
    surely_gone,
)
from mulberrypass.policy.jobs.lots import LotKey

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from mulberrypass.policy.jobs.commands import Fleet, HolderSettings
    from mulberrypass.policy.jobs.jobs import HeldLot, Holder, OpenJob
    from mulberrypass.policy.jobs.lots import LotTerms

EXHAUSTED_S = 5.0
LEASE_RETRY_S = 0.2


class LotDraw:
    """Draws free lots, and lots whose holder is gone, one at a time."""

    def __init__(
        self,
        own: Holder,
        settings: HolderSettings,
        terms_of: Callable[[OpenJob], LotTerms | None],
    ) -> None:
        self._own = own
        self._settings = settings
        self._terms_of = terms_of
        self._exhausted: dict[str, float] = {}
        self._missing: dict[LotKey, float] = {}
        self._after = 0.0
        self._began: float | None = None
        self.board = Board((), ())
        self.leasing: OpenJob | None = None

    def note_board(
        self,
        board: Board,
        fleet: Fleet,
        keys: Collection[LotKey],
        now: float,
    ) -> None:
        """Take what a poll gave.

        :param keys: lots that this process holds
        """
        self.board = board
        if self._began is None:
            self._began = now
        open_jobs = {job.job for job in board.jobs}
        self._exhausted = {
            job: until
            for job, until in self._exhausted.items()
            if job in open_jobs
        }
        lost = orphaned(board.held, fleet.live, self._own, keys)
        self._missing = {
            lot.key: self._missing.get(lot.key, now) for lot in lost
        }

    def may_draw(self, fleet: Fleet) -> bool:
        """Tell whether this process is one of those that draw lots."""
        return self._own.name in self._active(fleet)

    def holders(self, fleet: Fleet) -> int:
        """Count the processes that draw lots."""
        return len(self._active(fleet))

    def to_close(self) -> tuple[CloseJob, ...]:
        """Give cancelled jobs of which no lot is held."""
        held = {lot.key.job for lot in self.board.held}
        return tuple(
            CloseJob(job)
            for job in self.board.jobs
            if job.cancelled and job.job not in held
        )

    def next_command(
        self,
        fleet: Fleet,
        keys: Collection[LotKey],
        served: Collection[str],
        now: float,
    ) -> LeaseNext | TakeOver | None:
        """Choose a lot to lease, none while one is being leased.

        :param served: services of which this process has items to start
        """
        if self.leasing is not None or now < self._after:
            return None
        place = self._active(fleet).index(self._own.name)
        command: LeaseNext | TakeOver | None
        command = self._take_over(fleet, keys, place, now)
        if command is None:
            command = self._lease(fleet, served, place, now)
        if command is None:
            self._after = now + LEASE_RETRY_S
        else:
            self.leasing = command.job
        return command

    def leased(self) -> OpenJob | None:
        """Note that the lot asked for was leased; its job."""
        job, self.leasing = self.leasing, None
        return job

    def not_leased(self, exhausted: bool, now: float) -> None:
        """Note that no lot was leased.

        :param exhausted: whether the job has no free lot
        """
        job, self.leasing = self.leasing, None
        if job is not None and exhausted:
            self._exhausted[job.job] = now + EXHAUSTED_S
        self._after = now + (0.0 if exhausted else LEASE_RETRY_S)

    def all_drawn(self, job: str) -> bool:
        """Tell whether the job has no free lot, as far as is known."""
        if job in self._exhausted:
            return True
        lots = next((o.lots for o in self.board.jobs if o.job == job), 0)
        last = LotKey(job, lots - 1)
        return lots == 1 or any(lot.key == last for lot in self.board.held)

    def _active(self, fleet: Fleet) -> tuple[str, ...]:
        window = self._settings.window
        return active_holders(fleet.drawing, fleet.slots, window)

    def _take_over(
        self,
        fleet: Fleet,
        keys: Collection[LotKey],
        place: int,
        now: float,
    ) -> TakeOver | None:
        ready = [
            lot
            for lot in self.board.held
            if lot.key not in keys and self._ripe(lot, fleet, now)
        ]
        if not ready:
            return None
        lot = ready[place % len(ready)]
        self._missing.pop(lot.key)
        job = self._find(lot.key.job)
        return None if job is None else TakeOver(job, lot)

    def _find(self, job: str) -> OpenJob | None:
        return next((o for o in self.board.jobs if o.job == job), None)

    def _ripe(self, lot: HeldLot, fleet: Fleet, now: float) -> bool:
        since = self._missing.get(lot.key)
        if since is None or self._began is None:
            return False
        job = self._find(lot.key.job)
        if job is None:
            return False
        if surely_gone(lot, fleet.live):
            return True
        settled = now - self._began >= self._settings.settle_s
        return settled and now - since >= self._patience_s(job)

    def _patience_s(self, job: OpenJob) -> float:
        terms = self._terms_of(job)
        if terms is None or terms.idempotent or job.cancelled:
            return self._settings.takeover_s
        return self._settings.effect_takeover_s

    def _lease(
        self,
        fleet: Fleet,
        served: Collection[str],
        place: int,
        now: float,
    ) -> LeaseNext | None:
        jobs = [
            job
            for job in self.board.jobs
            if not job.cancelled
            and self._exhausted.get(job.job, 0.0) <= now
            and self._terms_of(job) is not None
        ]
        order = draw_order(jobs, self.board.held, fleet.weights)
        if not order:
            return None
        unserved = tuple(job for job in order if job.service not in served)
        order = unserved or order
        skip, turn = divmod(place, len(order))
        return LeaseNext(order[turn], skip)


__all__ = ["LotDraw"]
