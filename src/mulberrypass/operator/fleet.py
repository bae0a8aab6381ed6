"""Which members of the fleet hold which configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.member import MemberState
from mulberrypass.runtime.ports import PEER_PORTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.member import Member
    from mulberrypass.operator.changes import ConfigurationChanges
    from mulberrypass.peer.api import Membership

COUNTED_STATES = frozenset({"alive", "suspect"})


@dataclass(frozen=True, slots=True)
class MemberHolds:
    """The generation that one member holds, as last heard."""

    name: str
    program: str
    instance: str
    zone: str
    state: str
    generation: int


@dataclass(frozen=True, slots=True)
class FleetHolds:
    """Which members hold what.

    :param generation: the newest generation that is known to be published
    :param instances: how many instances are neither leaving nor dead
    :param in_force: how many of them hold the generation in all programs
    :param doubt: why a newer generation may be published
    """

    generation: int
    instances: int
    in_force: int
    missing: tuple[MemberHolds, ...]
    members: tuple[MemberHolds, ...]
    doubt: str = ""


class Fleet:
    """Joins the members with the configuration.

    :param own: this process as a member
    """

    def __init__(
        self,
        own: Member,
        membership: Membership,
        changes: ConfigurationChanges,
        own_generation: Callable[[], int],
    ) -> None:
        self._own = own
        self._membership = membership
        self._changes = changes
        self._own_generation = own_generation

    def holds(self, at_least: int = 0) -> FleetHolds:
        """Say which members hold the newest generation.

        :param at_least: a generation that is known to be published
        """
        current = self._changes.current()
        newest = max(current.cfg.generation, at_least)
        members = self.members()
        counted = [m for m in members if m.state in COUNTED_STATES]
        missing = tuple(m for m in counted if m.generation < newest)
        instances = {m.instance for m in counted}
        late = {m.instance for m in missing}
        return FleetHolds(
            generation=newest,
            instances=len(instances),
            in_force=len(instances - late),
            missing=missing,
            members=members,
            doubt=current.doubt,
        )

    def members(self) -> tuple[MemberHolds, ...]:
        """Give all members that are not known to be dead, by name."""
        found = {
            member.name: _holds(member, member.generation)
            for program in PEER_PORTS
            for member in self._membership.members(program)
        }
        found[self._own.name] = _holds(self._own, self._own_generation())
        return tuple(found[name] for name in sorted(found))


def _holds(member: Member, generation: int) -> MemberHolds:
    return MemberHolds(
        name=member.name,
        program=member.program,
        instance=member.name.rpartition("@")[2],
        zone=member.zone,
        state=MemberState(member.state).name.lower(),
        generation=generation,
    )


__all__ = ["Fleet", "FleetHolds", "MemberHolds"]
