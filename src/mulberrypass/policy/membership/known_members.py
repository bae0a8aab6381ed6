"""The members that are not dead, kept up to date change by change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.member import MemberState
from mulberrypass.policy.membership.changes import Changes, changes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.model.member import Member


class KnownMembers:
    """The members of each program, by name.

    In a large fleet members change all the time while instances are rolled
    in turn, so an update handles the changed members only.
    """

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._known: dict[str, tuple[Member, ...]] = {}
        self._live: dict[str, tuple[Member, ...]] = {}

    def __len__(self) -> int:
        return len(self._members)

    def known(self) -> dict[str, tuple[Member, ...]]:
        """Return the members by program, each sorted by name."""
        return self._known

    def live(self) -> dict[str, tuple[Member, ...]]:
        """Return those of them that are alive and not leaving."""
        return self._live

    def update(self, touched: Mapping[str, Member | None]) -> Changes:
        """Apply members that may have changed.

        :param touched: the members by name, ``None`` for a dead one
        :returns: the differences
        """
        before = [self._members[n] for n in touched if n in self._members]
        after = [member for member in touched.values() if member is not None]
        unsorted = any(member.name not in self._members for member in after)
        for name, member in touched.items():
            if member is None:
                self._members.pop(name, None)
            else:
                self._members[name] = member
        if unsorted:
            self._members = dict(sorted(self._members.items()))
        programs = {member.program for member in (*before, *after)}
        if programs:
            self._rebuild(programs)
        return changes(before, after)

    def _rebuild(self, programs: set[str]) -> None:
        """Replace the tuples of programs, which other threads may hold."""
        members = self._members.values()
        known = {
            p: tuple(m for m in members if m.program == p) for p in programs
        }
        self._known = {p: m for p, m in (self._known | known).items() if m}
        self._live = self._live | {
            program: tuple(m for m in found if m.state is MemberState.ALIVE)
            for program, found in known.items()
        }


__all__ = ["KnownMembers"]
