"""Recent latency samples of an engine and the median of its peers."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable


class Samples:
    """Sliding window of the latest samples of one engine."""

    def __init__(self, max_samples: int) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=max_samples)
        self._median: float | None = None

    def __len__(self) -> int:
        """Return the number of samples."""
        return len(self._samples)

    def add(self, at: float, value: float) -> None:
        """Add a sample."""
        self._samples.append((at, value))
        self._median = None

    def drop_old(self, oldest: float) -> None:
        """Drop the samples that are older than ``oldest``."""
        while self._samples and self._samples[0][0] < oldest:
            self._samples.popleft()
            self._median = None

    def clear(self) -> None:
        """Drop all samples."""
        self._samples.clear()
        self._median = None

    def median(self) -> float:
        """Return the median; there must be at least one sample."""
        if self._median is None:
            self._median = median(value for _, value in self._samples)
        return self._median


@value_class
class PeerMedians:
    """Sorted medians of the engines that have samples."""

    medians: tuple[float, ...]

    @classmethod
    def of(cls, engines: Iterable[tuple[Samples, float]]) -> PeerMedians:
        """Return the medians of all engines, divided by their paces."""
        medians = (e.median() / pace for e, pace in engines if len(e))
        return cls(tuple(sorted(medians)))

    def excluding(self, own: Samples, pace: float) -> float:
        """Return the median of the other engines' medians; 0 if unknown.

        :param pace: pace of the engine that is left out
        """
        others = list(self.medians)
        if len(own):
            others.remove(own.median() / pace)
        if not others:
            return 0.0
        middle = len(others) // 2
        if len(others) % 2:
            return others[middle]
        return (others[middle - 1] + others[middle]) / 2


__all__ = ["PeerMedians", "Samples"]
