"""Crashes of engines, as members gossip them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.health.crashes import CrashHistory
from mulberrypass.policy.membership.gossip import GossipQueue

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.policy.health.crashes import Crash

# Keeps a heartbeat within a datagram.
MAX_CRASHES_PER_MESSAGE = 2


class CrashGossip:
    """The crashes that this member knows, and the gossip about them."""

    def __init__(self) -> None:
        self._history = CrashHistory()
        self._gossip = GossipQueue(newest_first=True)
        self._changed: dict[str, None] = {}

    def report(self, crash: Crash, now: float) -> bool:
        """Record a crash; return whether that is news."""
        merged = self._history.merge(crash, now)
        if merged is None:
            return False
        self._gossip.add(crash.engine)
        return True

    def merge(self, crashes: Iterable[Crash], now: float) -> bool:
        """Merge crashes from another member; return whether any is news."""
        news = [crash.engine for crash in crashes if self.report(crash, now)]
        self._changed.update(dict.fromkeys(news))
        return bool(news)

    def take_changed(self) -> tuple[Crash, ...]:
        """Return the crashes that other members have changed since."""
        changed, self._changed = self._changed, {}
        return self._known(changed)

    def next_updates(self, members: int) -> tuple[Crash, ...]:
        """Return the crashes to send in one message.

        :param members: number of members in the fleet
        """
        return self._known(self._gossip.take(MAX_CRASHES_PER_MESSAGE, members))

    def snapshot(self) -> tuple[Crash, ...]:
        """Return the crashes with suspects, for a member that has joined."""
        crashes = self._history.crashes()
        return tuple(
            crash
            for crash in crashes
            if crash.open_suspects or crash.open_requests
        )

    def _known(self, engines: Iterable[str]) -> tuple[Crash, ...]:
        found = map(self._history.get, engines)
        return tuple(crash for crash in found if crash is not None)


__all__ = ["CrashGossip"]
