"""Places online work while the owner of a cell can't be reached."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from mulberrypass.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.objects import Backend
    from mulberrypass.policy.messages import Ask


class LocalShare:
    """Limits and counts online work that runs without an owner's permit."""

    def __init__(self) -> None:
        self._running: Counter[str] = Counter()

    def choose(
        self, ask: Ask, backends: Iterable[Backend], member_count: int
    ) -> str | None:
        """Return the least used backend server with a free local slot.

        All holders lose an owner at the same moment, and most of them use no
        backend server yet. So that they don't all choose the same one, equal
        ones are ranked by the ask.

        :param backends: backend servers that are not leaving
        :param member_count: live members that share the slots
        """
        available = [
            (used, rendezvous.weight(ask.ask_id, backend.name), backend.name)
            for backend in backends
            if backend.name not in ask.avoid
            for share in (max(1, backend.slots // max(1, member_count)),)
            for used in (self._running[backend.name] / share,)
            if used < 1
        ]
        return min(available)[2] if available else None

    def acquire(self, backend: str) -> None:
        """Count a unit of work that starts."""
        self._running[backend] += 1

    def release(self, backend: str) -> None:
        """Count a unit of work that ended."""
        self._running[backend] -= 1
        if self._running[backend] <= 0:
            del self._running[backend]

    def running(self) -> dict[str, int]:
        """Return the number of running units of work by backend server."""
        return dict(self._running)


__all__ = ["LocalShare"]
