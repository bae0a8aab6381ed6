"""Order of the items that wait for an engine, apart for each service."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

T = TypeVar("T")


class WaitingItems(Generic[T]):
    """Items that wait, by due time within the service that is to run them.

    Items of one service don't wait for those of another, whose engines may
    all be busy or lost. Not thread-safe.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, list[tuple[float, int, T]]] = {}
        self._paused: list[tuple[float, int, float, T]] = []
        self._sequence = itertools.count()

    def add(self, service: str, due_at: float, item: T) -> None:
        """Add an item that may ask for an engine of a service."""
        waiting = self._by_service.setdefault(service, [])
        heapq.heappush(waiting, (due_at, next(self._sequence), item))

    def pause(self, until: float, due_at: float, item: T) -> None:
        """Add an item that may not ask before a time."""
        entry = (until, next(self._sequence), due_at, item)
        heapq.heappush(self._paused, entry)

    def resumed(self, now: float) -> Iterator[tuple[float, T]]:
        """Remove and yield items whose pause is over, with due times."""
        while self._paused and self._paused[0][0] <= now:
            _, _, due_at, item = heapq.heappop(self._paused)
            yield due_at, item

    def pop(self, service: str) -> T | None:
        """Remove and return the item of a service that is due first."""
        waiting = self._by_service.get(service)
        if not waiting:
            return None
        _, _, item = heapq.heappop(waiting)
        if not waiting:
            del self._by_service[service]
        return item

    def pop_service(self, service: str) -> list[T]:
        """Remove and return all items of a service, in order."""
        waiting = self._by_service.pop(service, [])
        return [item for _, _, item in sorted(waiting)]

    def first_due(self, service: str) -> float:
        """Return when the first item of a service is due; else infinity."""
        waiting = self._by_service.get(service)
        return waiting[0][0] if waiting else float("inf")

    def keep(self, wanted: Callable[[T], bool]) -> None:
        """Drop the items that aren't wanted."""
        for service, waiting in list(self._by_service.items()):
            kept = [entry for entry in waiting if wanted(entry[2])]
            heapq.heapify(kept)
            self._by_service[service] = kept
            if not kept:
                del self._by_service[service]
        self._paused = [entry for entry in self._paused if wanted(entry[3])]
        heapq.heapify(self._paused)

    @property
    def services(self) -> tuple[str, ...]:
        """The services with waiting items."""
        return tuple(self._by_service)

    @property
    def resume_at(self) -> float:
        """When the next pause is over; infinite without one."""
        return self._paused[0][0] if self._paused else float("inf")


__all__ = ["WaitingItems"]
