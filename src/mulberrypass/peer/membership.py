"""Gossip membership: heartbeats to a few neighbours carry the updates."""

from __future__ import annotations

import asyncio
from dataclasses import field
import random
import time
from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from mulberrypass.model.value_class import value_class
from mulberrypass.peer.api import Membership
from mulberrypass.peer.datagrams import DatagramHandler, HeartbeatDatagrams
from mulberrypass.peer.membership_calls import HeartbeatCalls
from mulberrypass.peer.membership_codec import (
    decode_message,
    encode_reply,
    encode_request,
)
from mulberrypass.peer.membership_list import InstanceListReader
from mulberrypass.peer.membership_state import (
    MembershipSettings,
    MembershipState,
)
from mulberrypass.peer.server import HeartbeatHandler
from mulberrypass.policy.membership.known_members import KnownMembers
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
    from mulberrypass.model.store import InstanceList, ListedMachine
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.peer.peer_pb2 import HeartbeatReply, HeartbeatRequest
    from mulberrypass.policy.health.crashes import Crash
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
MIN_JITTER = 0.9
MAX_JITTER = 1.1
PROBE_TIMEOUT_FACTOR = 2.0
LEAVE_TIMEOUT_S = 2.0
OPEN_TIMEOUT_S = 5.0


@value_class
class _PublishedMembers:
    """Immutable members and backend servers for readers on other threads."""

    known: dict[str, tuple[Member, ...]] = field(default_factory=dict)
    live: dict[str, tuple[Member, ...]] = field(default_factory=dict)
    leaving_backends: frozenset[str] = frozenset()


