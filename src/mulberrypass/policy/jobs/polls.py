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
        self._sent_at: float | None = None
        self._next_at = float("-inf")
        self._last_tick_at: float | None = None
        self._resumed_at = float("-inf")
        self._outage = False
        self.start_until = float("-inf")

    def blocked(self, now: float) -> bool:
        """Return whether nothing may start before a poll is answered."""
        return now >= self.start_until

    def due(self, busy: bool, now: float) -> bool:
        """Note a tick; whether to poll now.

        :param busy: whether this process holds or draws lots
        """
        settings = self._settings
        previous, self._last_tick_at = self._last_tick_at, now
        if previous is not None and now - previous > settings.pause_s:
            self._resumed_at = now
            self._outage = False
            self._next_at = now
        if self._outage:
            self.start_until = now + settings.pause_s
        if self._sent_at is not None or now < self._next_at:
            return False
        self._sent_at = now
        self._next_at = now + (
            settings.poll_s if busy else settings.idle_poll_s
        )
        return True

    def answered(self) -> None:
        """Note that the poll that was asked for was answered."""
        sent_at, self._sent_at = self._sent_at, None
        if sent_at is not None:
            self._outage = False
            self.start_until = sent_at + self._settings.max_snapshot_age_s

    def failed(self, unavailable: bool) -> None:
        """Note that the poll that was asked for failed.

        :param away: whether the platform gave no answer at all
        """
        sent_at, self._sent_at = self._sent_at, None
        if sent_at is not None:
            self._outage = unavailable and sent_at >= self._resumed_at


__all__ = ["PollSchedule"]
