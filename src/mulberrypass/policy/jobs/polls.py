"""Decides when a holder polls, and how long it may start work by a poll."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.policy.jobs.commands import HolderSettings


class PollSchedule:
    """Bounds the time for which a holder doesn't hear of a cancelled job.

    Work starts by a poll that was asked for a short time ago, so that a
    paused process or a slow store delays work and not a cancellation. Only
    while polls fail does work start without one.
    """

    def __init__(self, settings: HolderSettings) -> None:
        self._settings = settings
        self._asked: float | None = None
        self._next = float("-inf")
        self._last_tick: float | None = None
        self._resumed = float("-inf")
        self._outage = False
        self.start_until = float("-inf")

    def blocked(self, now: float) -> bool:
        """Tell whether nothing may start before a poll is answered."""
        return now >= self.start_until

    def due(self, busy: bool, now: float) -> bool:
        """Note a tick; whether to poll now.

        :param busy: whether this process holds or draws lots
        """
        settings = self._settings
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > settings.pause_s:
            self._resumed = now
            self._outage = False
            self._next = now
        if self._outage:
            self.start_until = now + settings.pause_s
        if self._asked is not None or now < self._next:
            return False
        self._asked = now
        self._next = now + (settings.poll_s if busy else settings.idle_poll_s)
        return True

    def answered(self) -> None:
        """Note that the poll that was asked for was answered."""
        asked, self._asked = self._asked, None
        if asked is not None:
            self._outage = False
            self.start_until = asked + self._settings.board_age_s

    def failed(self, away: bool) -> None:
        """Note that the poll that was asked for failed.

        :param away: whether the platform gave no answer at all
        """
        asked, self._asked = self._asked, None
        if asked is not None:
            self._outage = away and asked >= self._resumed


__all__ = ["PollSchedule"]
