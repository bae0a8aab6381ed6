"""Detection of lost and restarted members."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class ChurnDetector:
    """Detects recent losses, during which outcomes are flushed sooner.

    :param duration_s: seconds for which a loss counts as recent
    """

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._known: dict[str, int] = {}
        self._active_until = 0.0

    def observe(self, live: Mapping[str, int], now: float) -> None:
        """Record the live members.

        :param live: incarnation of each
        """
        if any(live.get(name) != i for name, i in self._known.items()):
            self._active_until = now + self._duration_s
        self._known = dict(live)

    def active(self, now: float) -> bool:
        """Return whether a member was lost or restarted recently."""
        return now < self._active_until


__all__ = ["ChurnDetector"]
