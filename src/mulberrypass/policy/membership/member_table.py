"""Table of the other members that a member knows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True)
class _Entry:
    """One member and the times of its state.

    :param stored_at: time at which the member entered its state
    :param suspected_at: start of the current suspicion, if there is one;
        the member is declared dead unless it refutes that in time
    """

    member: Member
    stored_at: float
    suspected_at: float | None = None


class MemberTable:
    """Other members by name, dead ones included."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def get(self, name: str) -> Member | None:
        """Return a member, which may be dead, or ``None`` if unknown."""
        entry = self._entries.get(name)
        return entry.member if entry is not None else None

    def all(self) -> tuple[Member, ...]:
        """Return all members, dead ones included."""
        return tuple(entry.member for entry in self._entries.values())

    def live(self) -> tuple[Member, ...]:
        """Return the members that are not dead."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.state is not MemberState.DEAD
        )

    def dead(self) -> tuple[Member, ...]:
        """Return the dead members that are still remembered."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.state is MemberState.DEAD
        )

    def store(self, member: Member, now: float) -> None:
        """Store a new state of a member; a suspect starts a suspicion."""
        suspected = member.state is MemberState.SUSPECT
        entry = _Entry(member, now, now if suspected else None)
        self._entries[member.name] = entry

    def replace_member(self, member: Member) -> None:
        """Replace a member; its age and suspicion stay."""
        self._entries[member.name].member = member

    def remove(self, name: str) -> None:
        """Remove a member."""
        del self._entries[name]

    def age_s(self, name: str, now: float) -> float:
        """Return how long a member has been in its state."""
        return now - self._entries[name].stored_at

    def start_suspicion(self, name: str, now: float) -> None:
        """Start a suspicion of a member, unless there is one."""
        entry = self._entries[name]
        if entry.suspected_at is None:
            entry.suspected_at = now

    def clear_suspicion(self, name: str) -> None:
        """End the suspicion of a member."""
        self._entries[name].suspected_at = None

    def is_suspected(self, name: str) -> bool:
        """Return whether a member is under suspicion."""
        return self._entries[name].suspected_at is not None

    def restart_suspicions(self, now: float) -> None:
        """Restart the timeout of every suspicion."""
        for entry in self._entries.values():
            if entry.suspected_at is not None:
                entry.suspected_at = now

    def suspected_before(self, before: float) -> tuple[Member, ...]:
        """Return the members whose suspicion began at a time or earlier."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.suspected_at is not None and entry.suspected_at <= before
        )


__all__ = ["MemberTable"]