class GossipMembership(Membership, HeartbeatHandler, DatagramHandler):
    """The membership of one process, run on the peer loop.

    :param me: this member, with the incarnation of this process start
    :param key: the peer key
    :param on_generation: called on the peer loop with a member that has a
        newer configuration than this process, and its generation; repeated
        at each message until that one is in force here; must not block
    :param own_generation: returns the generation in force here
    :param port_of: returns the peer port of a program
    :param datagrams: whether to send heartbeats by unencrypted datagrams,
        on the same port
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
        self._datagrams = HeartbeatDatagrams(key, self) if datagrams else None
        self._calls = HeartbeatCalls(
            key, port_of, settings.timeout_s, tls, self._datagrams
        )
        self._list = InstanceListReader(
            instances, self._list_interval_s, self._post_list, self._rng
        )
        self._wake = asyncio.Event()
        self._early_rounds = TokenBucket(
            self._now(),
            settings.early_rounds_per_s,
            settings.early_round_burst / settings.early_rounds_per_s,
        )
        self._known = KnownMembers()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._calling: set[Contact] = set()
        self._subscribers: list[Callable[[], None]] = []
        self._crash_subscribers: list[Callable[[Crash], object]] = []
        self._published = _PublishedMembers()
        self._listed: tuple[ListedMachine, ...] | None = None
        self._reported_failures = (0, 0)
        self._handling_s = 0.0
        self._stopped = False
        self._publish()

    def start(self) -> None:
        """Start reading the list and sending heartbeats."""
        self._list.start()
        self._loop.submit(self._open()).result(OPEN_TIMEOUT_S)
        self._loop.call(self._start_rounds)

    def stop(self) -> None:
        """Stop all tasks; call before the loop is stopped."""
        self._list.stop()
        self._loop.submit(self._stop()).result(LEAVE_TIMEOUT_S)

    def leave(self) -> None:
        """Mark this member as leaving and notify the neighbours at once.

        Blocks until all neighbours replied or timed out; must not be
        called on the peer loop.
        """
        fut = self._loop.submit(self._leave())
        try:
            fut.result(LEAVE_TIMEOUT_S)
        except TimeoutError:
            LOG.warning("neighbours were not told of leaving in time")

    def members(self, program: str) -> tuple[Member, ...]:
        """Return the members of a program that are not known to be dead."""
        return self._published.known.get(program, ())

    def live(self, program: str) -> tuple[Member, ...]:
        """Return the members that are alive and not leaving, by name."""
        return self._published.live.get(program, ())

    def listed(self) -> tuple[ListedMachine, ...] | None:
        """Return the platform's list; ``None`` before it was read."""
        return self._listed

    @property
    def datagrams(self) -> HeartbeatDatagrams | None:
        """The socket of heartbeats, which other datagrams may share."""
        return self._datagrams

    def leaving_backends(self) -> frozenset[str]:
        """Return the backend servers that any source reports as leaving."""
        return self._published.leaving_backends

    def report_leaving_backend(self, backend: str) -> None:
        """Report to all members that a backend server is leaving."""
        self._loop.call(self._apply_leaving_backend, backend)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for changes, run on the peer loop."""
        self._subscribers.append(changed)

    def report_crash(self, crash: Crash) -> None:
        """Tell all members of the crash of an engine."""
        self._loop.call(self._apply_crash, crash)

    def subscribe_crashes(self, learn: Callable[[Crash], object]) -> None:
        """Register a callback for crashes that other members tell of.

        It runs on the peer loop and must not block.
        """
        self._crash_subscribers.append(learn)

    def state(self) -> MembershipState:
        """Return the state for a dump."""
        return self._loop.submit(self._state()).result(LEAVE_TIMEOUT_S)

    async def _open(self) -> None:
        if self._datagrams is not None:
            me = self._view.me
            await self._datagrams.start(me.address, self._port_of(me.program))

    async def heartbeat(self, req: HeartbeatRequest) -> HeartbeatReply:
        """Merge a heartbeat, run the probe it requests, and reply."""
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
        """Merge a heartbeat and return the reply, without a probe."""
        if self._stopped:
            return None
        started = time.thread_time()
        message = self._view.reply(decode_message(req), self._now())
        self._handle_changes()
        self._handling_s += time.thread_time() - started
        reply = encode_reply(message)
        self._calls.counters.bytes_received += req.ByteSize()
        self._calls.counters.bytes_sent += reply.ByteSize()
        return reply

    async def _run_rounds(self) -> None:
        while True:
            self._view.set_generation(self._own_generation())
            if self._view.has_touched:
                self._publish()
            contacts = self._view.start_round(self._now())
            self._calls.close_unused(contacts)
            for contact in contacts:
                if contact not in self._calling:
                    self._spawn(self._heartbeat(contact))
            self._handle_changes()
            await self._wait_for_round()

    async def _wait_for_round(self) -> None:
        """Wait for the next round, which urgent updates bring forward.

        Early rounds are rate-limited: in an overloaded fleet, false
        suspicions must not add load.
        """
        min_round_gap_s = self._settings.min_round_gap_s
        await asyncio.sleep(min_round_gap_s)
        jitter = self._rng.uniform(MIN_JITTER, MAX_JITTER)
        remaining_s = (
            self._settings.view.heartbeat_s * jitter - min_round_gap_s
        )
        remaining_s = max(0.0, remaining_s)
        wait_s = self._early_rounds.next_wait_s(self._now())
        if wait_s >= remaining_s:
            await asyncio.sleep(remaining_s)
            return
        await asyncio.sleep(wait_s)
        try:
            async with asyncio.timeout(remaining_s - wait_s):
                await self._wake.wait()
        except TimeoutError:
            return
        self._early_rounds.take(self._now(), remaining_s)
        self._wake.clear()

    async def _heartbeat(self, contact: Contact) -> None:
        """Send a heartbeat; suspect a member that nobody can reach."""
        incarnation = self._view.incarnation_of(contact.name)
        self._calling.add(contact)
        try:
            reached = await self._exchange(contact)
            if not reached and self._may_suspect(contact):
                reached = await self._is_reachable(contact)
        finally:
            self._calling.discard(contact)
        if not reached and self._may_suspect(contact):
            self._view.suspect(contact.name, incarnation, self._now())
            self._handle_changes()

    def _may_suspect(self, contact: Contact) -> bool:
        """Return whether a missing reply counts against a member.

        It does not for an unnamed contact, or while our own rounds are late.
        """
        return bool(contact.name) and not self._view.is_late(self._now())

    async def _is_reachable(self, contact: Contact) -> bool:
        helpers = self._view.helpers(contact.name)
        probes = (self._probe(helper, contact.name) for helper in helpers)
        reached = await asyncio.gather(self._exchange(contact), *probes)
        return any(reached)

    async def _probe(self, helper: Contact, name: str) -> bool:
        """Ask a helper to probe a member; return whether it replied."""
        req = encode_request(self._view.message_for(helper.name), name)
        reply = await self._calls.call(helper, req, PROBE_TIMEOUT_FACTOR)
        if reply is None:
            return False
        self._handle_reply(reply)
        return reply.probe_ok

    async def _exchange(self, contact: Contact) -> bool:
        """Send a heartbeat; return whether that member replied."""
        req = encode_request(self._view.heartbeat_for(contact.name))
        reply = await self._calls.call(contact, req)
        if reply is None:
            return False
        self._handle_reply(reply)
        return contact.name in ("", reply.sender.member)

    def _handle_reply(self, reply: HeartbeatReply) -> None:
        started = time.thread_time()
        self._view.receive_reply(decode_message(reply), self._now())
        self._handle_changes()
        self._handling_s += time.thread_time() - started

    def _handle_changes(self) -> None:
        """Notify subscribers of changes, and start a round if urgent."""
        if self._view.take_changed():
            self._publish()
            self._count_failures()
            for changed in self._subscribers:
                self._notify(changed)
        for crash in self._view.take_crashes():
            for learn in self._crash_subscribers:
                self._notify(learn, crash)
        newest = self._view.newest
        if newest.generation > self._own_generation():
            self._notify(self._on_generation, newest, newest.generation)
        if self._view.take_urgent():
            self._wake.set()

    def _notify(self, callback: Callable[..., object], *args: Any) -> None:
        try:
            callback(*args)
        except Exception:
            LOG.exception("a subscriber of the membership failed")

    def _publish(self) -> None:
        found = self._known.update(self._view.take_touched())
        if found:
            known = len(self._known)
            LOG.info("members changed", known=known, **found.log_fields())
        self._published = _PublishedMembers(
            self._known.known(),
            self._known.live(),
            self._view.leaving_backends(),
        )

    def _count_failures(self) -> None:
        suspicions, deaths = self._reported_failures
        self._reported_failures = self._view.suspicions, self._view.deaths
        for decision, amount in (
            (Decision.MEMBER_SUSPECTED, self._view.suspicions - suspicions),
            (Decision.MEMBER_DEAD, self._view.deaths - deaths),
        ):
            if amount:
                self._metrics.count(decision, amount)

    async def _leave(self) -> None:
        self._view.leave()
        self._handle_changes()
        contacts = map(self._view.contact_of, self._view.neighbours())
        calls = (self._exchange(c) for c in contacts if c is not None)
        await asyncio.gather(*calls)

    async def _stop(self) -> None:
        self._stopped = True
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

    def _start_rounds(self) -> None:
        self._spawn(self._run_rounds())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply_leaving_backend(self, backend: str) -> None:
        self._view.report_backend(backend, self._now())
        self._handle_changes()

    def _apply_crash(self, crash: Crash) -> None:
        self._view.report_crash(crash, self._now())
        self._handle_changes()

    def _post_list(self, listed: tuple[ListedMachine, ...]) -> None:
        self._loop.call(self._apply_list, listed)

    def _apply_list(self, listed: tuple[ListedMachine, ...]) -> None:
        self._listed = listed
        self._view.apply_list(listed, self._now())
        self._handle_changes()

    def _list_interval_s(self) -> float:
        members = sum(map(len, self._published.known.values()))
        interval_s = members / self._settings.list_reads_per_s
        return max(self._settings.list_interval_s, interval_s)

    def _now(self) -> float:
        return self._loop.loop.time()


__all__ = ["GossipMembership", "MembershipSettings", "MembershipState"]
