"""Rate limits for the platform's store and backoff of retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Mapping

FLEET_WRITES_PER_S = 300.0
FLEET_READS_PER_S = 1_500.0
PROGRAM_WEIGHTS: Mapping[str, float] = {
    "entry": 0.4,
    "batch": 0.5,
    "control": 0.1,
}
DEFAULT_WEIGHT = 0.05
BURST_S = 1.0
MIN_BURST_CALLS = 1.0


@value_class
class RateShare:
    """Rates at which one process may call the platform."""

    writes_per_s: float
    reads_per_s: float


@value_class
class FleetBudget:
    """Rates at which the whole fleet may call the platform."""

    writes_per_s: float = FLEET_WRITES_PER_S
    reads_per_s: float = FLEET_READS_PER_S

    def share(self, program: str, live: int) -> RateShare:
        """Return the share of one process of a program.

        :param live: number of live processes of the program
        """
        weight = PROGRAM_WEIGHTS.get(program, DEFAULT_WEIGHT)
        part = weight / max(1, live)
        return RateShare(self.writes_per_s * part, self.reads_per_s * part)


class TokenBucket:
    """Token bucket that limits the rate of calls, first come first served.

    :param per_s: calls per second
    :param burst_s: time over which unused calls accumulate
    """

    def __init__(
        self, now: float, per_s: float, burst_s: float = BURST_S
    ) -> None:
        self._per_s = per_s
        self._burst_s = burst_s
        self._at = now
        self._tokens = self._capacity()

    @property
    def per_s(self) -> float:
        """Calls per second."""
        return self._per_s

    def set_rate(self, now: float, per_s: float) -> None:
        """Change the rate; calls already granted are kept."""
        self._refill(now)
        self._per_s = per_s
        self._tokens = min(self._tokens, self._capacity())

    def take(self, now: float, max_wait_s: float) -> float | None:
        """Consume a token for one call.

        :returns: seconds to wait before the call; ``None``, with nothing
            consumed, if that would be more than ``max_wait_s``
        """
        self._refill(now)
        wait_s = max(0.0, (1.0 - self._tokens) / self._per_s)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s

    def next_wait_s(self, now: float) -> float:
        """Return the seconds that the next call would have to wait."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._per_s)

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._at) * self._per_s
        self._tokens = min(self._capacity(), self._tokens + earned)
        self._at = max(self._at, now)

    def _capacity(self) -> float:
        return max(MIN_BURST_CALLS, self._per_s * self._burst_s)


@value_class
class Backoff:
    """Exponential backoff with full jitter.

    :param floor_s: minimum wait, to which the jitter is added
    :param base_s: maximum jitter of the first retry
    :param cap_s: maximum jitter of any retry
    """

    floor_s: float = 0.01
    base_s: float = 0.05
    cap_s: float = 2.0

    def wait_s(self, failures: int, jitter: float) -> float:
        """Return the wait after a number of consecutive failures.

        :param failures: 1 after the first failure
        :param jitter: uniform random number from 0 to 1
        """
        bound_s: float = self.cap_s
        if failures <= MAX_DOUBLINGS:
            doubled = self.base_s * (1 << max(0, failures - 1))
            bound_s = min(self.cap_s, doubled)
        return self.floor_s + bound_s * jitter


MAX_DOUBLINGS = 30

__all__ = [
    "Backoff",
    "FleetBudget",
    "PROGRAM_WEIGHTS",
    "RateShare",
    "TokenBucket",
]
