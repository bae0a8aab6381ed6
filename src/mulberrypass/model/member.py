"""Processes of the system as members of its gossip membership."""

from __future__ import annotations

import enum

from mulberrypass.model.value_class import value_class


class MemberState(enum.IntEnum):
    """State of a member; within an incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@value_class
class Member:
    """One process of the system.

    :param name: ``program@instance``
    :param address: IP address; the program's peer port is fixed
    :param incarnation: set by the member itself; rises with each start
    :param generation: generation of the configuration in force on it
    """

    name: str
    program: str
    zone: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    generation: int = 0


__all__ = ["Member", "MemberState"]
