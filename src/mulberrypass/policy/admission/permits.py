"""Granted permits of a cell and their reclaim times."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.policy.admission.engines import Permit


class PermitTable:
    """Holds permits by id and lists the revocable ones, youngest first."""

    def __init__(self) -> None:
        self._permits: dict[str, Permit] = {}
        self._revocable: dict[str, Permit] = {}
        self._reclaims: list[tuple[float, int, Permit]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of permits."""
        return len(self._permits)

    def __iter__(self) -> Iterator[Permit]:
        """Iterate over a snapshot of all permits."""
        return iter(tuple(self._permits.values()))

    def get(self, ask_id: str) -> Permit | None:
        """Return a permit; ``None`` if it is unknown."""
        return self._permits.get(ask_id)

    def add(self, permit: Permit) -> None:
        """Add a granted permit."""
        ask = permit.ask
        self._permits[ask.ask_id] = permit
        if ask.revocable and ask.work_class is WorkClass.BATCH:
            self._revocable[ask.ask_id] = permit
        self.reclaim_at(permit, permit.reclaim_at)

    def remove(self, ask_id: str) -> Permit | None:
        """Remove a permit."""
        self._revocable.pop(ask_id, None)
        return self._permits.pop(ask_id, None)

    def reclaim_at(self, permit: Permit, at: float) -> None:
        """Set the time at which a permit is reclaimed."""
        permit.reclaim_at = at
        self._sequence += 1
        heapq.heappush(self._reclaims, (at, self._sequence, permit))

    def revocable(self) -> Iterator[Permit]:
        """Iterate over the revocable permits, the youngest first."""
        return reversed(self._revocable.values())

    def remove_revocable(self, permit: Permit) -> None:
        """Remove a revoked permit from the revocable ones."""
        self._revocable.pop(permit.ask.ask_id, None)

    def pop_expired(self, now: float) -> list[Permit]:
        """Return permits due to be reclaimed; the caller ends them."""
        due: dict[str, Permit] = {}
        while self._reclaims and self._reclaims[0][0] <= now:
            at, _, permit = heapq.heappop(self._reclaims)
            standing = self._permits.get(permit.ask.ask_id) is permit
            if standing and permit.reclaim_at == at:
                due[permit.ask.ask_id] = permit
        return list(due.values())


__all__ = ["PermitTable"]
