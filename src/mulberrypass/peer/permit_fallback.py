"""A holder's local share of slots while an owner is unreachable."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

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

        :param backends: backend servers that are not leaving
        :param member_count: live members that share the slots
        """
        available = [
            (self._running[backend.name] / share, backend.name)
            for backend in backends
            if backend.name not in ask.avoid
            for share in (max(1, backend.slots // max(1, member_count)),)
            if self._running[backend.name] < share
        ]
        return min(available)[1] if available else None

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
