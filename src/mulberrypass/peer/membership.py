"""Membership by heartbeats to a few neighbours and news on them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
import random
import time
from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from mulberrypass.model.member import MemberState
from mulberrypass.peer.api import Membership
from mulberrypass.peer.datagrams import DatagramHandler, Datagrams
from mulberrypass.peer.membership_calls import HeartbeatCalls
from mulberrypass.peer.membership_list import ListReader
from mulberrypass.peer.membership_state import (
    MembershipSettings,
    MembershipState,
)
from mulberrypass.peer.membership_wire import (
    message_of,
    reply_of,
    request_of,
)
from mulberrypass.peer.server import HeartbeatHandler
from mulberrypass.policy.membership.changes import changes
from mulberrypass.policy.membership.messages import Contact
from mulberrypass.policy.membership.view import MembershipView
from mulberrypass.policy.storage.budget import TokenBucket
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision
from mulberrypass.runtime.ports import PEER_PORTS

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    import ssl

    from mulberrypass.model.member import Member
    from mulberrypass.model.store import InstanceList, Listed
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.peer.peer_pb2 import HeartbeatReply, HeartbeatRequest
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
MIN_JITTER = 0.9
MAX_JITTER = 1.1
PROBE_TIMEOUTS = 2.0
LEAVE_TIMEOUT_S = 2.0
OPEN_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class _Published:
    """What other threads read."""

    by_program: dict[str, tuple[Member, ...]] = field(default_factory=dict)
    leaving_backends: frozenset[str] = frozenset()


class GossipMembership(Membership, HeartbeatHandler, DatagramHandler):
    """The membership of one process; its work is done on the peer loop.

    :param me: this member, with the incarnation of this start
    :param key: key that peers check
    :param on_generation: called on the peer loop with a member that has a
        newer configuration than this process, again at each message until
        it is in force here; must not block
    :param own_generation: gives the generation in force here
    :param port_of: peer port of a program
    :param datagrams: whether heartbeats go by datagram, on the same port;
        these are not encrypted
    """

    def __init__(
        self,
        me: Member,
        loop: LoopThread,
        instances: InstanceList,
        key: str,
        settings: MembershipSettings,
        metrics: Metrics,
        on_generation: Callable[[Member, int], None],
        own_generation: Callable[[], int],
        port_of: Callable[[str], int] = PEER_PORTS.__getitem__,
        tls: ssl.SSLContext | None = None,
        rng: random.Random | None = None,
        datagrams: bool = False,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._metrics = metrics
        self._on_generation = on_generation
        self._own_generation = own_generation
        self._port_of = port_of
        self._rng = rng or random.Random()
        self._view = MembershipView(me, settings.view, self._rng)
        self._view.set_seeds(settings.seeds)
        self._datagrams = Datagrams(key, self) if datagrams else None
        self._calls = HeartbeatCalls(
            key, port_of, settings.timeout_s, tls, self._datagrams
        )
        self._list = ListReader(
            instances, self._list_spacing_s, self._hand_list, self._rng
        )
        self._wake = asyncio.Event()
        self._early = TokenBucket(
            self._now(),
            settings.early_per_s,
            settings.early_rounds / settings.early_per_s,
        )
        self._known: tuple[Member, ...] = ()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._calling: set[Contact] = set()
        self._subscribers: list[Callable[[], None]] = []
        self._published = _Published()
        self._counted = (0, 0)
        self._handling_s = 0.0
        self._ended = False
        self._publish()

    def start(self) -> None:
        """Start to read the list and to send heartbeats."""
        self._list.start()
        self._loop.submit(self._open()).result(OPEN_TIMEOUT_S)
        self._loop.call(self._spawn_rounds)

    def stop(self) -> None:
        """End all work; call before the loop is stopped."""
        self._list.stop()
        self._loop.submit(self._end()).result(LEAVE_TIMEOUT_S)

    def leave(self) -> None:
        """Mark this member as leaving and tell the neighbours at once.

        Blocks until they were told or did not answer; not to be called on
        the peer loop.
        """
        told = self._loop.submit(self._leave())
        try:
            told.result(LEAVE_TIMEOUT_S)
        except TimeoutError:
            LOG.warning("neighbours were not told of leaving in time")

    def members(self, program: str) -> tuple[Member, ...]:
        """Give members of a program that are not known to be dead."""
        return self._published.by_program.get(program, ())

    def live(self, program: str) -> tuple[Member, ...]:
        """Give members that are alive and not leaving, by name."""
        return tuple(
            member
            for member in self.members(program)
            if member.state is MemberState.ALIVE
        )

    def leaving_backends(self) -> frozenset[str]:
        """Give backend servers that any source has said to be leaving."""
        return self._published.leaving_backends

    def report_leaving_backend(self, backend: str) -> None:
        """Spread that a backend server is leaving."""
        self._loop.call(self._report_backend, backend)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call after each change, on the peer loop."""
        self._subscribers.append(changed)

    def state(self) -> MembershipState:
        """Give the state for a dump."""
        return self._loop.submit(self._state()).result(LEAVE_TIMEOUT_S)

    async def _open(self) -> None:
        if self._datagrams is not None:
            me = self._view.me
            await self._datagrams.start(me.address, self._port_of(me.program))

    async def heartbeat(self, req: HeartbeatRequest) -> HeartbeatReply:
        """Take a heartbeat's news, and give our own."""
        reply = self.answer(req)
        if reply is None:
            raise GRPCError(Status.UNAVAILABLE, "stopped")
        if req.probe:
            contact = self._view.contact_of(req.probe)
            reply.probe_ok = contact is not None and await self._exchange(
                contact
            )
        return reply

    def answer(self, req: HeartbeatRequest) -> HeartbeatReply | None:
        """Take a heartbeat's news, and give our own, without a probe."""
        if self._ended:
            return None
        began = time.thread_time()
        message = self._view.reply(message_of(req), self._now())
        self._after_message()
        self._handling_s += time.thread_time() - began
        reply = reply_of(message)
        self._calls.counters.bytes_received += req.ByteSize()
        self._calls.counters.bytes_sent += reply.ByteSize()
        return reply

    async def _rounds(self) -> None:
        while True:
            self._view.set_generation(self._own_generation())
            self._publish()
            contacts = self._view.start_round(self._now())
            self._calls.keep(contacts)
            for contact in contacts:
                if contact not in self._calling:
                    self._spawn(self._heartbeat(contact))
            self._after_message()
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next round, which urgent news brings forward.

        Only so many rounds are brought forward: in an overloaded fleet
        false suspicions must not make more load.
        """
        gap_s = self._settings.gap_s
        await asyncio.sleep(gap_s)
        jitter = self._rng.uniform(MIN_JITTER, MAX_JITTER)
        rest_s = self._settings.view.heartbeat_s * jitter - gap_s
        rest_s = max(0.0, rest_s)
        wait_s = self._early.next_wait_s(self._now())
        if wait_s >= rest_s:
            await asyncio.sleep(rest_s)
            return
        await asyncio.sleep(wait_s)
        try:
            async with asyncio.timeout(rest_s - wait_s):
                await self._wake.wait()
        except TimeoutError:
            return
        self._early.take(self._now(), rest_s)
        self._wake.clear()

    async def _heartbeat(self, contact: Contact) -> None:
        """Send a heartbeat; doubt a member that nobody reaches."""
        tried = self._view.incarnation_of(contact.name)
        self._calling.add(contact)
        try:
            reached = await self._exchange(contact)
            if not reached and self._is_doubtful(contact):
                reached = await self._reached_by_any(contact)
        finally:
            self._calling.discard(contact)
        if not reached and self._is_doubtful(contact):
            self._view.suspect(contact.name, tried, self._now())
            self._after_message()

    def _is_doubtful(self, contact: Contact) -> bool:
        """Tell whether a missing reply is worth to be looked into."""
        return bool(contact.name) and not self._view.is_late(self._now())

    async def _reached_by_any(self, contact: Contact) -> bool:
        helpers = self._view.helpers(contact.name)
        probes = (self._probe(helper, contact.name) for helper in helpers)
        reached = await asyncio.gather(self._exchange(contact), *probes)
        return any(reached)

    async def _probe(self, helper: Contact, name: str) -> bool:
        """Ask a helper to probe a member."""
        req = request_of(self._view.message_for(helper.name), name)
        reply = await self._calls.call(helper, req, PROBE_TIMEOUTS)
        if reply is None:
            return False
        self._take_reply(reply)
        return reply.probe_ok

    async def _exchange(self, contact: Contact) -> bool:
        """Send a heartbeat; tell whether that member answered it."""
        req = request_of(self._view.heartbeat_for(contact.name))
        reply = await self._calls.call(contact, req)
        if reply is None:
            return False
        self._take_reply(reply)
        return contact.name in ("", reply.sender.member)

    def _take_reply(self, reply: HeartbeatReply) -> None:
        began = time.thread_time()
        self._view.receive_reply(message_of(reply), self._now())
        self._after_message()
        self._handling_s += time.thread_time() - began

    def _after_message(self) -> None:
        """Tell those who wait for what has changed."""
        if self._view.take_changed():
            self._publish()
            self._count()
            for changed in self._subscribers:
                self._guard(changed)
        newest = self._view.newest
        if newest.generation > self._own_generation():
            self._guard(self._on_generation, newest, newest.generation)
        if self._view.take_urgent():
            self._wake.set()

    def _guard(self, callback: Callable[..., None], *args: Any) -> None:
        try:
            callback(*args)
        except Exception:
            LOG.exception("a subscriber of the membership failed")

    def _publish(self) -> None:
        known = self._view.known()
        found = changes(self._known, known)
        self._known = known
        if found:
            LOG.info("members changed", known=len(known), **found.log_fields())
        by_program: dict[str, list[Member]] = {}
        for member in sorted(known, key=lambda m: m.name):
            by_program.setdefault(member.program, []).append(member)
        self._published = _Published(
            {program: tuple(found) for program, found in by_program.items()},
            self._view.leaving_backends(),
        )

    def _count(self) -> None:
        suspicions, deaths = self._counted
        self._counted = self._view.suspicions, self._view.deaths
        for decision, amount in (
            (Decision.MEMBER_SUSPECTED, self._view.suspicions - suspicions),
            (Decision.MEMBER_DEAD, self._view.deaths - deaths),
        ):
            if amount:
                self._metrics.count(decision, amount)

    async def _leave(self) -> None:
        self._view.leave()
        self._after_message()
        contacts = map(self._view.contact_of, self._view.neighbours())
        calls = (self._exchange(c) for c in contacts if c is not None)
        await asyncio.gather(*calls)

    async def _end(self) -> None:
        self._ended = True
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._calls.close()

    async def _state(self) -> MembershipState:
        counters = self._calls.counters
        return MembershipState(
            me=self._view.me,
            joined=self._view.joined,
            superseded=self._view.superseded,
            members=self._view.known(),
            dead=self._view.dead(),
            neighbours=self._view.neighbours(),
            leaving_backends=tuple(sorted(self.leaving_backends())),
            list_error=self._list.error,
            calls=counters.calls,
            failures=counters.failures,
            suspicions=self._view.suspicions,
            deaths=self._view.deaths,
            bytes_sent=counters.bytes_sent,
            bytes_received=counters.bytes_received,
            handling_s=self._handling_s,
        )

    def _spawn_rounds(self) -> None:
        self._spawn(self._rounds())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _report_backend(self, backend: str) -> None:
        self._view.report_backend(backend, self._now())
        self._after_message()

    def _hand_list(self, listed: tuple[Listed, ...]) -> None:
        self._loop.call(self._take_list, listed)

    def _take_list(self, listed: tuple[Listed, ...]) -> None:
        self._view.apply_list(listed, self._now())
        self._after_message()

    def _list_spacing_s(self) -> float:
        members = sum(map(len, self._published.by_program.values()))
        spaced_s = members / self._settings.list_reads_per_s
        return max(self._settings.list_s, spaced_s)

    def _now(self) -> float:
        return self._loop.loop.time()


__all__ = ["GossipMembership", "MembershipSettings", "MembershipState"]
