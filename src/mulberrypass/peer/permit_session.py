"""A holder's session with one cell owner, and its gRPC stream."""

from __future__ import annotations

from abc import ABC, abstractmethod
import asyncio
from typing import TYPE_CHECKING

from grpclib.client import Channel

from mulberrypass.peer.owner_events import OwnerReply
from mulberrypass.peer.peer_grpc import PeerStub
import mulberrypass.peer.peer_pb2 as pb
from mulberrypass.peer.permit_codec import (
    decode_loads,
    decode_owner,
    encode_holder,
)
from mulberrypass.peer.permit_outbox import Outbox
from mulberrypass.peer.server import KEY_HEADER
from mulberrypass.policy.messages import Ask
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    import ssl

    from mulberrypass.model.member import Member
    from mulberrypass.policy.messages import HolderMessage

LOG = get_logger(__name__)
CONNECT_TIMEOUT_S = 1.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
# A refused connection counts as silent for so long that online work fails
# open at once.
REFUSED_SILENCE_S = 1.0


class OwnerSession(ABC):
    """A connection to one owner; used on the peer loop only.

    :ivar silent_since: time since which a reply has been awaited, or
        ``None``
    :ivar has_backlog: whether a cell of the owner has queued requests or no
        free slot
    """

    def __init__(
        self,
        owner: str,
        clock: Callable[[], float],
        on_reply: Callable[[OwnerSession, OwnerReply], None],
        on_open: Callable[[OwnerSession], None],
    ) -> None:
        self.owner = owner
        self.address = ""
        self.clock = clock
        self.on_reply = on_reply
        self.on_open = on_open
        self.silent_since: float | None = None
        self.sent_at = 0.0
        self.open = False
        self.has_backlog = False

    @abstractmethod
    def start(self) -> None:
        """Connect, and reconnect when the connection is lost."""

    @abstractmethod
    def stop(self) -> None:
        """Close the connection."""

    def reconnect(self) -> None:
        """Replace an unresponsive connection, still counted as silent."""
        since = self.silent_since
        self.stop()
        self.start()
        self.silent_since = since

    @abstractmethod
    def send(self, messages: Iterable[HolderMessage]) -> None:
        """Send messages, if the connection is open."""

    def silent_s(self, now: float) -> float:
        """Return the seconds for which a reply has been awaited."""
        return 0.0 if self.silent_since is None else now - self.silent_since

    def expect_reply(self) -> None:
        """Record that a message was sent that expects a reply."""
        self.sent_at = self.clock()
        if self.silent_since is None:
            self.silent_since = self.sent_at

    def handle_open(self) -> None:
        """Mark the connection as open."""
        self.open = True
        self.on_open(self)

    def handle_close(self) -> None:
        """Mark the connection as lost."""
        self.open = False
        if self.silent_since is None:
            self.silent_since = self.clock()

    def handle_reply(self, reply: OwnerReply) -> None:
        """Handle a reply."""
        self.silent_since = None
        self.has_backlog = any(
            load.queued_online or load.queued_batch or not load.free_slots
            for load in reply.loads.values()
        )
        self.on_reply(self, reply)


class StreamSession(OwnerSession):
    """A long-lived stream to the owner in another process."""

    def __init__(
        self,
        me: Member,
        peer: Member,
        port: int,
        key: str,
        clock: Callable[[], float],
        on_reply: Callable[[OwnerSession, OwnerReply], None],
        on_open: Callable[[OwnerSession], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(peer.name, clock, on_reply, on_open)
        self.address = peer.address
        self._me = me
        self._port = port
        self._key = key
        self._tls = tls
        self._outbox: Outbox[HolderMessage] = Outbox()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Connect, and reconnect whenever the stream ends."""
        self.silent_since = self.clock()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Close the stream."""
        self.open = False
        if self._task is not None:
            self._task.cancel()

    def send(self, messages: Iterable[HolderMessage]) -> None:
        """Send messages, if the stream is open."""
        if self.open:
            batch = list(messages)
            self._outbox.put(batch, self.has_backlog or expects_reply(batch))
            if expects_reply(batch):
                self.expect_reply()

    async def _run(self) -> None:
        wait_s = MIN_RETRY_S
        while True:
            began = self.clock()
            try:
                await self._run_stream()
            except asyncio.CancelledError:
                raise
            except ConnectionRefusedError:
                self.silent_since = self.clock() - REFUSED_SILENCE_S
            except Exception as exc:
                LOG.info("owner lost", owner=self.owner, error=repr(exc))
            if self.open:
                wait_s = MIN_RETRY_S
            self.handle_close()
            await asyncio.sleep(max(0.0, began + wait_s - self.clock()))
            wait_s = min(MAX_RETRY_S, wait_s * 2)

    async def _run_stream(self) -> None:
        """Open a stream, and handle replies until it ends."""
        channel = Channel(self.address, self._port, ssl=self._tls or None)
        try:
            await asyncio.wait_for(channel.__connect__(), CONNECT_TIMEOUT_S)
            stub = PeerStub(channel)
            metadata = {KEY_HEADER: self._key}
            async with stub.Permits.open(metadata=metadata) as stream:
                self._outbox = Outbox()
                await stream.send_message(self._hello())
                sender = asyncio.get_running_loop().create_task(
                    self._outbox.run(
                        lambda batch: stream.send_message(_encode(batch))
                    )
                )
                try:
                    self.expect_reply()
                    self.handle_open()
                    async for reply in stream:
                        self.handle_reply(_decode(reply))
                finally:
                    sender.cancel()
        finally:
            channel.close()

    def _hello(self) -> pb.HolderBatch:
        return pb.HolderBatch(
            holder=self._me.name, incarnation=self._me.incarnation
        )


def expects_reply(batch: list[HolderMessage]) -> bool:
    """Return whether an owner replies to a batch of messages."""
    return not batch or any(isinstance(m, Ask) for m in batch)


def _encode(messages: list[HolderMessage]) -> pb.HolderBatch:
    return pb.HolderBatch(messages=[encode_holder(m) for m in messages])


def _decode(batch: pb.OwnerBatch) -> OwnerReply:
    decoded = (decode_owner(message) for message in batch.messages)
    messages = tuple(m for m in decoded if m is not None)
    return OwnerReply(messages, decode_loads(batch))


__all__ = ["OwnerSession", "StreamSession", "expects_reply"]
