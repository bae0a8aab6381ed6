"""Token buckets; the caller passes the time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Limits a rate and allows bursts.

    :param rate: tokens added per second
    :param burst: capacity in tokens
    """

    rate: float
    burst: float
    level: float
    at: float

    @classmethod
    def full(cls, rate: float, burst: float, now: float) -> TokenBucket:
        """Create a full bucket."""
        return cls(rate, burst, burst, now)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Consume tokens if there are enough.

        :returns: whether they were consumed
        """
        self._refill(now)
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` tokens are available."""
        self._refill(now)
        if self.level >= amount:
            return 0.0
        if self.rate <= 0:
            return float("inf")
        return (amount - self.level) / self.rate

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Set the rate and burst without adding tokens."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.at)
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self.at = max(self.at, now)


__all__ = ["TokenBucket"]
