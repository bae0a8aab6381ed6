"""Tests of heartbeats as datagrams."""

from __future__ import annotations

import asyncio
import socket
import unittest

from mulberrypass.peer.datagrams import (
    HEAD,
    MAX_BYTES,
    DatagramHandler,
    Datagrams,
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
from tests.peer.membership_peers import NoConfiguration, Peers

KEY = "peer-key"
HERE, THERE = "127.0.13.1", "127.0.13.2"
REQUEST = HeartbeatRequest(sender=MemberNews(member="entry@here"))


class _Answers(HeartbeatHandler, DatagramHandler):
    """Answers each heartbeat by its own name, and counts them."""

    def __init__(self, padding: int = 0) -> None:
        self.taken = 0
        self._padding = "x" * padding

    async def heartbeat(self, req: HeartbeatRequest) -> HeartbeatReply:
        return self.answer(req)

    def answer(self, req: HeartbeatRequest) -> HeartbeatReply:
        self.taken += 1
        name = "entry@there" + self._padding
        return HeartbeatReply(sender=MemberNews(member=name))


class _Lossy(Datagrams):
    """Loses the first datagrams that it gets.

    :param lost: how many
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
    """Give a port that is free now."""
    with socket.create_server((HERE, 0)) as free:
        return int(free.getsockname()[1])


class DatagramsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = free_port()
        self.here = Datagrams(KEY, _Answers())
        await self.here.start(HERE, self.port)
        self.addCleanup(self.here.close)

    async def there(
        self, handler: DatagramHandler, key: str = KEY, lost: int = 0
    ) -> Datagrams:
        """Start the other side."""
        made = _Lossy(key, handler, lost)
        await made.start(THERE, self.port)
        self.addCleanup(made.close)
        return made

    async def call(self) -> HeartbeatReply | None:
        return await self.here.call((THERE, self.port), REQUEST)

    async def test_a_heartbeat_is_answered(self) -> None:
        await self.there(_Answers())
        reply = await self.call()
        self.assertEqual("entry@there", reply and reply.sender.member)

    async def test_a_lost_datagram_is_sent_once_more(self) -> None:
        handler = _Answers()
        await self.there(handler, lost=1)
        self.assertIsNotNone(await self.call())
        self.assertEqual(1, handler.taken)

    async def test_cases_that_need_a_stream(self) -> None:
        cases = {
            "all are lost": (_Answers(), KEY, 2),
            "the reply is too large": (_Answers(MAX_BYTES), KEY, 0),
            "another key": (_Answers(), "other-key", 0),
        }
        for name, (handler, key, lost) in cases.items():
            with self.subTest(name):
                made = await self.there(handler, key, lost)
                self.assertIsNone(await self.call())
                made.close()
                await asyncio.sleep(0)

    async def test_what_is_not_made_with_the_key_changes_nothing(self) -> None:
        handler = _Answers()
        made = await self.there(handler)
        data = HEAD.pack(Kind.REQUEST, 1) + REQUEST.SerializeToString()
        for forged in (b"", b"x", data, data + b"\0" * 16):
            with self.subTest(size=len(forged)):
                made.datagram_received(forged, (HERE, self.port))
        await asyncio.sleep(0)
        self.assertEqual(0, handler.taken)

    async def test_a_late_reply_answers_no_other_call(self) -> None:
        await self.there(_Answers())
        self.here._resolve(12_345, HeartbeatReply())  # noqa: SLF001
        reply = await self.call()
        self.assertEqual("entry@there", reply and reply.sender.member)


class FallbackTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_heartbeat_goes_on_a_stream_where_datagrams_fail(
        self,
    ) -> None:
        port = free_port()
        handler = _Answers()
        nothing: ConfigurationHandler = NoConfiguration()
        server = PeerServer(KEY, handler, nothing)
        await server.start(THERE, port)
        datagrams = Datagrams(KEY, _Answers())
        await datagrams.start(HERE, port)
        calls = HeartbeatCalls(
            KEY, lambda _program: port, 5.0, datagrams=datagrams
        )
        contact = Contact("entry@there", "entry", THERE)
        reply = await calls.call(contact, REQUEST)
        self.assertEqual("entry@there", reply and reply.sender.member)
        self.assertEqual(0, calls.counters.failures)
        calls.close()
        await server.stop()


class FleetTest(unittest.TestCase):
    def test_members_find_one_another_by_datagrams(self) -> None:
        peers = Peers(self, datagrams=True)
        addresses = [f"127.0.14.{number}" for number in range(1, 6)]
        members = [peers.start(address) for address in addresses]
        names = {member.name for member in members}
        peers.list_live(*addresses)
        peers.wait_for(
            lambda: all(set(m.believes()) == names for m in members)
        )
        members[0].stop()
        left = names - {members[0].name}
        peers.wait_for(
            lambda: all(set(m.believes()) == left for m in members[1:])
        )
