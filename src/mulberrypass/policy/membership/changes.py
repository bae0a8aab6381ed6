"""Differences between two lists of members, for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.member import MemberState
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.member import Member

# Bounds a log line when hundreds of members start at once; the number of
# known members is logged beside it.
MAX_LOGGED_NAMES = 20


@value_class
class Changes:
    """Names of the members that changed, each in one tuple only.

    :param joined: new or restarted
    :param leaving: announced that they leave, or are listed as leaving
    :param gone: dead, or no longer known
    """

    joined: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Whether any member changed."""
        return bool(self.joined or self.leaving or self.gone)

    def log_fields(self) -> dict[str, tuple[str, ...]]:
        """Return the log fields: the first names of each tuple not empty."""
        lists = {
            "came": self.joined,
            "leaving": self.leaving,
            "gone": self.gone,
        }
        return {
            kind: names[:MAX_LOGGED_NAMES]
            for kind, names in lists.items()
            if names
        }


def changes(before: Iterable[Member], after: Iterable[Member]) -> Changes:
    """Return the differences between two lists of members."""
    old = {member.name: member for member in before}
    new = {member.name: member for member in after}
    return Changes(
        joined=tuple(n for n, m in new.items() if _has_joined(old.get(n), m)),
        leaving=tuple(
            n for n, m in new.items() if _began_leaving(old.get(n), m)
        ),
        gone=tuple(name for name in old if name not in new),
    )


def _has_joined(old: Member | None, new: Member) -> bool:
    if new.state is MemberState.LEAVING:
        return False
    # A refuted suspicion raises the incarnation by one; a restart sets it
    # from the clock.
    return old is None or new.incarnation > old.incarnation + 1


def _began_leaving(old: Member | None, new: Member) -> bool:
    if new.state is not MemberState.LEAVING:
        return False
    return old is None or old.state is not MemberState.LEAVING


__all__ = ["Changes", "changes"]
