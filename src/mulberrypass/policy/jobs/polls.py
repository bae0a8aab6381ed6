"""Timing of a holder's polls, and how long each permits new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.policy.jobs.commands import HolderSettings


class PollSchedule:
    """Limits how long a holder can miss that a job was cancelled.

    Work starts only for a short time after the last answered poll was sent,
    so that a paused process or a slow store delays work and not a
    cancellation. While polls get no answer at all, work starts
    without one.
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
        """Return whether no work may start until a poll is answered."""
        return now >= self.start_until

    def due(self, busy: bool, now: float) -> bool:
        """Record a tick, and return whether to poll now.

        :param busy: whether this process holds or may lease lots
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
        """Record that the outstanding poll was answered."""
        sent_at, self._sent_at = self._sent_at, None
        if sent_at is not None:
            self._outage = False
            self.start_until = sent_at + self._settings.max_snapshot_age_s

    def failed(self, unavailable: bool) -> None:
        """Record that the outstanding poll failed.

        :param unavailable: whether the platform gave no answer at all
        """
        sent_at, self._sent_at = self._sent_at, None
        if sent_at is not None:
            self._outage = unavailable and sent_at >= self._resumed_at


__all__ = ["PollSchedule"]
