"""Heartbeat calls by datagram or on long-lived gRPC channels."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from mulberrypass.model.value_class import value_class
from mulberrypass.peer.peer_grpc import PeerStub
from mulberrypass.peer.server import KEY_HEADER

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    import ssl

    from mulberrypass.peer.datagrams import HeartbeatDatagrams
    from mulberrypass.peer.peer_pb2 import HeartbeatReply, HeartbeatRequest
    from mulberrypass.policy.membership.messages import Contact

CALL_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)


@value_class
class PeerEndpoint:
    """Address and port of a peer server."""

    address: str
    port: int


@dataclass(slots=True)
class CallCounters:
    """Calls made and failed, and bytes of their messages."""

    calls: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class HeartbeatCalls:
    """Makes heartbeat calls; used on the peer loop only.

    A call without a reply by datagram is repeated on a channel: the reply
    may be too large, or datagrams may be blocked.

    :param port_of: returns the peer port of a program
    :param datagrams: ``None`` to send heartbeats on channels only
    """

    def __init__(
        self,
        key: str,
        port_of: Callable[[str], int],
        timeout_s: float,
        tls: ssl.SSLContext | None = None,
        datagrams: HeartbeatDatagrams | None = None,
    ) -> None:
        self._metadata = {KEY_HEADER: key}
        self._port_of = port_of
        self._timeout_s = timeout_s
        self._tls = tls
        self._datagrams = datagrams
        self._channels: dict[PeerEndpoint, Channel] = {}
        self._in_use: Counter[PeerEndpoint] = Counter()
        self._closed = False
        self.counters = CallCounters()

    async def call(
        self,
        contact: Contact,
        req: HeartbeatRequest,
        timeout_factor: float = 1.0,
    ) -> HeartbeatReply | None:
        """Send a heartbeat.

        :param timeout_factor: multiple of the timeout to wait on a channel
        :returns: the reply, or ``None`` if none arrived in time
        """
        if self._closed:
            return None
        endpoint = PeerEndpoint(
            contact.address, self._port_of(contact.program)
        )
        self.counters.calls += 1
        self.counters.bytes_sent += req.ByteSize()
        self._in_use[endpoint] += 1
        try:
            reply = await self._call_by_datagram(endpoint, req)
            if reply is None and not self._closed:
                timeout_s = self._timeout_s * timeout_factor
                reply = await self._call_on_channel(endpoint, req, timeout_s)
        finally:
            self._in_use[endpoint] -= 1
        if reply is None:
            self.counters.failures += 1
        else:
            self.counters.bytes_received += reply.ByteSize()
        return reply

    def close_unused(self, contacts: Iterable[Contact]) -> None:
        """Close idle channels to peers that are not among the contacts."""
        kept = {
            PeerEndpoint(contact.address, self._port_of(contact.program))
            for contact in contacts
        }
        for endpoint in self._channels.keys() - kept:
            if not self._in_use[endpoint]:
                self._channels.pop(endpoint).close()
        self._in_use = +self._in_use

    def close(self) -> None:
        """Close all channels; later calls return ``None``."""
        self._closed = True
        if self._datagrams is not None:
            self._datagrams.close()
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _call_by_datagram(
        self, endpoint: PeerEndpoint, req: HeartbeatRequest
    ) -> HeartbeatReply | None:
        if self._datagrams is None or req.probe:
            return None
        return await self._datagrams.call(
            (endpoint.address, endpoint.port), req
        )

    async def _call_on_channel(
        self, endpoint: PeerEndpoint, req: HeartbeatRequest, timeout_s: float
    ) -> HeartbeatReply | None:
        channel = self._channel(endpoint)
        try:
            async with asyncio.timeout(timeout_s):
                stub = PeerStub(channel)
                return await stub.Heartbeat(req, metadata=self._metadata)
        except CALL_ERRORS:
            self._close_channel(endpoint, channel)
            return None

    def _channel(self, endpoint: PeerEndpoint) -> Channel:
        channel = self._channels.get(endpoint)
        if channel is None:
            channel = Channel(endpoint.address, endpoint.port, ssl=self._tls)
            self._channels[endpoint] = channel
        return channel

    def _close_channel(self, endpoint: PeerEndpoint, channel: Channel) -> None:
        if self._channels.get(endpoint) is channel:
            del self._channels[endpoint]
        channel.close()


__all__ = ["CallCounters", "HeartbeatCalls"]
