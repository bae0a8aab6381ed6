"""The membership of a process that hears of no other one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.peer.api import Membership

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.member import Member


class AloneMembership(Membership):
    """Knows members that were given at the start, and learns of none."""

    def __init__(self, members: tuple[Member, ...] = ()) -> None:
        self._members = members

    def members(self, program: str) -> tuple[Member, ...]:
        """Give members of a program."""
        return tuple(m for m in self._members if m.program == program)

    def live(self, program: str) -> tuple[Member, ...]:
        """Give members of a program."""
        return self.members(program)

    def leaving_backends(self) -> frozenset[str]:
        """Give nothing."""
        return frozenset()

    def report_leaving_backend(self, backend: str) -> None:
        """Tell nobody."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call nothing, since nothing changes."""


__all__ = ["AloneMembership"]
