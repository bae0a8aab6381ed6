"""Limits of customers in ``mulberry-site``."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from mulberrypass.model.store import ListedKind
from mulberrypass.policy.quotas.messages import QuotaSettings
from mulberrypass.programs.site_settings import PROGRAM
from mulberrypass.relay.customer_quotas import PeerQuotas
from mulberrypass.relay.quota_lender import QuotaMembership

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.member import Member
    from mulberrypass.model.routes import RouteTable
    from mulberrypass.model.store import ListedMachine
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.peer.membership import GossipMembership
    from mulberrypass.platform.site import Site
    from mulberrypass.runtime.log_metrics import EventMetrics

COUNTERS = {
    "lent": "tokens of customers' limits that were lent here",
    "refused": "tokens that were asked for here and not lent",
    "returned": "lent tokens that came back unused",
    "deputy_calls": "calls to deputies of silent owners",
    "undecided": "requests refused as nobody could decide on a limit",
}


class SiteQuotaMembership(QuotaMembership):
    """The instances of a site."""

    def __init__(self, membership: GossipMembership) -> None:
        self._membership = membership
        self._list: tuple[ListedMachine, ...] | None = None
        self._names: frozenset[str] | None = None

    def live(self) -> tuple[Member, ...]:
        """Return the instances that are alive and not leaving."""
        return self._membership.live(PROGRAM)

    def members(self) -> tuple[Member, ...]:
        """Return those that are not known to be dead."""
        return self._membership.members(PROGRAM)

    def listed(self) -> frozenset[str] | None:
        """Return the names in the list, ``None`` before it was read."""
        machines = self._membership.listed()
        if machines is not self._list:
            self._list = machines
            self._names = frozenset(
                f"{PROGRAM}@{machine.name}"
                for machine in machines or ()
                if machine.kind is ListedKind.INSTANCE
            )
        return self._names

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for changes, run on the peer loop."""
        self._membership.subscribe(changed)


def make_quotas(
    site: Site,
    me: str,
    loop: LoopThread,
    membership: GossipMembership,
    routes: Callable[[], RouteTable],
) -> PeerQuotas:
    """Return the limits, on the socket of the membership's heartbeats."""
    datagrams = membership.datagrams
    assert datagrams is not None
    return PeerQuotas(
        me,
        loop,
        SiteQuotaMembership(membership),
        datagrams,
        routes,
        site.peer_port,
        QuotaSettings(
            window_s=site.quota_window_s,
            overage=site.quota_overage,
            slack=site.quota_slack,
        ),
    )


def _count(quotas: PeerQuotas, name: str) -> int:
    return quotas.counts().get(name, 0)


def register_counters(events: EventMetrics, quotas: PeerQuotas) -> None:
    """Register counters that are read on each scrape."""
    for name, help_text in COUNTERS.items():
        events.counter(
            f"quota_{name}",
            help_text,
            partial(_count, quotas, name),
        )


__all__ = ["SiteQuotaMembership", "make_quotas", "register_counters"]
