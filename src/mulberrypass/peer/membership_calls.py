"""Heartbeat calls by datagram, and on long-lived channels."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from mulberrypass.peer.peer_grpc import PeerStub
from mulberrypass.peer.server import KEY_HEADER

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    import ssl

    from mulberrypass.peer.datagrams import Datagrams
    from mulberrypass.peer.peer_pb2 import HeartbeatReply, HeartbeatRequest
    from mulberrypass.policy.membership.messages import Contact

CALL_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)


@dataclass(frozen=True, slots=True)
class Place:
    """Where a channel leads."""

    address: str
    port: int


@dataclass(slots=True)
class CallCounters:
    """Calls made, and the size of their messages."""

    calls: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class HeartbeatCalls:
    """Makes heartbeat calls; to be used on the peer loop only.

    A call that gets no reply by datagram is made on a channel: its reply
    may be too large, or datagrams may not get through.

    :param port_of: peer port of a program
    :param datagrams: ``None`` where heartbeats are sent on channels only
    """

    def __init__(
        self,
        key: str,
        port_of: Callable[[str], int],
        timeout_s: float,
        tls: ssl.SSLContext | None = None,
        datagrams: Datagrams | None = None,
    ) -> None:
        self._metadata = {KEY_HEADER: key}
        self._port_of = port_of
        self._timeout_s = timeout_s
        self._tls = tls
        self._datagrams = datagrams
        self._channels: dict[Place, Channel] = {}
        self._in_use: Counter[Place] = Counter()
        self._closed = False
        self.counters = CallCounters()

    async def call(
        self, contact: Contact, req: HeartbeatRequest, timeouts: float = 1.0
    ) -> HeartbeatReply | None:
        """Send a heartbeat.

        :param timeouts: how many timeouts to wait for the reply
        :returns: the reply, or ``None`` where none came in time
        """
        if self._closed:
            return None
        place = Place(contact.address, self._port_of(contact.program))
        self.counters.calls += 1
        self.counters.bytes_sent += req.ByteSize()
        self._in_use[place] += 1
        try:
            reply = await self._by_datagram(place, req)
            if reply is None and not self._closed:
                timeout_s = self._timeout_s * timeouts
                reply = await self._call(place, req, timeout_s)
        finally:
            self._in_use[place] -= 1
        if reply is None:
            self.counters.failures += 1
        else:
            self.counters.bytes_received += reply.ByteSize()
        return reply

    def keep(self, contacts: Iterable[Contact]) -> None:
        """Close idle channels to all places but those of the contacts."""
        kept = {
            Place(contact.address, self._port_of(contact.program))
            for contact in contacts
        }
        for place in self._channels.keys() - kept:
            if not self._in_use[place]:
                self._channels.pop(place).close()
        self._in_use = +self._in_use

    def close(self) -> None:
        """Close all channels and make no more calls."""
        self._closed = True
        if self._datagrams is not None:
            self._datagrams.close()
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _by_datagram(
        self, place: Place, req: HeartbeatRequest
    ) -> HeartbeatReply | None:
        if self._datagrams is None or req.probe:
            return None
        return await self._datagrams.call((place.address, place.port), req)

    async def _call(
        self, place: Place, req: HeartbeatRequest, timeout_s: float
    ) -> HeartbeatReply | None:
        channel = self._channel(place)
        try:
            async with asyncio.timeout(timeout_s):
                stub = PeerStub(channel)
                return await stub.Heartbeat(req, metadata=self._metadata)
        except CALL_ERRORS:
            self._drop(place, channel)
            return None

    def _channel(self, place: Place) -> Channel:
        channel = self._channels.get(place)
        if channel is None:
            channel = Channel(place.address, place.port, ssl=self._tls)
            self._channels[place] = channel
        return channel

    def _drop(self, place: Place, channel: Channel) -> None:
        if self._channels.get(place) is channel:
            del self._channels[place]
        channel.close()


__all__ = ["CallCounters", "HeartbeatCalls"]
