"""Selection of the lot that a holder leases next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.jobs.commands import (
    CloseJob,
    JobSnapshot,
    LeaseNext,
    TakeOver,
)
from mulberrypass.policy.jobs.jobs import (
    active_holders,
    holder_restarted,
    lease_order,
    orphaned_lots,
)
from mulberrypass.policy.jobs.lots import LotKey

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from mulberrypass.policy.jobs.commands import FleetView, HolderSettings
    from mulberrypass.policy.jobs.jobs import HeldLot, Holder, OpenJob
    from mulberrypass.policy.jobs.lots import LotTerms

EXHAUSTED_RETRY_S = 5.0
LEASE_RETRY_S = 0.2


class LotSelector:
    """Selects free lots and lots of lost holders, one lease at a time."""

    def __init__(
        self,
        own: Holder,
        settings: HolderSettings,
        terms_of: Callable[[OpenJob], LotTerms | None],
    ) -> None:
        self._own = own
        self._settings = settings
        self._terms_of = terms_of
        self._exhausted_until: dict[str, float] = {}
        self._missing_since: dict[LotKey, float] = {}
        self._next_lease_at = 0.0
        self._first_poll_at: float | None = None
        self.snapshot = JobSnapshot((), ())
        self.leasing: OpenJob | None = None

    def apply_snapshot(
        self,
        snapshot: JobSnapshot,
        fleet: FleetView,
        keys: Collection[LotKey],
        now: float,
    ) -> None:
        """Apply the result of a poll.

        :param keys: lots that this process holds
        """
        self.snapshot = snapshot
        if self._first_poll_at is None:
            self._first_poll_at = now
        open_jobs = {job.job for job in snapshot.jobs}
        self._exhausted_until = {
            job: until
            for job, until in self._exhausted_until.items()
            if job in open_jobs
        }
        lost = orphaned_lots(snapshot.held, fleet.live, self._own, keys)
        self._missing_since = {
            lot.key: self._missing_since.get(lot.key, now) for lot in lost
        }

    def is_active(self, fleet: FleetView) -> bool:
        """Return whether this process is one of those that lease lots."""
        return self._own.name in self._active_holders(fleet)

    def holder_count(self, fleet: FleetView) -> int:
        """Return the number of processes that lease lots."""
        return len(self._active_holders(fleet))

    def jobs_to_close(self) -> tuple[CloseJob, ...]:
        """Return commands for cancelled jobs of which no lot is held."""
        held = {lot.key.job for lot in self.snapshot.held}
        return tuple(
            CloseJob(job)
            for job in self.snapshot.jobs
            if job.cancelled and job.job not in held
        )

    def next_command(
        self,
        fleet: FleetView,
        keys: Collection[LotKey],
        busy_services: Collection[str],
        now: float,
    ) -> LeaseNext | TakeOver | None:
        """Return the lot to lease next; none while a lease is in progress.

        :param busy_services: services with items that wait in this process
        """
        if self.leasing is not None or now < self._next_lease_at:
            return None
        rank = self._active_holders(fleet).index(self._own.name)
        command: LeaseNext | TakeOver | None
        command = self._take_over(fleet, keys, rank, now)
        if command is None:
            command = self._lease(fleet, busy_services, rank, now)
        if command is None:
            self._next_lease_at = now + LEASE_RETRY_S
        else:
            self.leasing = command.job
        return command

    def leased(self) -> OpenJob | None:
        """Record that the requested lot was leased, and return its job."""
        job, self.leasing = self.leasing, None
        return job

    def not_leased(self, exhausted: bool, now: float) -> None:
        """Record that no lot was leased.

        :param exhausted: whether the job has no free lot
        """
        job, self.leasing = self.leasing, None
        if job is not None and exhausted:
            self._exhausted_until[job.job] = now + EXHAUSTED_RETRY_S
        self._next_lease_at = now + (0.0 if exhausted else LEASE_RETRY_S)

    def fully_leased(self, job: str) -> bool:
        """Return whether the job has no free lot, as far as is known."""
        if job in self._exhausted_until:
            return True
        lots = next((o.lots for o in self.snapshot.jobs if o.job == job), 0)
        last = LotKey(job, lots - 1)
        return lots == 1 or any(lot.key == last for lot in self.snapshot.held)

    def _active_holders(self, fleet: FleetView) -> tuple[str, ...]:
        window = self._settings.window
        return active_holders(fleet.candidates, fleet.slots, window)

    def _take_over(
        self,
        fleet: FleetView,
        keys: Collection[LotKey],
        rank: int,
        now: float,
    ) -> TakeOver | None:
        ready = [
            lot
            for lot in self.snapshot.held
            if lot.key not in keys and self._takeover_due(lot, fleet, now)
        ]
        if not ready:
            return None
        lot = ready[rank % len(ready)]
        self._missing_since.pop(lot.key)
        job = self._open_job(lot.key.job)
        return None if job is None else TakeOver(job, lot)

    def _open_job(self, job: str) -> OpenJob | None:
        return next((o for o in self.snapshot.jobs if o.job == job), None)

    def _takeover_due(
        self, lot: HeldLot, fleet: FleetView, now: float
    ) -> bool:
        since = self._missing_since.get(lot.key)
        if since is None or self._first_poll_at is None:
            return False
        job = self._open_job(lot.key.job)
        if job is None:
            return False
        if holder_restarted(lot, fleet.live):
            return True
        members_known = now - self._first_poll_at >= self._settings.settle_s
        return members_known and now - since >= self._takeover_delay_s(job)

    def _takeover_delay_s(self, job: OpenJob) -> float:
        terms = self._terms_of(job)
        if terms is None or terms.idempotent or job.cancelled:
            return self._settings.takeover_s
        return self._settings.effect_takeover_s

    def _lease(
        self,
        fleet: FleetView,
        busy_services: Collection[str],
        rank: int,
        now: float,
    ) -> LeaseNext | None:
        jobs = [
            job
            for job in self.snapshot.jobs
            if not job.cancelled
            and self._exhausted_until.get(job.job, 0.0) <= now
            and self._terms_of(job) is not None
        ]
        order = lease_order(jobs, self.snapshot.held, fleet.weights)
        if not order:
            return None
        idle = tuple(job for job in order if job.service not in busy_services)
        order = idle or order
        skip, index = divmod(rank, len(order))
        return LeaseNext(order[index], skip)


__all__ = ["LotSelector"]
