"""A membership for tests that never changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.peer.api import Membership

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.member import Member


class StaticMembership(Membership):
    """Membership with a fixed set of members."""

    def __init__(self, members: tuple[Member, ...] = ()) -> None:
        self._members = members

    def members(self, program: str) -> tuple[Member, ...]:
        """Return the members of a program."""
        return tuple(m for m in self._members if m.program == program)

    def live(self, program: str) -> tuple[Member, ...]:
        """Return the members of a program."""
        return self.members(program)

    def leaving_backends(self) -> frozenset[str]:
        """Return no backend servers."""
        return frozenset()

    def report_leaving_backend(self, backend: str) -> None:
        """Ignore the report."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Ignore the callback, since nothing changes."""


__all__ = ["StaticMembership"]
