"""Estimates of service times and queueing delays."""

from __future__ import annotations

DECAY = 0.97
MIN_SAMPLES = 5


class ServiceEstimate:
    """Estimates the seconds per unit of work, as a decaying average."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._work = 0.0
        self._samples = 0

    def observe(self, work: float, service_s: float) -> None:
        """Record the service time of completed work."""
        self._seconds = self._seconds * DECAY + service_s
        self._work = self._work * DECAY + work
        self._samples += 1

    def mean_s(self) -> float:
        """Return the mean service time; 0 if unknown."""
        if self._samples < MIN_SAMPLES:
            return 0.0
        return self._seconds * (1 - DECAY) / (1 - DECAY**self._samples)

    def expected_s(self, work: float) -> float:
        """Return the expected service time of work; 0 if unknown."""
        if self._samples < MIN_SAMPLES or self._work <= 0:
            return 0.0
        return work * self._seconds / self._work


def wait_s(work_seconds: float, parallel: int) -> float:
    """Return the wait behind queued work that runs in parallel.

    :param work_seconds: total expected service time of the work ahead
    :param parallel: number of slots that serve it
    """
    return work_seconds / max(1, parallel)


__all__ = ["ServiceEstimate", "wait_s"]
