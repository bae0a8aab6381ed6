"""Faults that can be injected into the platform stand-in."""

from __future__ import annotations

import enum

from mulberrypass.model.value_class import value_class


class CallFault(enum.StrEnum):
    """Outcome of one write.

    ``LOSE_REPLY`` applies the write without an answer; ``LOSE_REQUEST``
    neither applies nor answers it; ``REFUSE`` refuses it as not applied.
    """

    PASS = "pass"
    LOSE_REPLY = "lose_reply"
    LOSE_REQUEST = "lose_request"
    REFUSE = "refuse"


@value_class
class Faults:
    """Current faults.

    :param outage: refuse every call
    :param latency_s: latency of every call
    :param lose_replies: probability that the reply to a write is lost
    :param lose_requests: probability that a write is lost unapplied
    :param list_lag_s: delay after which a change of the list is visible
    :param writes_per_s: limit on the rate of writes; 0 for none
    :param reads_per_s: limit on the rate of reads; 0 for none
    """

    outage: bool = False
    latency_s: float = 0.0
    lose_replies: float = 0.0
    lose_requests: float = 0.0
    list_lag_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class RateLimit:
    """Token bucket that holds one second's calls, at least one."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated_at: float | None = None

    def wait_s(self, now: float, per_s: float) -> float:
        """Consume a token and return 0, or return the seconds until one."""
        if per_s <= 0:
            self._updated_at = None
            return 0.0
        if self._updated_at is None:
            self._tokens = per_s
        else:
            refill = (now - self._updated_at) * per_s
            self._tokens = min(max(1.0, per_s), self._tokens + refill)
        self._updated_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / per_s


__all__ = ["CallFault", "Faults", "RateLimit"]
