"""Tests of heartbeats by datagram."""

from __future__ import annotations

import asyncio
import socket
import unittest

from mulberrypass.peer.datagrams import (
    HEADER,
    MAX_MESSAGE_BYTES,
    DatagramHandler,
    HeartbeatDatagrams,
    Kind,
)
from mulberrypass.peer.membership_calls import HeartbeatCalls
from mulberrypass.peer.peer_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    MemberNews,
)
from mulberrypass.peer.server import (
    ConfigurationHandler,
    HeartbeatHandler,
    PeerServer,
)
from mulberrypass.policy.membership.messages import Contact
from tests.peer.membership_fleet import NoConfiguration, PeerFleet

KEY = "peer-key"
LOCAL_ADDRESS, REMOTE_ADDRESS = "127.0.13.1", "127.0.13.2"
REQUEST = HeartbeatRequest(sender=MemberNews(member="entry@here"))


class _CountingHandler(HeartbeatHandler, DatagramHandler):
    """Counts heartbeats and replies with its name, padded to a size."""

    def __init__(self, padding: int = 0) -> None:
        self.handled = 0
        self._padding = "x" * padding

    async def heartbeat(self, req: HeartbeatRequest) -> HeartbeatReply:
        return self.answer(req)

    def answer(self, req: HeartbeatRequest) -> HeartbeatReply:
        self.handled += 1
        name = "entry@there" + self._padding
        return HeartbeatReply(sender=MemberNews(member=name))


class _LossyDatagrams(HeartbeatDatagrams):
    """Drops the first datagrams that it receives.

    :param lost: number of datagrams to drop
    """

    def __init__(self, key: str, handler: DatagramHandler, lost: int) -> None:
        super().__init__(key, handler)
        self.lost = lost

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.lost:
            self.lost -= 1
            return
        super().datagram_received(data, addr)


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server((LOCAL_ADDRESS, 0)) as free:
        return int(free.getsockname()[1])


class HeartbeatDatagramsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = free_port()
        self.local = HeartbeatDatagrams(KEY, _CountingHandler())
        await self.local.start(LOCAL_ADDRESS, self.port)
        self.addCleanup(self.local.close)

    async def start_remote(
        self, handler: DatagramHandler, key: str = KEY, lost: int = 0
    ) -> HeartbeatDatagrams:
        """Start the remote side."""
        remote = _LossyDatagrams(key, handler, lost)
        await remote.start(REMOTE_ADDRESS, self.port)
        self.addCleanup(remote.close)
        return remote

    async def call(self) -> HeartbeatReply | None:
        return await self.local.call((REMOTE_ADDRESS, self.port), REQUEST)

    async def test_heartbeat_is_answered(self) -> None:
        await self.start_remote(_CountingHandler())
        reply = await self.call()
        self.assertEqual("entry@there", reply and reply.sender.member)

    async def test_lost_datagram_is_resent(self) -> None:
        handler = _CountingHandler()
        await self.start_remote(handler, lost=1)
        self.assertIsNotNone(await self.call())
        self.assertEqual(1, handler.handled)

    async def test_no_reply_by_datagram(self) -> None:
        cases = {
            "all are lost": (_CountingHandler(), KEY, 2),
            "the reply is too large": (
                _CountingHandler(MAX_MESSAGE_BYTES),
                KEY,
                0,
            ),
            "another key": (_CountingHandler(), "other-key", 0),
        }
        for name, (handler, key, lost) in cases.items():
            with self.subTest(name):
                remote = await self.start_remote(handler, key, lost)
                self.assertIsNone(await self.call())
                remote.close()
                await asyncio.sleep(0)

    async def test_unauthenticated_datagram_is_ignored(self) -> None:
        handler = _CountingHandler()
        remote = await self.start_remote(handler)
        data = HEADER.pack(Kind.REQUEST, 1) + REQUEST.SerializeToString()
        for forged in (b"", b"x", data, data + b"\0" * 16):
            with self.subTest(size=len(forged)):
                remote.datagram_received(forged, (LOCAL_ADDRESS, self.port))
        await asyncio.sleep(0)
        self.assertEqual(0, handler.handled)

    async def test_late_reply_is_ignored(self) -> None:
        await self.start_remote(_CountingHandler())
        self.local._resolve(12_345, HeartbeatReply())  # noqa: SLF001
        reply = await self.call()
        self.assertEqual("entry@there", reply and reply.sender.member)


class StreamFallbackTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_falls_back_to_stream(
        self,
    ) -> None:
        port = free_port()
        handler = _CountingHandler()
        configurations: ConfigurationHandler = NoConfiguration()
        server = PeerServer(KEY, handler, configurations)
        await server.start(REMOTE_ADDRESS, port)
        datagrams = HeartbeatDatagrams(KEY, _CountingHandler())
        await datagrams.start(LOCAL_ADDRESS, port)
        calls = HeartbeatCalls(
            KEY, lambda _program: port, 5.0, datagrams=datagrams
        )
        contact = Contact("entry@there", "entry", REMOTE_ADDRESS)
        reply = await calls.call(contact, REQUEST)
        self.assertEqual("entry@there", reply and reply.sender.member)
        self.assertEqual(0, calls.counters.failures)
        calls.close()
        await server.stop()


class DatagramFleetTest(unittest.TestCase):
    def test_membership_converges_by_datagrams(self) -> None:
        peers = PeerFleet(self, datagrams=True)
        addresses = [f"127.0.14.{number}" for number in range(1, 6)]
        members = [peers.start(address) for address in addresses]
        names = {member.name for member in members}
        peers.list_live(*addresses)
        peers.wait_for(
            lambda: all(set(m.known_states()) == names for m in members)
        )
        members[0].stop()
        remaining = names - {members[0].name}
        peers.wait_for(
            lambda: all(
                set(m.known_states()) == remaining for m in members[1:]
            )
        )
