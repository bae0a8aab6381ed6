"""What has changed between two views of the fleet, for the log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.member import Member

# Names in one log line: a start of hundreds says how many it knows instead.
MAX_SAID = 20


@dataclass(frozen=True, slots=True)
class Changes:
    """Names of members, each in one list only.

    :param came: new, or started again
    :param leaving: said that they leave, or are listed so
    :param gone: dead, or left
    """

    came: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Whether there is any."""
        return bool(self.came or self.leaving or self.gone)

    def said(self) -> dict[str, tuple[str, ...]]:
        """Give what a log line says, the first names of each list."""
        lists = {
            "came": self.came,
            "leaving": self.leaving,
            "gone": self.gone,
        }
        return {
            kind: names[:MAX_SAID] for kind, names in lists.items() if names
        }


def changes(before: Iterable[Member], after: Iterable[Member]) -> Changes:
    """Compare the members known before with those known now."""
    old = {member.name: member for member in before}
    new = {member.name: member for member in after}
    return Changes(
        came=tuple(n for n, m in new.items() if _came(old.get(n), m)),
        leaving=tuple(n for n, m in new.items() if _leaves(old.get(n), m)),
        gone=tuple(name for name in old if name not in new),
    )


def _came(old: Member | None, new: Member) -> bool:
    if new.state is MemberState.LEAVING:
        return False
    # The next number refutes a doubt; a start takes the time of day.
    return old is None or new.incarnation > old.incarnation + 1


def _leaves(old: Member | None, new: Member) -> bool:
    if new.state is not MemberState.LEAVING:
        return False
    return old is None or old.state is not MemberState.LEAVING


__all__ = ["Changes", "changes"]
