"""Counts calls in flight, which a graceful stop waits for."""

from __future__ import annotations

import threading


class CallCounter:
    """A thread-safe counter of calls in flight."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    @property
    def in_flight(self) -> int:
        """Number of calls that aren't completely answered."""
        with self._lock:
            return self._count

    def enter(self) -> None:
        """Count the start of a call."""
        with self._lock:
            self._count += 1

    def leave(self) -> None:
        """Count the end of a call."""
        with self._lock:
            self._count -= 1


__all__ = ["CallCounter"]
