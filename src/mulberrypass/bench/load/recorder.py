"""Latencies and counts of requests, in high dynamic range histograms."""

from __future__ import annotations

import threading

from hdrh.histogram import HdrHistogram

from mulberrypass.model.value_class import value_class

MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000


@value_class
class Summary:
    """Percentiles of one latency, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class LatencyHistogram:
    """Thread-safe histogram of one latency."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record one duration."""
        value = min(MAX_US, max(MIN_US, int(seconds * US_PER_S)))
        with self._lock:
            self._histogram.record_value(value)

    def summary(self) -> Summary:
        """Return the percentiles of the durations so far."""
        with self._lock:
            return Summary(
                int(self._histogram.get_total_count()),
                self._percentile_ms(50),
                self._percentile_ms(95),
                self._percentile_ms(99),
                self._percentile_ms(100),
            )

    def _percentile_ms(self, percentile: float) -> float:
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / US_PER_MS


class Recorder:
    """Latencies and counts of one kind of work.

    :ivar first: from the intended send time to the first token
    :ivar gap: between the arrivals of successive tokens
    :ivar total: from the intended send time to the end of the answer
    :ivar done: complete answers, late ones included
    :ivar late: complete answers after their deadline
    :ivar failed: incomplete answers
    """

    def __init__(self) -> None:
        self.first = LatencyHistogram()
        self.gap = LatencyHistogram()
        self.total = LatencyHistogram()
        self._lock = threading.Lock()
        self.done = 0
        self.tokens = 0
        self.refused = 0
        self.failed = 0
        self.late = 0

    def record_done(self, total_s: float, tokens: int) -> None:
        """Record a complete answer."""
        self.total.record(total_s)
        with self._lock:
            self.done += 1
            self.tokens += tokens

    def record_refused(self) -> None:
        """Count a refusal, which states that nothing ran."""
        with self._lock:
            self.refused += 1

    def record_late(self) -> None:
        """Count a complete answer after its deadline."""
        with self._lock:
            self.late += 1

    def record_failed(self) -> None:
        """Count an incomplete answer."""
        with self._lock:
            self.failed += 1


__all__ = ["LatencyHistogram", "Recorder", "Summary"]
