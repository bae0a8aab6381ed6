"""Prometheus metrics, counted from the events that are logged."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from itertools import accumulate
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import (
        Callable,
        Iterator,
        Mapping,
        MutableMapping,
    )

    from prometheus_client.core import Metric

    Counts = Mapping[tuple[str, ...], int]

MS_PER_S = 1_000.0
# Cover the targets of a site: 300 ms to the first event, 18 s to a result.
BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
TIME_FIELDS = {
    "queued_ms": "seconds that an answered request waited for a permit",
    "first_ms": "seconds to the first event of an answered request",
    "age_ms": "seconds to the end of an answered request",
}
TIMED_EVENT = "answered"


class _Latencies:
    """Counts times by bucket."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative counts by their upper bounds."""
        bounds = [str(bound) for bound in BUCKETS_S] + ["+Inf"]
        return list(zip(bounds, accumulate(self.counts), strict=True))


class EventMetrics:
    """Counts events by name and reason, and the latencies of answers.

    Events are counted before the log writer may drop their lines. Most
    instances are never asked for metrics, so the library that writes them
    is imported at the first request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events: Counter[tuple[str, str]] = Counter()
        self._latencies = {field: _Latencies() for field in TIME_FIELDS}
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []
        self._labelled: list[
            tuple[str, str, tuple[str, ...], Callable[[], Counts]]
        ] = []
        self._counters: list[tuple[str, str, Callable[[], int]]] = []

    def processor(
        self, _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Count an event; a structlog processor."""
        name = str(event.get("event", ""))
        reason = str(event.get("reason", "")).partition(":")[0]
        with self._lock:
            self._events[name, reason] += 1
            if name == TIMED_EVENT:
                for field, latencies in self._latencies.items():
                    value = event.get(field)
                    if value is not None:
                        latencies.add(value / MS_PER_S)
        return event

    def gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read on each collection."""
        self._gauges.append((f"mulberry_{name}", help_text, read))

    def labelled_counter(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        read: Callable[[], Counts],
    ) -> None:
        """Add a counter that is read on each collection.

        :param read: returns the counts by the values of the labels
        """
        counter = (f"mulberry_{name}", help_text, labels, read)
        self._labelled.append(counter)

    def counter(
        self, name: str, help_text: str, read: Callable[[], int]
    ) -> None:
        """Add a counter whose value is read on each collection."""
        self._counters.append((f"mulberry_{name}", help_text, read))

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, as a collector of the library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "mulberry_events",
            "events as logged, by name and reason",
            labels=("event", "reason"),
        )
        with self._lock:
            for labels, count in self._events.items():
                events.add_metric(labels, count)
            histograms = [
                HistogramMetricFamily(
                    f"mulberry_{field.removesuffix('_ms')}_seconds",
                    help_text,
                    self._latencies[field].buckets(),
                    self._latencies[field].sum_s,
                )
                for field, help_text in TIME_FIELDS.items()
            ]
        yield from (events, *histograms)
        for name, help_text, read in self._gauges:
            yield GaugeMetricFamily(name, help_text, read())
        for name, help_text, label_names, read_counts in self._labelled:
            counter = CounterMetricFamily(name, help_text, labels=label_names)
            for values, count in read_counts().items():
                counter.add_metric(values, count)
            yield counter
        for name, help_text, read_count in self._counters:
            yield CounterMetricFamily(name, help_text, read_count())

    def text(self) -> bytes:
        """Return all metrics in the exposition format."""
        from prometheus_client import generate_latest
        from prometheus_client.registry import CollectorRegistry

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)


__all__ = ["CONTENT_TYPE", "EventMetrics"]
