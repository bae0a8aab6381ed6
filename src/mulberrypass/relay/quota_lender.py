"""What an instance lends of customers' limits, as their owner or deputy."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from mulberrypass.model.member import MemberState
from mulberrypass.peer.peer_pb2 import QuotaReply
from mulberrypass.policy.quotas.fleet import QuotaFleet
from mulberrypass.policy.quotas.ledger import QuotaLedger
from mulberrypass.policy.quotas.messages import Lent, Limit, Role, Want

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    import threading

    from mulberrypass.model.member import Member
    from mulberrypass.model.routes import RelayCustomer, RouteTable
    from mulberrypass.peer.datagrams import Address
    from mulberrypass.peer.peer_pb2 import QuotaRequest
    from mulberrypass.policy.quotas.fleet import Ranking
    from mulberrypass.policy.quotas.messages import (
        LostOwnership,
        QuotaSettings,
    )

# The members are looked at this often without a change, for those that are
# forgotten and for shares that rise.
SEE_INTERVAL_S = 1.0
US_PER_S = 1_000_000


class QuotaMembership(ABC):
    """What the limits need of the membership."""

    @abstractmethod
    def live(self) -> tuple[Member, ...]:
        """Return the instances that are alive and not leaving."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return those that are not known to be dead."""

    @abstractmethod
    def listed(self) -> frozenset[str] | None:
        """Return the names in the list, ``None`` before it was read."""

    @abstractmethod
    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for changes, run on the peer loop."""


class QuotaLender:
    """Applies the rules of limits to the members and customers in force.

    The caller holds one lock for all methods but ``subscribe``.

    :param routes: returns the table in force, with the customers
    :param port: peer port of all instances
    """

    def __init__(
        self,
        me: str,
        membership: QuotaMembership,
        routes: Callable[[], RouteTable],
        port: int,
        settings: QuotaSettings,
        clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._membership = membership
        self._routes = routes
        self._port = port
        self._clock = clock
        self._valid_s = settings.valid_s
        self._fleet = QuotaFleet(me, settings)
        self._ledger = QuotaLedger(self._fleet, settings)
        self._addresses: dict[str, Address] = {}
        self._seen: tuple[object, ...] = ()
        self._seen_at = 0.0

    @property
    def counts(self) -> Mapping[str, int]:
        """Tokens lent, refused and returned since the process started."""
        return self._ledger.counts

    def subscribe(self, lock: threading.Lock) -> None:
        """Follow the members.

        :param lock: taken while they are taken over
        """

        def changed() -> None:
            with lock:
                self._see(self._clock())

        self._membership.subscribe(changed)

    def ranking(self, customer: str) -> Ranking:
        """Return the instances that decide on a customer."""
        return self._fleet.ranking(customer)

    def address_of(self, name: str) -> Address | None:
        """Return the address of an instance's peer port."""
        return self._addresses.get(name)

    def customer(self, name: str) -> RelayCustomer | None:
        """Return a customer, if it has a limit here."""
        customer = (self._routes().customers or {}).get(name)
        if customer is None or customer.rate_per_s <= 0:
            return None
        return customer

    def lend_here(
        self, customer: RelayCustomer, tokens: int, now: float
    ) -> Lent:
        """Lend tokens to requests of this instance."""
        want = Want(customer.name, self._me, tokens)
        return self._ledger.lend(want, _limit(customer), now)

    def give_back(
        self, customer: str, holder: str, tokens: int, now: float
    ) -> None:
        """Take back tokens that weren't used."""
        self._ledger.give_back(customer, holder, tokens, now)

    def answer(self, req: QuotaRequest) -> QuotaReply:
        """Answer another instance."""
        version = self._routes().version
        customer = self.customer(req.customer)
        now = self._clock()
        if customer is None:
            if version < req.generation:
                # The customer may be new, or its limit may be.
                return QuotaReply(not_owner=True, generation=version)
            return QuotaReply(granted=req.wanted, generation=version)
        if req.returned:
            self._ledger.give_back(req.customer, req.holder, req.returned, now)
        want = Want(req.customer, req.holder, req.wanted, req.ahead)
        lent = self._ledger.lend(want, _limit(customer), now)
        return QuotaReply(
            granted=lent.granted,
            valid_s=self._valid_s,
            retry_after_s=lent.retry_after_s,
            not_owner=lent.role is Role.NONE,
            generation=version,
            deputy=lent.role is Role.DEPUTY,
        )

    def tick(self) -> list[tuple[LostOwnership, str]]:
        """Note that the event loop runs.

        :returns: the customers lost while in use, with their new owners
        """
        now = self._clock()
        seen = self._look()
        changed = len(self._seen) != len(seen) or any(
            a is not b for a, b in zip(seen, self._seen, strict=True)
        )
        if changed or now - self._seen_at >= SEE_INTERVAL_S:
            self._see(now)
        return [
            (lost, self._fleet.ranking(lost.customer).owner)
            for lost in self._ledger.tick(now)
        ]

    def drop_unlimited(self) -> None:
        """Drop the buckets of customers whose limit has ended."""
        for name in self._ledger.customers():
            if self.customer(name) is None:
                self._ledger.drop(name)

    def state(self, now: float) -> dict[str, Any]:
        """Return the buckets for a dump."""
        return self._ledger.state(now)

    def _look(
        self,
    ) -> tuple[tuple[Member, ...], tuple[Member, ...], frozenset[str] | None]:
        membership = self._membership
        return membership.live(), membership.members(), membership.listed()

    def _see(self, now: float) -> None:
        """Take over the members as they are now."""
        self._seen = live, members, listed = self._look()
        self._seen_at = now
        self._addresses = {m.name: (m.address, self._port) for m in members}
        self._fleet.see(
            [m.name for m in live],
            [m.name for m in members if m.state is MemberState.LEAVING],
            [m.name for m in members],
            listed,
            now,
            self._lead_s(live),
        )

    def _lead_s(self, live: tuple[Member, ...]) -> float | None:
        """Return how long before this instance another one started.

        Clocks may differ between machines, by little as a rule.
        """
        starts = [m.incarnation for m in live if m.name != self._me]
        own = [m.incarnation for m in live if m.name == self._me]
        if not starts or not own:
            return None
        return (own[0] - min(starts)) / US_PER_S


def _limit(customer: RelayCustomer) -> Limit:
    return Limit(customer.rate_per_s, customer.burst)


__all__ = ["QuotaLender", "QuotaMembership"]
