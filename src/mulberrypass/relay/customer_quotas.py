"""Limits of customers that the instances keep together."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import Future
from dataclasses import dataclass, field
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.peer.peer_pb2 import QuotaRequest
from mulberrypass.peer.quota_calls import QuotaCalls
from mulberrypass.policy.quotas.borrowing import BorrowedTokens
from mulberrypass.policy.quotas.messages import Lent, QuotaSettings, Role
from mulberrypass.relay.quota_lender import QuotaLender
from mulberrypass.relay.quotas import (
    CustomerQuotas,
    Exceeded,
    QuotaAnswer,
    Taken,
    Undecided,
)
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Sequence

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RelayCustomer, RouteTable
    from mulberrypass.peer.datagrams import Address, HeartbeatDatagrams
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.peer.peer_pb2 import QuotaReply
    from mulberrypass.relay.quota_lender import QuotaMembership

LOG = get_logger(__name__)
# The owner and the deputy have 120 ms each.
MAX_WAIT_S = 0.24
# Requests that come within this time of a call wait for its reply, and share
# the next one. Replies take 2 to 5 ms; later ones don't wait for a call that
# may be lost.
JOIN_S = 0.02
# An owner that didn't answer is passed over for this long, so that not each
# request waits for it until the members notice its loss.
SILENT_S = 0.5
RETURN_DELAY_S = 0.05
UNDECIDED_RETRY_S = 0.5
TICK_S = 0.2


@dataclass(slots=True)
class _Waiter:
    """A request that waits for a token.

    :ivar left: whether it waits no longer
    """

    answer: Future[QuotaAnswer] = field(default_factory=Future)
    left: bool = False


@dataclass(slots=True)
class _Line:
    """The requests of one customer that wait here for a token.

    :ivar joined_until: until when newcomers wait for the call under way
    """

    waiting: list[_Waiter] = field(default_factory=list)
    joined_until: float = 0.0
    calls: int = 0


class PeerQuotas(CustomerQuotas):
    """Takes tokens of customers' owners, and lends those of its own.

    The rules are in ``policy/quotas``. One lock protects them: a request
    whose owner is this instance doesn't wait for the peer loop.

    :param routes: returns the table in force, with the customers
    :param port: peer port of all instances
    """

    def __init__(
        self,
        me: str,
        loop: LoopThread,
        membership: QuotaMembership,
        datagrams: HeartbeatDatagrams,
        routes: Callable[[], RouteTable],
        port: int,
        settings: QuotaSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        settings = settings or QuotaSettings()
        self._me = me
        self._loop = loop
        self._routes = routes
        self._clock = clock
        self._lock = threading.Lock()
        self._lender = QuotaLender(
            me, membership, routes, port, settings, clock
        )
        self._borrowed = BorrowedTokens(settings)
        self._calls = QuotaCalls(datagrams, self._answer, clock)
        self._lines: dict[str, _Line] = {}
        self._lenders: dict[str, str] = {}
        self._returns: Counter[tuple[str, str]] = Counter()
        self._silent_until: dict[str, float] = {}
        self._table: RouteTable | None = None
        self._counts: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False

    def start(self) -> None:
        """Follow the members; the peer loop must run."""
        self._lender.subscribe(self._lock)
        self._loop.call(self._tick)

    def stop(self) -> None:
        """Lend no more."""
        self._stopped = True

    def take(self, customer: RelayCustomer, deadline: Deadline) -> QuotaAnswer:
        """Count one request; see ``CustomerQuotas``."""
        name = customer.name
        now = self._clock()
        until = min(deadline.at, now + MAX_WAIT_S)
        with self._lock:
            if self._borrowed.use(name, now):
                self._counts["borrowed_used"] += 1
                return Taken()
            if self._lender.ranking(name).owner == self._me:
                return self._take_here(customer, now)
            waiter = _Waiter()
            line = self._lines.setdefault(name, _Line())
            line.waiting.append(waiter)
            if now >= line.joined_until:
                line.joined_until = now + JOIN_S
                self._loop.call(self._begin, name)
        try:
            return waiter.answer.result(max(0.0, until - now))
        except TimeoutError:
            with self._lock:
                if waiter.answer.done():
                    return waiter.answer.result()
                waiter.left = True
                self._counts["undecided"] += 1
            return Undecided(UNDECIDED_RETRY_S)

    def give_back(self, customer: str) -> None:
        """Return one token to the instance that lent the last one."""
        with self._lock:
            lender = self._lenders.get(customer, "")
            if lender == self._me:
                now = self._clock()
                self._lender.give_back(customer, lender, 1, now)
            elif lender:
                if not self._returns:
                    self._loop.call(self._plan_returns)
                self._returns[customer, lender] += 1

    def state(self) -> dict[str, Any]:
        """Return the buckets and the use of limits, for a dump."""
        with self._lock:
            now = self._clock()
            return {
                **self._lender.state(now),
                "held": self._borrowed.state(),
                "calls": dict(self._counts),
                "datagrams_sent": self._calls.sent,
            }

    def counts(self) -> dict[str, int]:
        """Return the counters since the process started."""
        with self._lock:
            return {**self._lender.counts, **self._counts}

    def _take_here(self, customer: RelayCustomer, now: float) -> QuotaAnswer:
        """Take a token of this instance itself; the lock is held."""
        lent = self._lender.lend_here(customer, 1, now)
        self._note_lender(customer.name, self._me, lent)
        if lent.granted:
            return Taken()
        return self._refusal(lent)

    def _note_lender(self, customer: str, lender: str, lent: Lent) -> None:
        """Note who lent last: tokens are returned to owners only."""
        if lent.granted:
            owns = lent.role is Role.OWNER
            self._lenders[customer] = lender if owns else ""

    def _refusal(self, lent: Lent) -> Exceeded | Undecided:
        """Return the answer to a request that got no token.

        Only an owner knows that a limit is used up.
        """
        if lent.role is Role.OWNER:
            return Exceeded(lent.retry_after_s)
        self._counts["undecided"] += 1
        return Undecided(lent.retry_after_s or UNDECIDED_RETRY_S)

    def _begin(self, name: str) -> None:
        """Ask for all requests of a customer that wait now."""
        with self._lock:
            line = self._lines.get(name)
            if line is None:
                return
            waiters = [w for w in line.waiting if not w.left]
            line.waiting = []
            if not waiters:
                if not line.calls:
                    del self._lines[name]
                return
            line.calls += 1
            line.joined_until = self._clock() + JOIN_S
        self._loop.loop.call_later(JOIN_S, self._begin, name)
        task = self._loop.loop.create_task(self._run(name, line, waiters))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, name: str, line: _Line, waiters: Sequence[_Waiter]
    ) -> None:
        try:
            await self._ask(name, waiters)
        finally:
            with self._lock:
                line.calls -= 1
                line.joined_until = 0.0
                for waiter in waiters:
                    if not waiter.answer.done():
                        waiter.answer.set_result(Undecided(UNDECIDED_RETRY_S))
                        self._counts["undecided"] += not waiter.left
            self._begin(name)

    async def _ask(self, name: str, waiters: Sequence[_Waiter]) -> None:
        """Ask the owner for tokens, then the deputy."""
        with self._lock:
            ranking = self._lender.ranking(name)
        for asked in (ranking.owner, ranking.deputy):
            now = self._clock()
            is_deputy = asked == ranking.deputy
            if not asked:
                continue
            if not is_deputy and self._silent_until.get(asked, 0.0) > now:
                continue
            if is_deputy:
                self._counts["deputy_calls"] += 1
            if asked == self._me:
                lent = self._lend_here(name, len(waiters), now)
            else:
                lent = await self._call(name, asked, len(waiters), is_deputy)
            if lent is not None and lent.role is not Role.NONE:
                self._hand_out(name, asked, waiters, lent, now)
                return

    async def _call(
        self, name: str, to: str, tokens: int, deputy: bool
    ) -> Lent | None:
        address = self._lender.address_of(to)
        if address is None:
            return None
        with self._lock:
            ahead = self._borrowed.ahead(name, tokens, self._clock())
            returned = self._returns.pop((name, to), 0)
        req = QuotaRequest(
            customer=name,
            holder=self._me,
            wanted=tokens,
            returned=returned,
            deputy=deputy,
            generation=self._routes().version,
            ahead=ahead,
        )
        reply = await self._calls.call(address, req)
        if reply is None:
            self._silent_until[to] = self._clock() + SILENT_S
            return None
        self._silent_until.pop(to, None)
        role = Role.DEPUTY if reply.deputy else Role.OWNER
        if reply.not_owner:
            role = Role.NONE
        return Lent(role, reply.granted, reply.retry_after_s)

    def _hand_out(
        self,
        name: str,
        lender: str,
        waiters: Sequence[_Waiter],
        lent: Lent,
        asked_at: float,
    ) -> None:
        """Answer the requests that wait, and keep what is left."""
        with self._lock:
            self._note_lender(name, lender, lent)
            left = lent.granted
            for waiter in waiters:
                if waiter.left:
                    continue
                if left:
                    left -= 1
                    waiter.answer.set_result(Taken())
                else:
                    waiter.answer.set_result(self._refusal(lent))
            if left:
                self._borrowed.add(name, left, asked_at)

    def _lend_here(self, name: str, tokens: int, now: float) -> Lent | None:
        with self._lock:
            customer = self._lender.customer(name)
            if customer is None:
                return None
            return self._lender.lend_here(customer, tokens, now)

    def _answer(self, req: QuotaRequest) -> QuotaReply | None:
        if self._stopped:
            return None
        with self._lock:
            return self._lender.answer(req)

    def _plan_returns(self) -> None:
        self._loop.loop.call_later(RETURN_DELAY_S, self._send_returns)

    def _send_returns(self) -> None:
        with self._lock:
            returns, self._returns = self._returns, Counter()
        for (name, lender), tokens in returns.items():
            address = self._lender.address_of(lender)
            if address is None:
                continue
            req = QuotaRequest(
                customer=name,
                holder=self._me,
                returned=tokens,
                generation=self._routes().version,
            )
            task = self._loop.loop.create_task(self._return(address, req))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _return(self, to: Address, req: QuotaRequest) -> None:
        await self._calls.call(to, req)

    def _tick(self) -> None:
        if self._stopped:
            return
        self._loop.loop.call_later(TICK_S, self._tick)
        with self._lock:
            lost = self._lender.tick()
            self._borrowed.tick(self._clock())
            self._drop_unlimited()
        for change, owner in lost:
            LOG.info(
                "owner of a limit changed",
                customer=change.customer,
                lent=change.lent,
                owner=owner,
            )

    def _drop_unlimited(self) -> None:
        """Drop the state of customers whose limit has ended."""
        table = self._routes()
        if table is self._table:
            return
        self._table = table
        self._lender.drop_unlimited()
        for name in {*self._borrowed.customers(), *self._lenders}:
            if self._lender.customer(name) is None:
                self._borrowed.drop(name)
                self._lenders.pop(name, None)


__all__ = ["PeerQuotas"]
