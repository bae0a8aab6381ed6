"""Counters of decisions, sent to statsd."""

from __future__ import annotations

from collections import Counter
import enum
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ipaddress import IPv4Address, IPv6Address


class Decision(enum.StrEnum):
    """A counted decision; docs/operators/metrics.md describes each."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED_DEADLINE = "refused.deadline"
    REFUSED_QUEUE_FULL = "refused.queue_full"
    REFUSED_CUSTOMER_LIMIT = "refused.customer_limit"
    REFUSED_NO_BACKEND = "refused.no_backend"
    REFUSED_STORE = "refused.store"
    REFUSED_THREADS = "refused.threads"
    REVOKED = "revoked"
    RETRIED = "retried"
    HEDGED = "hedged"
    RESUMED = "resumed"
    DROPPED_DUPLICATE = "dropped.duplicate"
    FAIL_OPEN = "fail_open"
    WRONG_ANSWER = "wrong_answer"
    LOT_LEASED = "lot.leased"
    LOT_TAKEN_OVER = "lot.taken_over"
    LOT_FENCED = "lot.fenced"
    ITEM_DONE = "item.done"
    ITEM_FAILED = "item.failed"
    ITEM_INDETERMINATE = "item.indeterminate"
    JOB_CANCELLED = "job.cancelled"
    CONFIG_APPLIED = "config.applied"
    CONFIG_STALE = "config.stale"
    MEMBER_SUSPECTED = "member.suspected"
    MEMBER_DEAD = "member.dead"
    PLATFORM_RETRIED = "platform.retried"
    PLATFORM_SETTLED = "platform.settled"
    ORDER_SENT = "order.sent"
    ORDER_FENCED = "order.fenced"


class Metrics:
    """Counts decisions, and sends them to statsd if there is an address.

    :param address: of the statsd server
    """

    def __init__(
        self,
        program: str,
        address: IPv4Address | IPv6Address | None = None,
        port: int = 8125,
    ) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._client = None
        if address is not None:
            import statsd

            self._client = statsd.StatsClient(
                str(address), port, prefix=f"mulberry.{program}"
            )

    def count(self, decision: Decision, amount: int = 1) -> None:
        """Count a decision."""
        with self._lock:
            self._counts[decision.value] += amount
        if self._client is not None:
            self._client.incr(decision.value, amount)

    def timing(self, name: str, seconds: float) -> None:
        """Send a duration to statsd."""
        if self._client is not None:
            self._client.timing(name, seconds * 1_000)

    def snapshot(self) -> dict[str, int]:
        """Return all counts since the process started."""
        with self._lock:
            return dict(self._counts)


__all__ = ["Decision", "Metrics"]
