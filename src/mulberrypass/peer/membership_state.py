"""Settings and state of the membership of one process."""

from __future__ import annotations

from dataclasses import field
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.membership.messages import ViewSettings

if TYPE_CHECKING:
    from mulberrypass.model.member import Member


@value_class
class MembershipSettings:
    """Settings of the membership.

    :param timeout_s: time after which a heartbeat without a reply failed
    :param min_round_gap_s: minimum time between rounds
    :param early_round_burst: rounds that urgent updates may bring forward
        in a burst
    :param early_rounds_per_s: sustained rate of rounds brought forward
    :param list_interval_s: minimum interval of reads of the platform's list
    :param list_reads_per_s: limit on the reads of all members together, by
        which the interval grows with the fleet
    :param seeds: addresses to contact until the list has been read
    """

    view: ViewSettings = field(default_factory=ViewSettings)
    timeout_s: float = 1.0
    min_round_gap_s: float = 0.2
    early_round_burst: float = 10.0
    early_rounds_per_s: float = 0.5
    list_interval_s: float = 2.0
    list_reads_per_s: float = 100.0
    seeds: tuple[str, ...] = ()


@value_class
class MembershipState:
    """State of the membership for a dump.

    :param superseded: whether another process has taken this member's name
    :param list_error: why the last read of the list failed, or empty
    :param handling_s: CPU time spent on membership messages
    """

    me: Member
    joined: bool
    superseded: bool
    members: tuple[Member, ...]
    dead: tuple[Member, ...]
    neighbours: tuple[str, ...]
    leaving_backends: tuple[str, ...]
    list_error: str
    calls: int
    failures: int
    suspicions: int
    deaths: int
    bytes_sent: int
    bytes_received: int
    handling_s: float


__all__ = ["MembershipSettings", "MembershipState"]
