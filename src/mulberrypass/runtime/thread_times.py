"""Processor time of each thread, for the dump of a process."""

from __future__ import annotations

from collections import defaultdict
import threading
import time


def thread_times() -> dict[str, float]:
    """Give the processor seconds of the threads that live, by their name.

    Threads of one pool are added up; the number at the end of their name
    is left out. ``all`` is the whole process, ended threads included.
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
