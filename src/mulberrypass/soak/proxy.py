"""Links on loopback that can be cut, delayed and reset."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.platform.site import HostPort

CHUNK_BYTES = 65_536
SLOW_S = 0.15


class LinkState(enum.Enum):
    """What a link does with what is sent over it.

    ``CUT`` holds bytes both ways until it is mended; ``DEAF`` drops what
    comes back, and connections of that time stay silent for good.
    """

    OPEN = enum.auto()
    SLOW = enum.auto()
    CUT = enum.auto()
    DEAF = enum.auto()


@dataclass(eq=False)
class _Pair:
    """One connection through a link."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    deaf: bool = False

    def reset(self) -> None:
        for writer in (self.near, self.far):
            with contextlib.suppress(OSError):
                writer.transport.abort()


@dataclass(eq=False)
class Link:
    """Passes connections at one address on to another.

    Its state is set from any thread; all else is done on the loop.
    """

    loop: LoopThread
    at: HostPort
    to: HostPort
    _state: LinkState = LinkState.OPEN
    _pairs: set[_Pair] = field(default_factory=set)
    _mended: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    def start(self) -> None:
        """Listen."""
        self.loop.submit(self._start()).result()

    def stop(self) -> None:
        """Listen no more, and end all connections."""
        self.loop.submit(self._stop()).result()

    def set(self, state: LinkState) -> None:
        """Set what the link does."""
        self.loop.call(self._set, state)

    def reset(self) -> None:
        """Reset all connections."""
        self.loop.call(self._reset)

    async def _start(self) -> None:
        self._mended.set()
        self._server = await asyncio.start_server(
            self._serve, self.at.host, self.at.port
        )

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self._reset()

    def _set(self, state: LinkState) -> None:
        self._state = state
        if state is LinkState.CUT:
            self._mended.clear()
        else:
            self._mended.set()
        if state is LinkState.DEAF:
            for pair in self._pairs:
                pair.deaf = True

    def _reset(self) -> None:
        for pair in tuple(self._pairs):
            pair.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._mended.wait()
        try:
            far_reader, far = await asyncio.open_connection(
                self.to.host, self.to.port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, far, self._state is LinkState.DEAF)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far, pair, False),
                self._pump(far_reader, writer, pair, True),
            )
        finally:
            self._pairs.discard(pair)
            pair.reset()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _Pair,
        back: bool,
    ) -> None:
        """Pass bytes on in one direction until they end."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._mended.wait()
                if self._state is LinkState.SLOW:
                    await asyncio.sleep(SLOW_S)
                if back and pair.deaf:
                    continue
                writer.write(data)
                await writer.drain()
            await self._mended.wait()
            if not (back and pair.deaf):
                writer.write_eof()
        except OSError:
            pair.reset()


__all__ = ["Link", "LinkState"]
