"""Backend servers that are leaving, from all sources."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.store import ListedState
from mulberrypass.policy.membership.news import NewsQueue

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

HOLD_S = 60.0
UNLISTED_HOLD_S = 600.0


@dataclass(frozen=True, slots=True)
class BackendMark:
    """News that a backend server is leaving.

    :param sequence: the higher one is the later news
    """

    backend: str
    leaving: bool
    sequence: int


@dataclass(slots=True)
class _Known:
    sequence: int
    since: float
    leaving: bool


class LeavingBackends:
    """Which backend servers are leaving, and what to tell of that.

    A mark stays until the platform lists the server as live again, and
    for ``HOLD_S`` whatever the list says, because the list is late.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._news = NewsQueue()

    def leaving(self) -> frozenset[str]:
        """Give the names of those that are leaving."""
        return frozenset(n for n, k in self._known.items() if k.leaving)

    def take_marks(self, count: int, members: int) -> tuple[BackendMark, ...]:
        """Give news for one message.

        :param members: size of the fleet
        """
        return tuple(map(self._mark, self._news.take(count, members)))

    def all_marks(self) -> tuple[BackendMark, ...]:
        """Give what a member that comes new has to know."""
        return tuple(map(self._mark, sorted(self.leaving())))

    def report(self, backend: str, now: float) -> bool:
        """Take a first-hand report.

        :returns: whether that is news
        """
        known = self._known.get(backend)
        sequence = known.sequence if known is not None else 0
        held = known is not None and now - known.since < HOLD_S / 2
        if known is not None and known.leaving and held:
            return False
        self._set(BackendMark(backend, True, sequence + 1), now)
        return True

    def merge(self, marks: Iterable[BackendMark], now: float) -> bool:
        """Take marks of other members.

        :returns: whether any is news
        """
        fresh = [mark for mark in marks if self._is_later(mark)]
        for mark in fresh:
            self._set(mark, now)
        return bool(fresh)

    def take_list(self, states: Mapping[str, ListedState], now: float) -> bool:
        """Take the platform's list.

        :returns: whether that changes anything
        """
        before = self.leaving()
        for backend, state in states.items():
            if state is ListedState.LEAVING:
                self.report(backend, now)
        for backend, known in self._known.items():
            hold_s = HOLD_S if backend in states else UNLISTED_HOLD_S
            leaving = states.get(backend) is ListedState.LEAVING
            if not leaving and now - known.since >= hold_s:
                known.leaving = False
        return before != self.leaving()

    def _mark(self, backend: str) -> BackendMark:
        known = self._known[backend]
        return BackendMark(backend, known.leaving, known.sequence)

    def _is_later(self, mark: BackendMark) -> bool:
        known = self._known.get(mark.backend)
        return known is None or mark.sequence > known.sequence

    def _set(self, mark: BackendMark, now: float) -> None:
        known = _Known(mark.sequence, now, mark.leaving)
        self._known[mark.backend] = known
        self._news.add(mark.backend)


__all__ = ["BackendMark", "HOLD_S", "LeavingBackends", "UNLISTED_HOLD_S"]
