"""News that is sent on a bounded number of times."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

SENDS_PER_DOUBLING = 2.0
MIN_SENDS = 4


class NewsQueue:
    """Names of which there is news: urgent ones, then those sent least."""

    def __init__(self) -> None:
        self._urgent: dict[str, int] = {}
        self._other: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._urgent) + len(self._other)

    def add(self, name: str, urgent: bool = True) -> None:
        """Start to send a name, or start over."""
        if urgent:
            self._other.pop(name, None)
            self._urgent[name] = 0
        elif name not in self._urgent:
            self._other[name] = 0

    def discard(self, name: str) -> None:
        """Send a name no more."""
        self._urgent.pop(name, None)
        self._other.pop(name, None)

    def take(self, count: int, members: int) -> tuple[str, ...]:
        """Give names for one message.

        :param members: size of the fleet, which bounds how often a name
            is sent
        """
        doublings = math.log2(members + 1)
        most = max(MIN_SENDS, math.ceil(SENDS_PER_DOUBLING * doublings))
        first = _take(self._urgent, count, most)
        return first + _take(self._other, count - len(first), most)


def _take(sends: dict[str, int], count: int, most: int) -> tuple[str, ...]:
    if not sends or count <= 0:
        return ()
    chosen = sorted(sends, key=sends.__getitem__)[:count]
    for name in chosen:
        sends[name] += 1
        if sends[name] >= most:
            del sends[name]
    return tuple(chosen)


class Rotation:
    """Goes through names in random order, a few at a time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._left: list[str] = []

    def take(self, count: int, names: Iterable[str]) -> tuple[str, ...]:
        """Give the next names.

        :param names: all names, of which a new turn is made
        """
        if len(self._left) < count:
            self._left = list(names)
            self._rng.shuffle(self._left)
        taken, self._left = self._left[:count], self._left[count:]
        return tuple(taken)


__all__ = ["NewsQueue", "Rotation"]
