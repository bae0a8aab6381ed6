"""Configuration generations held by the members of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.member import MemberState
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.ports import PEER_PORTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.member import Member
    from mulberrypass.operator.changes import ConfigurationChanges
    from mulberrypass.peer.api import Membership

PRESENT_STATES = frozenset({"alive", "suspect"})


@value_class
class MemberGeneration:
    """The last reported generation of one member."""

    name: str
    program: str
    instance: str
    zone: str
    state: str
    generation: int


@value_class
class FleetGenerations:
    """Generations held by all members.

    :param generation: newest generation that is known to be published
    :param instances: number of instances neither leaving nor dead
    :param in_force: number of those that hold it in all their programs
    :param missing: members that hold an older generation
    :param doubt: why a newer generation may be published; may be empty
    """

    generation: int
    instances: int
    in_force: int
    missing: tuple[MemberGeneration, ...]
    members: tuple[MemberGeneration, ...]
    doubt: str = ""


class FleetGenerationsReader:
    """Compares the members' generations with the newest configuration.

    :param own: this process as a member
    :param own_generation: returns the generation in force in this process
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

    def generations(self, at_least: int = 0) -> FleetGenerations:
        """Return which members hold the newest generation.

        :param at_least: a generation that is known to be published
        """
        current = self._changes.current()
        newest = max(current.cfg.generation, at_least)
        members = self.members()
        present = [m for m in members if m.state in PRESENT_STATES]
        missing = tuple(m for m in present if m.generation < newest)
        instances = {m.instance for m in present}
        incomplete = {m.instance for m in missing}
        return FleetGenerations(
            generation=newest,
            instances=len(instances),
            in_force=len(instances - incomplete),
            missing=missing,
            members=members,
            doubt=current.doubt,
        )

    def members(self) -> tuple[MemberGeneration, ...]:
        """Return all members not known to be dead, sorted by name."""
        by_name = {
            member.name: _member_generation(member, member.generation)
            for program in PEER_PORTS
            for member in self._membership.members(program)
        }
        by_name[self._own.name] = _member_generation(
            self._own, self._own_generation()
        )
        return tuple(by_name[name] for name in sorted(by_name))


def _member_generation(member: Member, generation: int) -> MemberGeneration:
    return MemberGeneration(
        name=member.name,
        program=member.program,
        instance=member.name.rpartition("@")[2],
        zone=member.zone,
        state=MemberState(member.state).name.lower(),
        generation=generation,
    )


__all__ = ["FleetGenerationsReader", "FleetGenerations", "MemberGeneration"]
