"""Reads HTTP answers within bounds of time and size."""

from __future__ import annotations

from functools import partial
import http.client
import io
import re
import time
from typing import TYPE_CHECKING, Any, cast

from mulberrypass.runtime.framing import check_framing
from mulberrypass.runtime.peer_end import (
    check_closed,
    may_begin_answer,
    received_beyond,
)

if TYPE_CHECKING:
    import socket

# Bytes of a head with its interim heads, or of the chunk sizes and trailers
# around a part of a body: as many as http.client accepts in one line.
MAX_FRAMING_BYTES = 65_536
# ``http.client`` takes whatever ``int`` does, as a sign, and any number from
# 100 to 999. No final answer has a status below 200.
STATUS_LINE = re.compile(
    rb"(HTTP/1\.[01]) +(100|[2-5][0-9]{2})(?:[ \t]+([^\r\n]*))?\r?\n"
)
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")
CHUNK_END = b"\r\n"
MAX_SHOWN_BYTES = 80
READ_BYTES = 65_536


class OversizeError(http.client.HTTPException):
    """More bytes arrived than the answer may have at this point."""


class ReadBound:
    """Bounds all reads of one answer, however its bytes are spread.

    :ivar request_bytes: size of the body of the request
    :ivar received: number of bytes received
    :ivar surplus: whether bytes arrived after the end of the answer
    """

    def __init__(self) -> None:
        self.request_bytes = 0
        self.received = 0
        self.surplus = False
        self._until = 0.0
        self._silence_s = 0.0
        self._allowed = 0
        self._may_end = False
        self._ended = False

    def end(self) -> None:
        """Receive nothing more."""
        self._ended = True

    def allow(
        self,
        until: float,
        size: int,
        may_end: bool = False,
        silence_s: float = float("inf"),
    ) -> None:
        """Set the bounds of the next reads.

        :param until: when they must have ended, on the monotonic clock
        :param size: number of bytes that they may receive
        :param may_end: whether the peer may close the connection now
        :param silence_s: longest wait for a byte
        """
        self._until = until
        self._allowed = size
        self._may_end = may_end
        self._silence_s = silence_s

    def narrow(self, size: int) -> None:
        """Let the next reads receive no more than so many bytes."""
        self._allowed = min(self._allowed, size)

    def read_into(
        self, source: io.RawIOBase, sock: socket.socket, buffer: memoryview
    ) -> int:
        """Receive some bytes.

        :raises TimeoutError: if the time has passed
        :raises OversizeError: if all allowed bytes were received before
        :raises RemoteDisconnected: if the answer ends too early
        :raises ConnectionResetError: if it was broken off
        """
        if self._ended:
            return 0
        left_s = min(self._until - time.monotonic(), self._silence_s)
        if left_s <= 0:
            raise TimeoutError("timed out")
        if self._allowed <= 0:
            raise OversizeError("bytes without an end")
        sock.settimeout(left_s)
        count: int = source.readinto(buffer[: self._allowed]) or 0
        if not count and not self._may_end:
            raise http.client.RemoteDisconnected("an answer ended early")
        if not count:
            left_s = self._until - time.monotonic()
            check_closed(sock, self.request_bytes, left_s)
        self.received += count
        self._allowed -= count
        return count


class _BoundedSource(io.RawIOBase):
    """The bytes of a socket, within a bound."""

    def __init__(
        self, source: io.RawIOBase, sock: socket.socket, bound: ReadBound
    ) -> None:
        self._source = source
        self._sock = sock
        self._bound = bound

    def readable(self) -> bool:
        """Return that it can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Receive some bytes; see ``ReadBound``."""
        return self._bound.read_into(
            self._source, self._sock, memoryview(buffer)
        )

    def close(self) -> None:
        """Release the socket."""
        self._source.close()
        super().close()


