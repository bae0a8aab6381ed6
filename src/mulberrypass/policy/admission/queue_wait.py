"""Estimates of how long work takes and how long it waits."""

from __future__ import annotations

DECAY = 0.97
MIN_SAMPLES = 5


class ServiceEstimate:
    """Learns the seconds that a unit of estimated work takes."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._work = 0.0
        self._samples = 0

    def observe(self, work: float, service_s: float) -> None:
        """Learn from work that was done."""
        self._seconds = self._seconds * DECAY + service_s
        self._work = self._work * DECAY + work
        self._samples += 1

    def mean_s(self) -> float:
        """Give the mean time of a piece of work; 0 if unknown."""
        if self._samples < MIN_SAMPLES:
            return 0.0
        return self._seconds * (1 - DECAY) / (1 - DECAY**self._samples)

    def expected_s(self, work: float) -> float:
        """Give the seconds that work is expected to take; 0 if unknown."""
        if self._samples < MIN_SAMPLES or self._work <= 0:
            return 0.0
        return work * self._seconds / self._work


def wait_s(work_seconds: float, parallel: int) -> float:
    """Give the wait behind work that runs in parallel.

    :param work_seconds: expected seconds of the work ahead, one by one
    :param parallel: pieces of work that run at once
    """
    return work_seconds / max(1, parallel)


__all__ = ["ServiceEstimate", "wait_s"]
