"""What a holder knows of the limits that backend servers name."""

from __future__ import annotations

from dataclasses import dataclass

from mulberrypass.policy.admission.rate_limits import TokenBucket

# A server in use confirms its limit more often than this.
MEMORY_S = 5.0
# Without an owner for this long before, nothing is known of the requests that
# other members have sent.
LOCAL_PAUSE_S = 1.0


@dataclass(slots=True)
class _Limit:
    per_s: float
    named_at: float


@dataclass(slots=True)
class _LocalBucket:
    bucket: TokenBucket
    used_at: float


class KnownLimits:
    """Limits by backend server, to tell owners and for use without one."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        self._local: dict[str, _LocalBucket] = {}

    def note(self, backend: str, per_s: float, now: float) -> None:
        """Record what a server names; 0 for no limit."""
        if per_s > 0:
            self._limits[backend] = _Limit(per_s, now)
        else:
            self._limits.pop(backend, None)
            self._local.pop(backend, None)

    def per_s(self, backend: str, now: float) -> float:
        """Return the limit of a server; 0 if none is known."""
        limit = self._limits.get(backend)
        if limit is None:
            return 0.0
        if now - limit.named_at > MEMORY_S:
            self.note(backend, 0.0, now)
            return 0.0
        return limit.per_s

    def current(self, now: float) -> dict[str, float]:
        """Return all known limits."""
        found = {name: self.per_s(name, now) for name in tuple(self._limits)}
        return {name: per_s for name, per_s in found.items() if per_s > 0}

    def admits_local(self, backend: str, members: int, now: float) -> bool:
        """Return whether this member's share of a limit leaves room now.

        :param members: live members that share the limit
        """
        per_s = self.per_s(backend, now)
        if not per_s:
            return True
        rate = per_s / max(1, members)
        local = self._local.get(backend)
        if local is None or now - local.used_at > LOCAL_PAUSE_S:
            local = _LocalBucket(TokenBucket(rate, 1.0, 0.0, now), now)
            self._local[backend] = local
        local.used_at = now
        local.bucket.resize(rate, 1.0, now)
        return local.bucket.wait_s(now) <= 0

    def take_local(self, backend: str, now: float) -> None:
        """Count a request that is sent without an owner."""
        local = self._local.get(backend)
        if local is not None:
            local.bucket.take(now)


__all__ = ["KnownLimits"]
