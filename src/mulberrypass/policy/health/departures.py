"""Starts of engines that have said that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# As far as the clocks of engines and instances may differ.
MAX_CLOCK_ERROR_MS = 5_000
MAX_DEPARTURES = 4_096


class Departures:
    """The last start of each engine that is known to leave.

    It covers all earlier starts: the registry may be stale.
    """

    def __init__(self, limit: int = MAX_DEPARTURES) -> None:
        self._limit = limit
        self._last_ms: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of engines."""
        return len(self._last_ms)

    def add(self, engine: str, born_ms: int) -> bool:
        """Record that a start of an engine leaves.

        :param born_ms: Unix time of the start in milliseconds
        :returns: whether this was news
        """
        if self.covers(engine, born_ms):
            return False
        self._last_ms[engine] = born_ms
        return True

    def add_answer(self, engine: str, born_ms: int, at_ms: int) -> bool:
        """Record that an engine has said in an answer that it leaves.

        :param born_ms: start that the registry lists; the engine may have
            started again since
        :param at_ms: Unix time of the answer in milliseconds
        :returns: whether it was news of the start that is listed
        """
        news = self.add(engine, born_ms)
        self.add(engine, at_ms - MAX_CLOCK_ERROR_MS)
        return news

    def covers(self, engine: str, born_ms: int) -> bool:
        """Return whether a start of an engine is known to leave."""
        last_ms = self._last_ms.get(engine)
        return last_ms is not None and born_ms <= last_ms

    def starts(self) -> dict[str, int]:
        """Return the birth of the last leaving start by engine."""
        return dict(self._last_ms)

    def forget(self, listed: Collection[str]) -> None:
        """Forget the oldest engines above the limit that aren't listed."""
        excess = len(self._last_ms) - self._limit
        if excess <= 0:
            return
        unlisted = [name for name in self._last_ms if name not in listed]
        for name in unlisted[:excess]:
            del self._last_ms[name]


__all__ = ["Departures", "MAX_CLOCK_ERROR_MS", "MAX_DEPARTURES"]
