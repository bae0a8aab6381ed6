"""Estimates how long online asks wait for a slot of a cell."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.capacity import (
    limited_wait_s,
    usable_slots,
)
from mulberrypass.policy.admission.queue_wait import ServiceEstimate, wait_s
from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from mulberrypass.policy.admission.ledger import Ledger
    from mulberrypass.policy.admission.queueing import FairQueue
    from mulberrypass.policy.admission.shares import CustomerShares
    from mulberrypass.policy.messages import Ask


class WaitEstimator:
    """Estimates waits by queued work, customers' shares and limits."""

    def __init__(
        self, ledger: Ledger, online: FairQueue, shares: CustomerShares
    ) -> None:
        self._ledger = ledger
        self._online = online
        self._shares = shares
        self.service = ServiceEstimate()

    def wait_s(self, ask: Ask, now: float) -> float:
        """Estimate how long a new online ask waits for a slot."""
        customer = ask.customer
        queue = self._online
        limits = self._ledger.limits
        limited_s = self._limited_wait_s(ask, now)
        below_limit = limits.headroom(customer, WorkClass.ONLINE) > 0
        if not len(queue) and below_limit:
            return limited_s
        slots = self.slots(ask)
        work = queue.work_ahead(customer)
        wait = wait_s(self.service.expected_s(work), slots)
        wait = max(wait, limited_s, self._share_wait_s(customer))
        limit = limits.max_running(customer, WorkClass.ONLINE)
        if limit is None:
            return wait
        own = self.service.expected_s(queue.queued_work(customer))
        return max(wait, wait_s(own, min(slots, limit)))

    def slots(self, ask: Ask) -> int:
        """Count the slots that can serve an online ask."""
        mean_s = self.service.mean_s()
        return sum(
            usable_slots(engine, mean_s)
            for engine in self._ledger.engines.values()
            if engine.serves(ask)
        )

    def capacity_per_s(self, ask: Ask) -> float:
        """Estimate the online asks that can start per second."""
        mean_s = self.service.mean_s()
        return self.slots(ask) / mean_s if mean_s > 0 else inf

    def _share_wait_s(self, customer: str) -> float:
        """Estimate the wait behind a customer's own work in its share."""
        own = self._online.queued_work(customer)
        if not own:
            return 0.0
        slots = self._shares.slots_of(customer, 1)
        return self.service.expected_s(own) / slots

    def _limited_wait_s(self, ask: Ask, now: float) -> float:
        """Estimate the wait if all engines name limits."""
        engines = self._ledger.engines.values()
        serving = [engine for engine in engines if engine.serves(ask)]
        ahead = len(self._online) + 1
        return limited_wait_s(serving, ahead, now)


__all__ = ["WaitEstimator"]
