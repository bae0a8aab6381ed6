"""What all second runs of a process share: rules, timer, threads, counts."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from enum import StrEnum
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.policy.online.repeats import (
    NoRepeat,
    RepeatPolicy,
    RepeatShares,
)
from mulberrypass.runtime.timer import Timer

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from mulberrypass.policy.online.repeats import LateRun

# A share of 5% of 100 requests per second that all wait 0.3 s needs 2.
MAX_THREADS = 16


class Counted(StrEnum):
    """What is counted of second runs, by service."""

    STARTED = "started"
    WON = "won"
    LOST = "lost"
    FAILED = "failed"
    NO_BUDGET = "refused_by_budget"
    NO_SPARE = "refused_by_pressure"
    REFUSED = "refused_otherwise"


class Repeats:
    """Second runs of one process. Safe on any thread.

    Without a share above 0 it has no threads and does nothing.
    """

    def __init__(self, shares: RepeatShares | None = None) -> None:
        self._shares = shares or RepeatShares()
        self._lock = threading.Lock()
        self._policy = RepeatPolicy()
        self._counts: Counter[tuple[str, ...]] = Counter()
        self._busy = threading.BoundedSemaphore(MAX_THREADS)
        self._timer: Timer | None = None
        self._threads: ThreadPoolExecutor | None = None
        if self._shares.any:
            self._timer = Timer("repeat-timer")
            self._threads = ThreadPoolExecutor(MAX_THREADS, "repeat")

    def stop(self) -> None:
        """Start no further second run."""
        if self._timer is not None and self._threads is not None:
            self._timer.stop()
            self._threads.shutdown(wait=False, cancel_futures=True)

    def are_on(self, service: str) -> bool:
        """Return whether requests to a service may have second runs."""
        return self._timer is not None and self._shares.of(service) > 0

    def note_run(self, service: str) -> None:
        """Note a run that is no second one."""
        with self._lock:
            share = self._shares.of(service)
            self._policy.note_run(service, share, time.monotonic())

    def observe(self, service: str, latency_s: float, whole: bool) -> None:
        """Record how long the first event of a run took."""
        with self._lock:
            self._policy.observe(service, latency_s, whole)

    def observe_pause(self, service: str, pause_s: float) -> None:
        """Record a pause between two events of a stream."""
        with self._lock:
            self._policy.observe_pause(service, pause_s)

    def first_delay_s(
        self, service: str, whole: bool, target_s: float | None
    ) -> float:
        """Return how late a first event may be; see ``RepeatPolicy``."""
        with self._lock:
            return self._policy.first_delay_s(service, whole, target_s)

    def pause_delay_s(self, service: str, target_s: float | None) -> float:
        """Return how long a stream may pause; see ``RepeatPolicy``."""
        with self._lock:
            return self._policy.pause_delay_s(service, target_s)

    def start(self, service: str, run: LateRun) -> NoRepeat | None:
        """Decide on a second run; see ``RepeatPolicy``."""
        with self._lock:
            share = self._shares.of(service)
            now = time.monotonic()
            reason = self._policy.start(service, share, run, now)
            if reason is NoRepeat.BUDGET:
                self._counts[service, Counted.NO_BUDGET] += 1
        return reason

    def give_back(self, service: str) -> None:
        """Return a second run that no engine has got."""
        with self._lock:
            self._policy.give_back(service, time.monotonic())

    def count(self, service: str, counted: Counted) -> None:
        """Count an event of a second run."""
        with self._lock:
            self._counts[service, counted] += 1

    def counts(self) -> Mapping[tuple[str, ...], int]:
        """Return the counts by service and event."""
        with self._lock:
            return dict(self._counts)

    def call_at(self, at: float, function: Callable[[], None]) -> None:
        """Call a function that doesn't block at a monotonic time."""
        assert self._timer is not None
        self._timer.call_at(at, function)

    def submit(self, work: Callable[[], None]) -> bool:
        """Do work on another thread; return whether one is free."""
        assert self._threads is not None
        if not self._busy.acquire(blocking=False):
            return False
        try:
            self._threads.submit(self._do, work)
        except RuntimeError:
            # Shut down since.
            self._busy.release()
            return False
        return True

    def state(self) -> dict[str, Any]:
        """Return the figures for the state dump."""
        with self._lock:
            counts: dict[str, dict[str, int]] = {}
            for (service, name), count in self._counts.items():
                counts.setdefault(service, {})[str(name)] = count
            return {
                "shares": {
                    "default": self._shares.default,
                    **self._shares.by_service,
                },
                "services": self._policy.state(time.monotonic()),
                "counts": counts,
            }

    def _do(self, work: Callable[[], None]) -> None:
        try:
            work()
        finally:
            self._busy.release()


__all__ = ["Counted", "MAX_THREADS", "Repeats"]
