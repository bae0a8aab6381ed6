"""Latencies of one kind of work, in high dynamic range histograms."""

from __future__ import annotations

from dataclasses import dataclass
import threading

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000


@dataclass(frozen=True, slots=True)
class Summary:
    """Percentiles of one latency, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class Latency:
    """One latency, recorded by any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)

    def record(self, seconds: float) -> None:
        """Record one duration."""
        value = min(HIGHEST_US, max(LOWEST_US, int(seconds * US_PER_S)))
        with self._lock:
            self._histogram.record_value(value)

    def summary(self) -> Summary:
        """Give the percentiles so far."""
        with self._lock:
            return Summary(
                int(self._histogram.get_total_count()),
                self._ms(50),
                self._ms(95),
                self._ms(99),
                self._ms(100),
            )

    def _ms(self, percentile: float) -> float:
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / US_PER_MS


class Recorder:
    """What is measured of one kind of work.

    :ivar first: from the intended send time to the first token
    :ivar gap: between one token's arrival and the next one's
    :ivar total: from the intended send time to the end of the answer
    """

    def __init__(self) -> None:
        self.first = Latency()
        self.gap = Latency()
        self.total = Latency()
        self._lock = threading.Lock()
        self.done = 0
        self.tokens = 0
        self.refused = 0
        self.failed = 0
        self.failed_late = 0

    def finish(self, total_s: float, tokens: int) -> None:
        """Count an answer that came whole."""
        self.total.record(total_s)
        with self._lock:
            self.done += 1
            self.tokens += tokens

    def refuse(self) -> None:
        """Count a refusal that said that nothing ran."""
        with self._lock:
            self.refused += 1

    def late(self) -> None:
        """Count a whole answer that came after its deadline."""
        with self._lock:
            self.failed_late += 1

    def fail(self) -> None:
        """Count an answer that did not come whole."""
        with self._lock:
            self.failed += 1


__all__ = ["Latency", "Recorder", "Summary"]
