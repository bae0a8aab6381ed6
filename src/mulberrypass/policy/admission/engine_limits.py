"""Limits that engines name for the requests that they take."""

from __future__ import annotations

from mulberrypass.policy.admission.rate_limits import TokenBucket

# An engine is asked from time to time, as only its answers end a limit.
MIN_PER_S = 0.1
# Requests that may come at once after a pause; batch work leaves one of them
# to online work.
BURST = 2.0
BATCH_NEEDS = 2.0


class EngineLimit:
    """The limit of one engine, which starts with nothing left of it.

    Its requests of the last seconds aren't known when it is first named, or
    when the cell has a new owner.

    :param per_s: requests per second
    :ivar since: when the limit was named first
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.since = now
        self.per_s = per_s
        rate = max(MIN_PER_S, per_s)
        self._bucket = TokenBucket(rate, BURST, 0.0, now)

    def change(self, per_s: float, now: float) -> None:
        """Apply another limit that the engine has named."""
        self.per_s = per_s
        self._bucket.resize(max(MIN_PER_S, per_s), BURST, now)

    def admits(self, is_batch: bool, now: float) -> bool:
        """Return whether the engine takes a request now."""
        needed = BATCH_NEEDS if is_batch else 1.0
        return self._bucket.wait_s(now, needed) <= 0

    def take(self, now: float) -> None:
        """Count a request."""
        self._bucket.take(now)

    def left(self, now: float) -> float:
        """Return the number of requests that it takes now."""
        self._bucket.wait_s(now)
        return self._bucket.level


__all__ = ["EngineLimit", "MIN_PER_S"]
