"""Retry and hedging state shared by the requests of a process."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.model.objects import ServiceKind
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.online.repeats import RepeatPolicy
from mulberrypass.policy.online.retry import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from mulberrypass.model.objects import Service
    from mulberrypass.policy.online.repeats import LateRun, NoRepeat


@value_class
class SharedState:
    """Values for the state dump.

    :param hedge_after_s: delay before a hedge in seconds, by service
    :param repeats: runs and second runs of the last seconds, by service
    """

    retry_tokens: float
    hedge_after_s: Mapping[str, float]
    repeats: Mapping[str, Any]


class SharedPolicy:
    """Retry budget and rules for hedges of a process; safe on any thread."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._budget = RetryBudget()
        self._repeats = RepeatPolicy()

    def earn(self, service: Service) -> None:
        """Add the shares of one request to the budgets."""
        with self._lock:
            self._budget.earn()
            self._repeats.note_run(
                service.name, service.repeat_share, self._clock()
            )

    def take_retry(self) -> bool:
        """Consume a retry of the budget; return whether one was left."""
        with self._lock:
            return self._budget.take()

    def start_hedge(self, service: Service, run: LateRun) -> NoRepeat | None:
        """Use a second run of the budget; return the reason against it."""
        with self._lock:
            return self._repeats.start(
                service.name, service.repeat_share, run, self._clock()
            )

    def return_hedge(self, service: Service) -> None:
        """Return a second run that no backend server has got."""
        with self._lock:
            self._repeats.give_back(service.name, self._clock())

    def observe(self, service: Service, latency_s: float) -> None:
        """Record how long the first tokens or a plain answer took."""
        with self._lock:
            whole = service.kind is ServiceKind.PLAIN
            self._repeats.observe(service.name, latency_s, whole)

    def hedge_after_s(self, service: Service) -> float:
        """Return the delay before a service's requests are hedged."""
        with self._lock:
            whole = service.kind is ServiceKind.PLAIN
            return self._repeats.first_delay_s(service.name, whole)

    def state(self) -> SharedState:
        """Return the values for the state dump."""
        with self._lock:
            return SharedState(
                self._budget.tokens,
                self._repeats.delays(),
                self._repeats.state(self._clock()),
            )


__all__ = ["SharedPolicy", "SharedState"]
