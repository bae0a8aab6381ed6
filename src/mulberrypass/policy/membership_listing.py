"""What the platform's lagging list says of machines."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from mulberrypass.platform.api import ListedKind, ListedState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.platform.api import Listed


class Listing:
    """Machines as last listed, and addresses to start from."""

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._seeds: tuple[str, ...] = ()

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Give addresses to use until the list has been read."""
        self._seeds = addresses

    def take(self, listed: Iterable[Listed]) -> bool:
        """Take a list.

        A machine that is listed as leaving is leaving until it is listed
        as live.

        :returns: whether another set of machines is leaving
        """
        before = set(self._leaving)
        self._addresses = {}
        for entry in listed:
            if entry.kind is not ListedKind.INSTANCE:
                continue
            self._addresses[entry.name] = entry.address
            if entry.state is ListedState.LEAVING:
                self._leaving.add(entry.name)
            else:
                self._leaving.discard(entry.name)
        return before != self._leaving

    def is_leaving(self, member: str) -> bool:
        """Tell whether a member's machine is leaving."""
        return _instance(member) in self._leaving

    def is_listed(self, member: str) -> bool:
        """Tell whether a member's machine is listed at all."""
        return _instance(member) in self._addresses

    def forget(self, member: str) -> None:
        """Drop the leaving mark of a machine that is gone."""
        self._leaving.discard(_instance(member))

    def places(self, programs: Iterable[str]) -> set[tuple[str, str]]:
        """Give each program and address where a member may be."""
        addresses = tuple(self._addresses.values()) or self._seeds
        return set(itertools.product(programs, addresses))


def _instance(member: str) -> str:
    return member.partition("@")[2]


__all__ = ["Listing"]
