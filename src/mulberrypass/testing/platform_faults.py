"""Faults that the platform stand-in can be told to show."""

from __future__ import annotations

from dataclasses import dataclass
import enum


class CallFault(enum.StrEnum):
    """What happens to one write.

    ``LOSE_REPLY`` takes effect and gives no answer; ``LOSE_REQUEST`` gives
    no answer and takes no effect; ``REFUSE`` is refused as not done.
    """

    PASS = "pass"
    LOSE_REPLY = "lose_reply"
    LOSE_REQUEST = "lose_request"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults in force.

    :param outage: refuse every call
    :param lose_replies: probability that a write's reply is lost
    :param lose_requests: probability that a write is lost before it is done
    :param writes_per_s: writes allowed a second; 0 for any number
    :param reads_per_s: reads allowed a second; 0 for any number
    """

    outage: bool = False
    latency_s: float = 0.0
    lose_replies: float = 0.0
    lose_requests: float = 0.0
    list_lag_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class RateLimit:
    """A token bucket of one second's calls."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at: float | None = None

    def wait_s(self, now: float, per_s: float) -> float:
        """Take one token; seconds until there is one, 0 where taken."""
        if per_s <= 0:
            self._at = None
            return 0.0
        if self._at is None:
            self._tokens = per_s
        else:
            earned = (now - self._at) * per_s
            self._tokens = min(max(1.0, per_s), self._tokens + earned)
        self._at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / per_s


__all__ = ["CallFault", "Faults", "RateLimit"]
