"""What members tell each other, and the numbers of their protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.model.member import Member
    from mulberrypass.policy.membership.backends import BackendMark


@dataclass(frozen=True, slots=True)
class ViewSettings:
    """Numbers of the membership protocol.

    :param heartbeat_s: spacing of rounds
    :param suspect_s: a suspicion not refuted for so long is a death
    :param neighbours: members that one member sends heartbeats to
    :param helpers: members asked to probe before a suspicion
    :param news: entries of news in a message
    :param repeated: older entries in a message, which repair lost news
    :param asking_rounds: first rounds, in which a member asks for all
    :param young_rounds: rounds in which it goes on to ask while it learns
        of more members
    :param contact_rounds: rounds between tries to reach a listed machine
        that no live member is known on
    :param dead_s: the dead are remembered for so long
    """

    heartbeat_s: float = 1.0
    suspect_s: float = 3.0
    neighbours: int = 3
    helpers: int = 2
    news: int = 8
    repeated: int = 4
    asking_rounds: int = 3
    young_rounds: int = 20
    contact_rounds: int = 5
    dead_s: float = 120.0
    programs: tuple[str, ...] = ("entry", "batch", "control")


@dataclass(frozen=True, slots=True)
class Contact:
    """Where a heartbeat is sent.

    :param name: empty where it is not known who is there
    """

    name: str
    program: str
    address: str


@dataclass(frozen=True, slots=True)
class Message:
    """What a heartbeat and its reply carry."""

    sender: Member
    members: tuple[Member, ...] = ()
    backends: tuple[BackendMark, ...] = ()


__all__ = ["Contact", "Message", "ViewSettings"]
