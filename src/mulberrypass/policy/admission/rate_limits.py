"""Token buckets; time is passed in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Allows a rate with a burst.

    :param rate: tokens gained each second
    :param burst: tokens held at most
    """

    rate: float
    burst: float
    level: float
    at: float

    @classmethod
    def full(cls, rate: float, burst: float, now: float) -> TokenBucket:
        """Make a bucket that holds its whole burst."""
        return cls(rate, burst, burst, now)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens, or leave the bucket as it is."""
        self._refill(now)
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Give the seconds until so many tokens are there."""
        self._refill(now)
        if self.level >= amount:
            return 0.0
        if self.rate <= 0:
            return float("inf")
        return (amount - self.level) / self.rate

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Set a new rate and burst; no tokens are gained by it."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.at)
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self.at = max(self.at, now)


__all__ = ["TokenBucket"]
