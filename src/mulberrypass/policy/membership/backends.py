"""Backend servers that are leaving, merged from all sources."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.store import ListedState
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.membership.gossip import GossipQueue

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MIN_LEAVING_S = 60.0
UNLISTED_LEAVING_S = 600.0
# Servers that left and are remembered, as their sequences keep late updates
# from being taken for news.
MAX_LEFT = 1_024


@value_class
class BackendUpdate:
    """Whether a backend server is leaving, as members gossip it.

    :param sequence: version; the highest one known of a server wins
    """

    backend: str
    leaving: bool
    sequence: int


@dataclass(slots=True)
class _Status:
    sequence: int
    updated_at: float
    leaving: bool


class LeavingBackends:
    """The backend servers that are leaving, and the gossip about them.

    A server stays leaving until the platform lists it as live again, but
    for at least ``MIN_LEAVING_S``, because the list lags behind. A server
    that isn't listed stays leaving for ``UNLISTED_LEAVING_S``.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Status] = {}
        self._gossip = GossipQueue()

    def leaving(self) -> frozenset[str]:
        """Return the names of the backend servers that are leaving."""
        return frozenset(n for n, k in self._known.items() if k.leaving)

    def next_updates(
        self, count: int, members: int
    ) -> tuple[BackendUpdate, ...]:
        """Return the updates to send in one message.

        :param members: number of members in the fleet
        """
        return tuple(map(self._update, self._gossip.take(count, members)))

    def snapshot(self) -> tuple[BackendUpdate, ...]:
        """Return the full state, for a member that has just joined."""
        return tuple(map(self._update, sorted(self.leaving())))

    def report(self, backend: str, now: float) -> bool:
        """Record that a backend server has said that it is leaving.

        :returns: whether the report has made an update
        """
        known = self._known.get(backend)
        sequence = known.sequence if known is not None else 0
        recent = (
            known is not None and now - known.updated_at < MIN_LEAVING_S / 2
        )
        if known is not None and known.leaving and recent:
            return False
        self._set(BackendUpdate(backend, True, sequence + 1), now)
        return True

    def merge(self, updates: Iterable[BackendUpdate], now: float) -> bool:
        """Merge updates received from another member.

        :returns: whether any of them was newer than the known state
        """
        newer = [update for update in updates if self._is_newer(update)]
        for update in newer:
            self._set(update, now)
        return bool(newer)

    def apply_list(
        self, states: Mapping[str, ListedState], now: float
    ) -> bool:
        """Apply the platform's list of backend servers.

        :returns: whether the set of leaving servers has changed
        """
        before = self.leaving()
        for backend, state in states.items():
            if state is ListedState.LEAVING:
                self.report(backend, now)
        for backend, known in self._known.items():
            min_s = MIN_LEAVING_S if backend in states else UNLISTED_LEAVING_S
            leaving = states.get(backend) is ListedState.LEAVING
            if not leaving and now - known.updated_at >= min_s:
                known.leaving = False
        self._forget_oldest()
        return before != self.leaving()

    def _forget_oldest(self) -> None:
        left = [name for name, k in self._known.items() if not k.leaving]
        left.sort(key=lambda name: self._known[name].updated_at)
        for name in left[: max(0, len(left) - MAX_LEFT)]:
            del self._known[name]
            self._gossip.discard(name)

    def _update(self, backend: str) -> BackendUpdate:
        known = self._known[backend]
        return BackendUpdate(backend, known.leaving, known.sequence)

    def _is_newer(self, update: BackendUpdate) -> bool:
        known = self._known.get(update.backend)
        return known is None or update.sequence > known.sequence

    def _set(self, update: BackendUpdate, now: float) -> None:
        known = _Status(update.sequence, now, update.leaving)
        self._known[update.backend] = known
        self._gossip.add(update.backend)


__all__ = [
    "BackendUpdate",
    "LeavingBackends",
    "MAX_LEFT",
    "MIN_LEAVING_S",
    "UNLISTED_LEAVING_S",
]
