"""Gauges in the metrics of ``mulberry-site``."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mulberrypass.batches.holder import JobHolder
    from mulberrypass.relay.directory import Directory
    from mulberrypass.relay.repeats import Repeats
    from mulberrypass.relay.whole_body import HeldBodies
    from mulberrypass.runtime.log_lines import LineWriter
    from mulberrypass.runtime.log_metrics import EventMetrics
    from mulberrypass.storage.follow import TableFollower


def register_gauges(
    events: EventMetrics,
    directory: Directory,
    members: Callable[[], int],
    followers: Sequence[TableFollower],
    holder: JobHolder,
    lines: LineWriter,
    bodies: HeldBodies,
    repeats: Repeats,
) -> None:
    """Register gauges that read the components on each scrape."""
    add_gauge = events.gauge
    add_gauge(
        "configuration_version",
        "version of the configuration in force",
        lambda: float(directory.routes().version),
    )
    add_gauge(
        "configuration_age_seconds",
        "seconds since that version was put in force",
        lambda: float(directory.state()["age_s"]),
    )
    add_gauge(
        "engines",
        "engines that may get new work",
        lambda: float(len(directory.current().backends)),
    )
    add_gauge(
        "engines_said_to_leave",
        "registered engines that have said that they leave",
        lambda: float(directory.count_said_to_leave()),
    )
    add_gauge(
        "members",
        "members that are known to live",
        lambda: float(members()),
    )
    add_gauge(
        "store_silent_seconds",
        "seconds since the store last answered a feed",
        lambda: time.monotonic() - max(f.answered_at for f in followers),
    )
    add_gauge(
        "jobs_held",
        "batch jobs that this member runs",
        lambda: float(len(holder.state())),
    )
    add_gauge(
        "threads",
        "threads of the process",
        lambda: float(threading.active_count()),
    )
    add_gauge(
        "log_lines_dropped",
        "log lines that were dropped",
        lambda: float(lines.dropped),
    )
    add_gauge(
        "answer_bytes_held",
        "bytes of answers that are held until they are whole",
        lambda: float(bodies.total),
    )
    add_gauge(
        "answer_bytes_held_most",
        "most of these bytes since the start",
        lambda: float(bodies.most),
    )
    add_gauge(
        "answers_turned_away",
        "answers that had to yield their bytes to others",
        lambda: float(bodies.turned_away),
    )
    events.labelled_counter(
        "second_runs",
        "second runs of late requests, by service and what became of them",
        ("service", "result"),
        repeats.counts,
    )


__all__ = ["register_gauges"]
