"""Queues of the updates that members send to each other."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

SENDS_PER_DOUBLING = 2.0
MIN_SENDS = 4


class GossipQueue:
    """Names with pending updates, each sent a bounded number of times.

    Urgent names go first, then those that were sent least often.

    :param newest_first: whether of those sent equally often the one that was
        queued last goes first
    """

    def __init__(self, newest_first: bool = False) -> None:
        self._newest_first = newest_first
        self._urgent: dict[str, int] = {}
        self._other: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._urgent) + len(self._other)

    def add(self, name: str, urgent: bool = True) -> None:
        """Queue a name, or reset the number of times it was sent."""
        if urgent:
            self._other.pop(name, None)
            if self._newest_first:
                self._urgent.pop(name, None)
            self._urgent[name] = 0
        elif name not in self._urgent:
            self._other[name] = 0

    def discard(self, name: str) -> None:
        """Remove a name from the queue."""
        self._urgent.pop(name, None)
        self._other.pop(name, None)

    def take(self, count: int, members: int) -> tuple[str, ...]:
        """Return the names for one message.

        :param members: number of members in the fleet; a name is sent a
            number of times that grows with its logarithm
        """
        doublings = math.log2(members + 1)
        max_sends = max(MIN_SENDS, math.ceil(SENDS_PER_DOUBLING * doublings))
        newest_first = self._newest_first
        first = _take(self._urgent, count, max_sends, newest_first)
        left = count - len(first)
        return first + _take(self._other, left, max_sends, newest_first)


def _take(
    sends: dict[str, int], count: int, max_sends: int, newest_first: bool
) -> tuple[str, ...]:
    if not sends or count <= 0:
        return ()
    names = reversed(sends) if newest_first else iter(sends)
    chosen = sorted(names, key=sends.__getitem__)[:count]
    for name in chosen:
        sends[name] += 1
        if sends[name] >= max_sends:
            del sends[name]
    return tuple(chosen)


class Rotation:
    """Iterates over names in random order, a few at a time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._remaining: list[str] = []

    def take(self, count: int, names: Iterable[str]) -> tuple[str, ...]:
        """Return the next names.

        :param names: all names, shuffled when the last pass is used up
        """
        if len(self._remaining) < count:
            self._remaining = list(names)
            self._rng.shuffle(self._remaining)
        taken, self._remaining = (
            self._remaining[:count],
            self._remaining[count:],
        )
        return tuple(taken)


__all__ = ["GossipQueue", "Rotation"]
