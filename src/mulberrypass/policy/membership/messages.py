"""Messages and settings of the membership protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.model.member import Member
    from mulberrypass.policy.health.crashes import Crash
    from mulberrypass.policy.membership.backends import BackendUpdate


@value_class
class ViewSettings:
    """Settings of the membership protocol.

    :param heartbeat_s: interval between heartbeat rounds
    :param suspect_s: time after which an unrefuted suspect is dead
    :param neighbours: number of members that a member sends heartbeats to
    :param helpers: number of members asked for an indirect probe before a
        member is suspected
    :param gossip_entries: new entries in a message
    :param refresh_entries: older entries in a message, which make up for
        lost updates
    :param full_sync_rounds: rounds after the start in which a member
        requests the full list of members
    :param max_full_sync_rounds: rounds after the start in which it goes on
        to request the full list while it learns of more members
    :param discovery_rounds: rounds between attempts to contact a listed
        instance without a known live member
    :param dead_ttl_s: time for which dead members are remembered
    """

    heartbeat_s: float = 1.0
    suspect_s: float = 3.0
    neighbours: int = 3
    helpers: int = 2
    gossip_entries: int = 8
    refresh_entries: int = 4
    full_sync_rounds: int = 3
    max_full_sync_rounds: int = 20
    discovery_rounds: int = 5
    dead_ttl_s: float = 120.0
    programs: tuple[str, ...] = ("entry", "batch", "control")


@value_class
class Contact:
    """The destination of a heartbeat.

    :param name: empty if the member at the address is unknown
    """

    name: str
    program: str
    address: str


@value_class
class Message:
    """The content of a heartbeat or of its reply."""

    sender: Member
    members: tuple[Member, ...] = ()
    backends: tuple[BackendUpdate, ...] = ()
    crashes: tuple[Crash, ...] = ()


__all__ = ["Contact", "Message", "ViewSettings"]
