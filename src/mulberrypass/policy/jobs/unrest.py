"""Whether holders were lost of late, so that little should be at risk."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class Unrest:
    """Lasts for a while after a member was lost or started anew.

    :param lasts_s: seconds for which it lasts
    """

    def __init__(self, lasts_s: float) -> None:
        self._lasts_s = lasts_s
        self._known: dict[str, int] = {}
        self._until = 0.0

    def note(self, live: Mapping[str, int], now: float) -> None:
        """Take in the members that are alive.

        :param live: incarnation of each
        """
        if any(live.get(name) != i for name, i in self._known.items()):
            self._until = now + self._lasts_s
        self._known = dict(live)

    def lasts(self, now: float) -> bool:
        """Whether another loss is to be reckoned with."""
        return now < self._until


__all__ = ["Unrest"]
