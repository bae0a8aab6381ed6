"""Arrival rate over a sliding window."""

from __future__ import annotations

from collections import deque


class ArrivalRate:
    """Measures the arrival rate over a sliding window.

    :param window_s: length of the window
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count an arrival."""
        self._times.append(now)

    def per_s(self, now: float) -> float:
        """Return the arrivals per second."""
        while self._times and self._times[0] < now - self._window_s:
            self._times.popleft()
        return len(self._times) / self._window_s


__all__ = ["ArrivalRate"]
