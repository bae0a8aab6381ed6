"""Whether holders were lost of late, so that little should be at risk."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class ChurnDetector:
    """Lasts for a while after a member was lost or started anew.

    :param lasts_s: seconds for which it lasts
    """

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._known: dict[str, int] = {}
        self._active_until = 0.0

    def observe(self, live: Mapping[str, int], now: float) -> None:
        """Take in the members that are alive.

        :param live: incarnation of each
        """
        if any(live.get(name) != i for name, i in self._known.items()):
            self._active_until = now + self._duration_s
        self._known = dict(live)

    def active(self, now: float) -> bool:
        """Whether another loss is to be reckoned with."""
        return now < self._active_until


__all__ = ["ChurnDetector"]
