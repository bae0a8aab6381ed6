"""Quotas of customers, divided among the cells of a pool."""

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
    """Enforces customers' limits on running work and rates in one cell."""

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
        """Number of running online asks, by customer."""
        return self._running[WorkClass.ONLINE]

    def configure(
        self,
        customers: Mapping[str, Customer],
        quotas: Mapping[str, Quota],
        cells: int,
        now: float,
    ) -> None:
        """Apply the quotas of a configuration."""
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
        """Return the limit of running work; ``None`` if there is none."""
        quota = self._quotas.get(customer)
        if quota is None:
            return None
        limit = quota.online_running
        if work_class is WorkClass.BATCH:
            limit = quota.batch_running
        return max(1, limit // self._cells) if limit > 0 else 0

    def headroom(self, customer: str, work_class: WorkClass) -> float:
        """Return how many more permits a customer may hold."""
        limit = self.max_running(customer, work_class)
        if limit is None:
            return math.inf
        return max(0, limit - self._running[work_class][customer])

    def running_of(self, customer: str, work_class: WorkClass) -> int:
        """Return the number of running asks of a customer."""
        return self._running[work_class][customer]

    def started(self, customer: str, work_class: WorkClass) -> None:
        """Count work that starts to run."""
        self._running[work_class][customer] += 1

    def ended(self, customer: str, work_class: WorkClass) -> None:
        """Count work that has ended."""
        running = self._running[work_class]
        running[customer] -= 1
        if running[customer] <= 0:
            del running[customer]

    def take_rate_token(self, customer: str, now: float) -> float:
        """Consume a token for an online ask.

        :returns: 0 if one was consumed; otherwise the seconds until one is
            available
        """
        quota = self._quotas.get(customer)
        if quota is None or quota.requests_per_s <= 0:
            return 0.0
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = TokenBucket.full(*self._rate(quota), now)
            self._buckets[customer] = bucket
        return 0.0 if bucket.take(now) else bucket.wait_s(now)

    def running(self) -> dict[str, dict[str, int]]:
        """Return the number of running asks, by class and customer."""
        return {c.value: dict(n) for c, n in self._running.items()}

    def _rate(self, quota: Quota) -> tuple[float, float]:
        rate = quota.requests_per_s / self._cells
        return rate, max(1.0, quota.burst / self._cells)


__all__ = ["CustomerLimits"]
