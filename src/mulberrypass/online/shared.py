"""Retry and hedging state shared by the requests of a process."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.online.hedging import HedgeTimer
from mulberrypass.policy.online.retry import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Mapping


@value_class
class SharedState:
    """Values for the state dump.

    :param hedge_after_s: delay before a hedge in seconds, by service
    """

    retry_tokens: float
    hedge_after_s: Mapping[str, float]


class SharedPolicy:
    """Retry budget and hedge timer of a process; safe on any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._budget = RetryBudget()
        self._hedges = HedgeTimer()

    def earn(self) -> None:
        """Add the share of one request to the retry budget."""
        with self._lock:
            self._budget.earn()

    def take_retry(self) -> bool:
        """Consume a retry of the budget; return whether one was left."""
        with self._lock:
            return self._budget.take()

    def observe(self, service: str, latency_s: float) -> None:
        """Record a first-token latency."""
        with self._lock:
            self._hedges.observe(service, latency_s)

    def hedge_after_s(self, service: str) -> float:
        """Return the delay before a service's requests are hedged."""
        with self._lock:
            return self._hedges.after_s(service)

    def state(self) -> SharedState:
        """Return the values for the state dump."""
        with self._lock:
            return SharedState(self._budget.tokens, self._hedges.estimates())


__all__ = ["SharedPolicy", "SharedState"]
