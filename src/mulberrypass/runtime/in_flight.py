"""Counts calls in flight, which a planned stop waits for."""

from __future__ import annotations

import threading


class CallCounter:
    """Counts calls that have not been answered whole."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    @property
    def in_flight(self) -> int:
        """Calls that have started and have not been answered whole."""
        with self._lock:
            return self._count

    def enter(self) -> None:
        """Count a call in."""
        with self._lock:
            self._count += 1

    def leave(self) -> None:
        """Count a call out."""
        with self._lock:
            self._count -= 1


__all__ = ["CallCounter"]
