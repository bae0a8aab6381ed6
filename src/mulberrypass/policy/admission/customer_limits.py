"""Limits of customers, divided over the cells of a pool."""

from __future__ import annotations

from collections import Counter
import math
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.rate_limits import TokenBucket
from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.model.objects import Customer, Quota


class CustomerLimits:
    """What each customer may run and start in one cell."""

    def __init__(self) -> None:
        self._quotas: dict[str, Quota] = {}
        self._cells = 1
        self._running: dict[WorkClass, Counter[str]] = {
            WorkClass.ONLINE: Counter(),
            WorkClass.BATCH: Counter(),
        }
        self._buckets: dict[str, TokenBucket] = {}

    @property
    def online(self) -> Counter[str]:
        """Running online work of each customer."""
        return self._running[WorkClass.ONLINE]

    def configure(
        self,
        customers: Mapping[str, Customer],
        quotas: Mapping[str, Quota],
        cells: int,
        now: float,
    ) -> None:
        """Set the quotas in force."""
        self._cells = max(1, cells)
        self._quotas = {
            name: quotas[customer.quota]
            for name, customer in customers.items()
            if customer.quota is not None and customer.quota in quotas
        }
        for name in tuple(self._buckets):
            if name not in self._quotas:
                del self._buckets[name]
        for name, bucket in self._buckets.items():
            rate, burst = self._rate(self._quotas[name])
            bucket.resize(rate, burst, now)

    def max_running(self, customer: str, work_class: WorkClass) -> int | None:
        """Give the bound on running work; ``None`` where there is none."""
        quota = self._quotas.get(customer)
        if quota is None:
            return None
        most = quota.online_running
        if work_class is WorkClass.BATCH:
            most = quota.batch_running
        return max(1, most // self._cells) if most > 0 else 0

    def headroom(self, customer: str, work_class: WorkClass) -> float:
        """Give how many more pieces of work may run."""
        most = self.max_running(customer, work_class)
        if most is None:
            return math.inf
        return max(0, most - self._running[work_class][customer])

    def started(self, customer: str, work_class: WorkClass) -> None:
        """Count running work in."""
        self._running[work_class][customer] += 1

    def ended(self, customer: str, work_class: WorkClass) -> None:
        """Count running work out."""
        running = self._running[work_class]
        running[customer] -= 1
        if running[customer] <= 0:
            del running[customer]

    def take_rate_token(self, customer: str, now: float) -> float:
        """Take a token for an online ask, or give the wait for one."""
        quota = self._quotas.get(customer)
        if quota is None or quota.requests_per_s <= 0:
            return 0.0
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = TokenBucket.full(*self._rate(quota), now)
            self._buckets[customer] = bucket
        return 0.0 if bucket.take(now) else bucket.wait_s(now)

    def running(self) -> dict[str, dict[str, int]]:
        """Count running work by class and customer."""
        return {c.value: dict(n) for c, n in self._running.items()}

    def _rate(self, quota: Quota) -> tuple[float, float]:
        rate = quota.requests_per_s / self._cells
        return rate, max(1.0, quota.burst / self._cells)


__all__ = ["CustomerLimits"]
