"""Prometheus metrics, counted from the events that are logged."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping

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


class EventMetrics:
    """Counts events by name and reason, and the latencies of answers.

    Events are counted before the log writer may drop their lines.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._events = Counter(
            "mulberry_events",
            "events as logged, by name and reason",
            ("event", "reason"),
            registry=self._registry,
        )
        self._histograms = {
            field: Histogram(
                f"mulberry_{field.removesuffix('_ms')}_seconds",
                help_text,
                buckets=BUCKETS_S,
                registry=self._registry,
            )
            for field, help_text in TIME_FIELDS.items()
        }

    def processor(
        self, _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Count an event; a structlog processor."""
        name = str(event.get("event", ""))
        reason = str(event.get("reason", "")).partition(":")[0]
        self._events.labels(name, reason).inc()
        if name == TIMED_EVENT:
            for field, histogram in self._histograms.items():
                value = event.get(field)
                if value is not None:
                    histogram.observe(value / MS_PER_S)
        return event

    def gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read on each collection."""
        gauge = Gauge(f"mulberry_{name}", help_text, registry=self._registry)
        gauge.set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the exposition format."""
        return generate_latest(self._registry)


__all__ = ["CONTENT_TYPE", "EventMetrics"]
