"""The platform's list of instances, which lags behind."""

from __future__ import annotations

from dataclasses import replace
import itertools
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind, ListedState
from mulberrypass.policy.membership.messages import Contact

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.store import ListedMachine


class ListedInstances:
    """Instances as last listed, and seed addresses for the first contact."""

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._seeds: tuple[str, ...] = ()

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses to use until the list has been read."""
        self._seeds = addresses

    def update(self, listed: Iterable[ListedMachine]) -> bool:
        """Apply a newly read list.

        An instance that was listed as leaving stays so until it is listed
        as live.

        :returns: whether the set of leaving instances has changed
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

    def apply_leaving(self, member: Member) -> Member:
        """Return the member, as leaving if its instance is leaving."""
        if _instance(member.name) not in self._leaving:
            return member
        leaving = max(member.state, MemberState.LEAVING)
        return replace(member, state=leaving)

    def is_listed(self, member: str) -> bool:
        """Return whether the instance of a member is listed."""
        return _instance(member) in self._addresses

    def forget(self, member: str) -> None:
        """Forget that the instance of a member is leaving."""
        self._leaving.discard(_instance(member))

    def discovery_contacts(
        self,
        programs: Iterable[str],
        live: Iterable[Member],
        dead: Iterable[Member],
    ) -> list[Contact]:
        """Return listed addresses and dead members to try to contact.

        Addresses of live members of the same program are left out.
        """
        addresses = tuple(self._addresses.values()) or self._seeds
        targets = dict.fromkeys(itertools.product(programs, addresses), "")
        targets.update(((m.program, m.address), m.name) for m in dead)
        for member in live:
            targets.pop((member.program, member.address), None)
        return [Contact(n, *target) for target, n in sorted(targets.items())]


def _instance(member: str) -> str:
    return member.partition("@")[2]


__all__ = ["ListedInstances"]
