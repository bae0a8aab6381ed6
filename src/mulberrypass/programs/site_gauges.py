"""What the metrics of ``mulberry-site`` show beside its events."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mulberrypass.batches.holder import JobHolder
    from mulberrypass.relay.directory import Directory
    from mulberrypass.runtime.log_lines import LineWriter
    from mulberrypass.runtime.log_metrics import EventMetrics
    from mulberrypass.storage.follow import TableFollower


def open_gauges(
    events: EventMetrics,
    directory: Directory,
    members: Callable[[], int],
    followers: Sequence[TableFollower],
    holder: JobHolder,
    lines: LineWriter,
) -> None:
    """Show the state of the parts whenever the metrics are read."""
    show = events.gauge
    show(
        "configuration_version",
        "version of the configuration in force",
        lambda: float(directory.routes().version),
    )
    show(
        "configuration_age_seconds",
        "seconds since that version was put in force",
        lambda: float(directory.state()["age_s"]),
    )
    show(
        "engines",
        "engines that may get new work",
        lambda: float(len(directory.current().backends)),
    )
    show(
        "members",
        "members that are known to live",
        lambda: float(members()),
    )
    show(
        "store_silent_seconds",
        "seconds since the store last answered a feed",
        lambda: time.monotonic() - max(f.answered_at for f in followers),
    )
    show(
        "jobs_held",
        "batch jobs that this member runs",
        lambda: float(len(holder.state())),
    )
    show(
        "threads",
        "threads of the process",
        lambda: float(threading.active_count()),
    )
    show(
        "log_lines_dropped",
        "log lines that were dropped",
        lambda: float(lines.dropped),
    )


__all__ = ["open_gauges"]
