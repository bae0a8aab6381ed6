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
    """Names of which there is news, those sent least often first."""

    def __init__(self) -> None:
        self._sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, name: str) -> None:
        """Start to send a name, or start over."""
        self._sends[name] = 0

    def discard(self, name: str) -> None:
        """Send a name no more."""
        self._sends.pop(name, None)

    def take(self, count: int, members: int) -> tuple[str, ...]:
        """Give names for one message.

        :param members: size of the fleet, which bounds how often a name
            is sent
        """
        if not self._sends:
            return ()
        most = max(
            MIN_SENDS, math.ceil(SENDS_PER_DOUBLING * math.log2(members + 1))
        )
        chosen = sorted(self._sends, key=self._sends.__getitem__)[:count]
        for name in chosen:
            self._sends[name] += 1
            if self._sends[name] >= most:
                del self._sends[name]
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