class _BoundedReader(io.BufferedReader):
    """Notices bytes that were received but not read."""

    def __init__(self, source: _BoundedSource, bound: ReadBound) -> None:
        super().__init__(source)
        self._bound = bound

    def surplus(self) -> bytes:
        """Receive nothing more; return what was received but not read."""
        self._bound.end()
        return self.peek()

    def close(self) -> None:
        """Release the socket."""
        if not self.closed:
            self._bound.surplus = bool(self.surplus())
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """An answer whose reads a bound limits."""

    def __init__(
        self, sock: socket.socket, *args: Any, bound: ReadBound, **kwargs: Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        source = _BoundedSource(self.fp.detach(), sock, bound)
        self.fp = self._reader = _BoundedReader(source, bound)
        self._bound = bound
        self._sock = sock

    def read1(self, n: int = -1) -> bytes:
        """Read the next part of the body; see ``HTTPResponse``.

        :raises HTTPException: if the body is longer than its length, as far
            as it has arrived
        """
        data = super().read1(n)
        if not data and n and self._is_at_length():
            more = self._reader.surplus() or received_beyond(self._sock)
            if not may_begin_answer(more):
                raise http.client.HTTPException("a body beyond its length")
        return data

    def _is_at_length(self) -> bool:
        """Return whether all bytes were read that the length names."""
        is_open = self.fp is not None and not self.chunked
        method = cast("Any", self)._method
        return is_open and self.length == 0 and method != "HEAD"

    def _read_status(self) -> tuple[str, int, str]:
        """Read the first line of a head.

        :raises HTTPException: if it is that of no answer
        """
        line = self.fp.readline(MAX_FRAMING_BYTES)
        found = STATUS_LINE.fullmatch(line)
        if found is None:
            cast("Any", self)._close_conn()
            raise http.client.BadStatusLine(repr(line[:MAX_SHOWN_BYTES]))
        version, status, reason = found.groups(b"")
        return version.decode(), int(status), reason.decode("latin-1").strip()

    def _read_and_discard_trailer(self) -> None:
        """Read the trailers, which have no share in the bound of the body.

        :raises OversizeError: if they are longer than a head may be
        """
        self._bound.narrow(MAX_FRAMING_BYTES)
        cast("Any", super())._read_and_discard_trailer()

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of a chunk; ``None`` after the last one.

        ``http.client`` skips the two bytes after a chunk, whatever they are.

        :raises HTTPException: if the size of the last chunk was wrong
        """
        if self.chunk_left == 0:
            if self.fp.read(len(CHUNK_END)) != CHUNK_END:
                raise http.client.HTTPException("a chunk of another size")
            self.chunk_left = None
        left: int | None = cast("Any", super())._get_chunk_left()
        return left

    def _read_next_chunk_size(self) -> int:
        """Read the size of a chunk.

        ``http.client`` takes whatever ``int`` does, as a sign.

        :raises HTTPException: if it can't be read
        """
        line = self.fp.readline(MAX_FRAMING_BYTES)
        size = line.partition(b";")[0].strip()
        if not line.endswith(b"\n") or not CHUNK_SIZE.fullmatch(size):
            raise http.client.HTTPException("an unreadable chunk size")
        return int(size, 16)


def bind(conn: http.client.HTTPConnection, bound: ReadBound) -> None:
    """Bound the next answer on a connection."""
    cast("Any", conn).response_class = partial(BoundedResponse, bound=bound)


def read_answer(
    conn: http.client.HTTPConnection, silence_s: float, limit: int
) -> tuple[int, bytes]:
    """Read the answer to the request that was sent on a connection.

    :param silence_s: longest wait for a byte
    :param limit: most bytes of the body
    :returns: status and body
    :raises OSError, HTTPException: if it isn't whole, or too large
    """
    bound = ReadBound()
    bound.allow(float("inf"), MAX_FRAMING_BYTES, silence_s=silence_s)
    bind(conn, bound)
    resp = conn.getresponse()
    check_framing(resp.headers)
    size = limit + MAX_FRAMING_BYTES
    bound.allow(float("inf"), size, not resp.chunked, silence_s)
    parts = []
    with resp:
        while part := resp.read1(READ_BYTES):
            parts.append(part)
        if resp.length:
            raise http.client.IncompleteRead(b"", resp.length)
    return resp.status, b"".join(parts)


__all__ = [
    "BoundedResponse",
    "MAX_FRAMING_BYTES",
    "OversizeError",
    "ReadBound",
    "bind",
    "read_answer",
]
