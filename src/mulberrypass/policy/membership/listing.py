"""What the platform's lagging list says of machines."""

from __future__ import annotations

from dataclasses import replace
import itertools
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind, ListedState
from mulberrypass.policy.membership.messages import Contact

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.store import Listed


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

    def adjust(self, member: Member) -> Member:
        """Give a member as leaving where its machine is."""
        if _instance(member.name) not in self._leaving:
            return member
        leaving = max(member.state, MemberState.LEAVING)
        return replace(member, state=leaving)

    def is_listed(self, member: str) -> bool:
        """Tell whether a member's machine is listed at all."""
        return _instance(member) in self._addresses

    def forget(self, member: str) -> None:
        """Drop the leaving mark of a machine that is gone."""
        self._leaving.discard(_instance(member))

    def strangers(
        self,
        programs: Iterable[str],
        living: Iterable[Member],
        dead: Iterable[Member],
    ) -> list[Contact]:
        """Give each place where a member may be that is not known alive."""
        addresses = tuple(self._addresses.values()) or self._seeds
        places = dict.fromkeys(itertools.product(programs, addresses), "")
        places.update(((m.program, m.address), m.name) for m in dead)
        for member in living:
            places.pop((member.program, member.address), None)
        return [Contact(n, *place) for place, n in sorted(places.items())]


def _instance(member: str) -> str:
    return member.partition("@")[2]


__all__ = ["Listing"]
