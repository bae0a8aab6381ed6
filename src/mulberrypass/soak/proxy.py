"""Loopback TCP proxy that partitions, delays and resets connections."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
import enum
from typing import TYPE_CHECKING

from mulberrypass.runtime.sockets import reset_on_close

if TYPE_CHECKING:
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.platform.site import HostPort

CHUNK_BYTES = 65_536
SLOW_DELAY_S = 0.15


class LinkState(enum.Enum):
    """How a link treats the bytes sent over it.

    ``PARTITIONED`` holds back bytes in both directions until the state
    changes. ``DROP_REPLIES`` drops bytes from the target. Connections that
    exist or open in this state keep dropping them until they close, even if
    the state changes.
    """

    OPEN = enum.auto()
    SLOW = enum.auto()
    PARTITIONED = enum.auto()
    DROP_REPLIES = enum.auto()


@dataclass(eq=False)
class _Connection:
    """A client connection and its upstream connection."""

    client: asyncio.StreamWriter
    upstream: asyncio.StreamWriter
    drop_replies: bool = False

    def reset(self) -> None:
        for writer in (self.client, self.upstream):
            _reset(writer)

    def close(self) -> None:
        for writer in (self.client, self.upstream):
            with contextlib.suppress(OSError):
                writer.close()


@dataclass(eq=False)
class Link:
    """Proxies connections from one address to another.

    ``set`` and ``reset`` may be called on any thread; connections are
    handled on the loop's thread.
    """

    loop: LoopThread
    address: HostPort
    target: HostPort
    _state: LinkState = LinkState.OPEN
    _connections: set[_Connection] = field(default_factory=set)
    _unblocked: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    def start(self) -> None:
        """Start listening."""
        self.loop.submit(self._start()).result()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.loop.submit(self._stop()).result()

    def set(self, state: LinkState) -> None:
        """Set the state of the link."""
        self.loop.call(self._set, state)

    def reset(self) -> None:
        """Reset all connections."""
        self.loop.call(self._reset)

    async def _start(self) -> None:
        self._unblocked.set()
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self._reset()

    def _set(self, state: LinkState) -> None:
        self._state = state
        if state is LinkState.PARTITIONED:
            self._unblocked.clear()
        else:
            self._unblocked.set()
        if state is LinkState.DROP_REPLIES:
            for conn in self._connections:
                conn.drop_replies = True

    def _reset(self) -> None:
        for conn in tuple(self._connections):
            conn.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._unblocked.wait()
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                self.target.host, self.target.port
            )
        except OSError:
            _reset(writer)
            return
        conn = _Connection(
            writer, upstream, self._state is LinkState.DROP_REPLIES
        )
        self._connections.add(conn)
        try:
            await asyncio.gather(
                self._forward(reader, upstream, conn, False),
                self._forward(upstream_reader, writer, conn, True),
            )
        finally:
            self._connections.discard(conn)
            conn.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conn: _Connection,
        is_reply: bool,
    ) -> None:
        """Forward bytes in one direction until end of file."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._unblocked.wait()
                if self._state is LinkState.SLOW:
                    await asyncio.sleep(SLOW_DELAY_S)
                if is_reply and conn.drop_replies:
                    continue
                writer.write(data)
                await writer.drain()
            await self._unblocked.wait()
            if not (is_reply and conn.drop_replies):
                writer.write_eof()
        except OSError:
            conn.reset()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without it, an abort may end it like a close."""
    with contextlib.suppress(OSError):
        reset_on_close(writer.get_extra_info("socket"))
        writer.transport.abort()


__all__ = ["Link", "LinkState"]
