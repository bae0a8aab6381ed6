"""The other members that one member knows of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True)
class _Entry:
    """One member.

    :param since: when it was stored
    :param doubted_at: since when it is held to be dead unless it refutes
        that
    """

    member: Member
    since: float
    doubted_at: float | None = None


class Roster:
    """Other members by name, the dead among them."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def get(self, name: str) -> Member | None:
        """Give a member, dead or not."""
        entry = self._entries.get(name)
        return entry.member if entry is not None else None

    def all(self) -> tuple[Member, ...]:
        """Give all members, the dead among them."""
        return tuple(entry.member for entry in self._entries.values())

    def living(self) -> tuple[Member, ...]:
        """Give the members that are not dead."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.state is not MemberState.DEAD
        )

    def dead(self) -> tuple[Member, ...]:
        """Give the dead that are remembered."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.state is MemberState.DEAD
        )

    def store(self, member: Member, now: float) -> None:
        """Put a member in place of what was known; suspects are doubted."""
        suspected = member.state is MemberState.SUSPECT
        entry = _Entry(member, now, now if suspected else None)
        self._entries[member.name] = entry

    def refresh(self, member: Member) -> None:
        """Replace a member's generation only."""
        self._entries[member.name].member = member

    def remove(self, name: str) -> None:
        """Forget a member."""
        del self._entries[name]

    def age_s(self, name: str, now: float) -> float:
        """Give how long a member has been in its state."""
        return now - self._entries[name].since

    def doubt(self, name: str, now: float) -> None:
        """Doubt a member, if it is not doubted already."""
        entry = self._entries[name]
        if entry.doubted_at is None:
            entry.doubted_at = now

    def trust(self, name: str) -> None:
        """Doubt a member no more."""
        self._entries[name].doubted_at = None

    def is_doubted(self, name: str) -> bool:
        """Tell whether a member is doubted."""
        return self._entries[name].doubted_at is not None

    def restart_doubts(self, now: float) -> None:
        """Let all doubts begin now."""
        for entry in self._entries.values():
            if entry.doubted_at is not None:
                entry.doubted_at = now

    def doubted_since(self, before: float) -> tuple[Member, ...]:
        """Give the members doubted since a time or longer."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.doubted_at is not None and entry.doubted_at <= before
        )


__all__ = ["Roster"]
