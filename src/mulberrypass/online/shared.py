"""Policy state that the requests of a process share between threads."""

from __future__ import annotations

from dataclasses import dataclass
import threading
from typing import TYPE_CHECKING

from mulberrypass.policy.online.hedging import HedgeTimer
from mulberrypass.policy.online.retry import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class SharedState:
    """Figures for the dump.

    :param hedge_after_s: the wait of each service before a hedge
    """

    retry_tokens: float
    hedge_after_s: Mapping[str, float]


class SharedPolicy:
    """The retry budget and hedge timer of a process; safe on any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._budget = RetryBudget()
        self._hedges = HedgeTimer()

    def earn(self) -> None:
        """Count a request towards the retry budget."""
        with self._lock:
            self._budget.earn()

    def take_retry(self) -> bool:
        """Take one further attempt from the retry budget."""
        with self._lock:
            return self._budget.take()

    def observe(self, service: str, latency_s: float) -> None:
        """Take one first-token latency into account."""
        with self._lock:
            self._hedges.observe(service, latency_s)

    def hedge_after_s(self, service: str) -> float:
        """Seconds after which a request of a service is late."""
        with self._lock:
            return self._hedges.after_s(service)

    def state(self) -> SharedState:
        """Give the figures for the dump."""
        with self._lock:
            return SharedState(self._budget.tokens, self._hedges.estimates())


__all__ = ["SharedPolicy", "SharedState"]
