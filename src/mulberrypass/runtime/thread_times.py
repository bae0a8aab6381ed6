"""CPU time of the threads, for the state dump of a process."""

from __future__ import annotations

from collections import defaultdict
import threading
import time


def thread_times() -> dict[str, float]:
    """Return the CPU seconds of the running threads by name.

    Threads of a pool, whose names differ only in a trailing number, are
    added up. ``all`` is the whole process, including ended threads.
    """
    times: dict[str, float] = defaultdict(float)
    for thread in threading.enumerate():
        if thread.ident is None:
            continue
        clock = time.pthread_getcpuclockid(thread.ident)
        name = thread.name.rstrip("0123456789").rstrip("-_")
        times[name] += time.clock_gettime(clock)
    times["all"] = time.process_time()
    return {name: round(seconds, 3) for name, seconds in times.items()}


__all__ = ["thread_times"]
