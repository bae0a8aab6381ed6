"""Settings and state of the membership of one process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mulberrypass.policy.membership.messages import ViewSettings

if TYPE_CHECKING:
    from mulberrypass.model.member import Member


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How the membership runs.

    :param timeout_s: a heartbeat without a reply for so long has failed
    :param gap_s: least spacing of rounds that urgent news brings forward
    :param early_rounds: rounds brought forward at once
    :param early_per_s: rounds brought forward in the long run
    :param list_interval_s: spacing of reads of the platform's list
    :param list_reads_per_s: reads of the list that all members together
        make, beyond which they space them out
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


@dataclass(frozen=True, slots=True)
class MembershipState:
    """State of the membership for a dump.

    :param superseded: another process has this member's name
    :param list_error: why the list was not read the last time
    :param handling_s: processor time spent on membership messages
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
