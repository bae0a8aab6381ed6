"""Heartbeats by UDP datagram, far cheaper than calls on a stream."""

from __future__ import annotations

from abc import ABC, abstractmethod
import asyncio
import enum
import hashlib
import hmac
import secrets
import struct
from typing import TYPE_CHECKING, Any, TypeAlias

from google.protobuf.message import DecodeError

from mulberrypass.peer.peer_pb2 import HeartbeatReply, HeartbeatRequest
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = get_logger(__name__)
# Datagram kind and call ID.
HEADER = struct.Struct("!BQ")
MAC_BYTES = 16
# Fits an Ethernet packet of 1,500 bytes without fragmentation.
MAX_MESSAGE_BYTES = 1_400
# A request without a reply is resent after this; replies take a few ms.
RETRY_INTERVAL_S = 0.1
MAX_ATTEMPTS = 2
CALL_ID_LIMIT = 2**63

Address = tuple[str, int]
Receiver: TypeAlias = "Callable[[int, bytes, Address], None]"


class Kind(enum.IntEnum):
    """Kind of a datagram.

    ``USE_STREAM`` answers a request whose reply does not fit a datagram:
    the sender must repeat the call on a stream.
    """

    REQUEST = 1
    REPLY = 2
    USE_STREAM = 3
    QUOTA_REQUEST = 4
    QUOTA_REPLY = 5


class DatagramHandler(ABC):
    """Answers heartbeats synchronously on the peer loop."""

    @abstractmethod
    def answer(self, req: HeartbeatRequest) -> HeartbeatReply | None:
        """Merge a heartbeat and return the reply, or ``None`` to send none."""


class HeartbeatDatagrams(asyncio.DatagramProtocol):
    """Sends heartbeats and answers them; used on the peer loop only.

    Each datagram carries a message authentication code made with the peer
    key. Replayed datagrams change nothing, because a member's highest
    incarnation and state win.
    """

    def __init__(self, key: str, handler: DatagramHandler) -> None:
        self._key = key.encode()
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None
        self._call_id = secrets.randbelow(CALL_ID_LIMIT)
        self._pending: dict[int, asyncio.Future[HeartbeatReply | None]] = {}
        self._receivers: dict[int, Receiver] = {}

    def register(self, kind: Kind, receiver: Receiver) -> None:
        """Pass datagrams of another kind to a receiver, on the peer loop.

        :param receiver: gets the call ID, the message and the sender; a
            datagram is dropped at a ``DecodeError``
        """
        self._receivers[kind] = receiver

    def new_call_id(self) -> int:
        """Return a call ID that this process hasn't used."""
        self._call_id = (self._call_id + 1) % CALL_ID_LIMIT
        return self._call_id

    def send(
        self, to: Address, kind: Kind, call_id: int, message: bytes
    ) -> None:
        """Send a datagram of a registered kind, if the socket is open."""
        self._send(to, kind, call_id, message)

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Close the socket and cancel pending calls."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        for reply in self._pending.values():
            reply.cancel()

    async def call(
        self, to: Address, req: HeartbeatRequest
    ) -> HeartbeatReply | None:
        """Send a heartbeat, and resend it if no reply arrives.

        :returns: the reply, or ``None`` if the caller must use a stream
        """
        data = req.SerializeToString()
        if self._transport is None or len(data) > MAX_MESSAGE_BYTES:
            return None
        call_id = self.new_call_id()
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[HeartbeatReply | None] = loop.create_future()
        self._pending[call_id] = reply
        timer: asyncio.TimerHandle | None = None

        def send(attempts: int) -> None:
            nonlocal timer
            if not attempts:
                self._resolve(call_id, None)
                return
            self._send(to, Kind.REQUEST, call_id, data)
            timer = loop.call_later(RETRY_INTERVAL_S, send, attempts - 1)

        try:
            send(MAX_ATTEMPTS)
            return await reply
        finally:
            if timer is not None:
                timer.cancel()
            del self._pending[call_id]

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that could not be delivered."""
        LOG.debug("heartbeat not delivered", reason=str(exc))

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a datagram if its authentication code is valid."""
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if len(body) < HEADER.size:
            return
        if not hmac.compare_digest(mac, self._mac(body)):
            LOG.warning("datagram of a stranger", address=addr[0])
            return
        kind, call_id = HEADER.unpack_from(body)
        message = body[HEADER.size :]
        try:
            self._handle(kind, call_id, message, addr)
        except DecodeError as exc:
            LOG.warning("datagram can't be read", reason=str(exc))

    def _handle(
        self, kind: int, call_id: int, message: bytes, addr: Address
    ) -> None:
        match kind:
            case Kind.REQUEST:
                req = HeartbeatRequest.FromString(message)
                self._answer(call_id, req, addr)
            case Kind.REPLY:
                self._resolve(call_id, HeartbeatReply.FromString(message))
            case Kind.USE_STREAM:
                self._resolve(call_id, None)
            case _ if kind in self._receivers:
                self._receivers[kind](call_id, message, addr)

    def _resolve(self, call_id: int, reply: HeartbeatReply | None) -> None:
        fut = self._pending.get(call_id)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def _answer(
        self, call_id: int, req: HeartbeatRequest, to: Address
    ) -> None:
        reply = self._handler.answer(req)
        if reply is None:
            return
        data = reply.SerializeToString()
        if len(data) > MAX_MESSAGE_BYTES:
            self._send(to, Kind.USE_STREAM, call_id, b"")
        else:
            self._send(to, Kind.REPLY, call_id, data)

    def _send(
        self, to: Address, kind: Kind, call_id: int, message: bytes
    ) -> None:
        if self._transport is None:
            return
        body = HEADER.pack(kind, call_id) + message
        self._transport.sendto(body + self._mac(body), to)

    def _mac(self, body: bytes) -> bytes:
        mac = hmac.digest(self._key, body, hashlib.sha256)
        return mac[:MAC_BYTES]


__all__ = ["DatagramHandler", "HeartbeatDatagrams", "Kind"]
