"""Servers that end their answers early, or whose answers have a bad head."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
import socket
import struct
import threading
import time
from typing import TYPE_CHECKING

from tests.engine.endless import HOST, LENGTH

if TYPE_CHECKING:
    from collections.abc import Iterator
    import unittest

UPLOAD_BYTES = 3_000_000
# Sizes of uploads: the kernel's buffers hold all of the smaller ones, so that
# only the larger ones are still being written when the connection ends.
UPLOADS = (200_000, 1_000_000, UPLOAD_BYTES)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Lets the client go on writing after the answer has begun.
PAUSE_S = 0.02
MAX_S = 5.0
BAD_STATUSES = (
    b"000 Nothing",
    b"099 Low",
    b"100 Continue",
    b"101 Switching Protocols",
    b"102 Processing",
    b"103 Early Hints",
    b"150 Odd",
    b"199 Odd",
    b"600 High",
    b"700 High",
    b"999 High",
    b"1000 High",
    b"-200 Negative",
    b"+200 Signed",
    b"0200 Long",
    b"2_00 Split",
    b"20 Short",
    b"2000 Long",
    b"abc Word",
    b"OK",
    b"",
)


@dataclass(frozen=True, slots=True)
class Play:
    """How a server answers and ends its connection.

    :param sent: bytes of the answer
    :param reads: whether it reads the whole request before it answers
    :param reads_on: whether it reads the rest of the request afterwards
    :param reset: whether it resets the connection
    :param half: whether it shuts its side down before it closes
    :param keeps: whether it keeps the connection for the next request
    """

    sent: bytes
    reads: bool = True
    reads_on: bool = False
    reset: bool = False
    half: bool = True
    keeps: bool = False


class PlayedServer:
    """Answers each request in the same way.

    :ivar requests: number of requests that arrived
    :ivar whole: number of those whose body arrived whole
    """

    def __init__(self, test: unittest.TestCase, play: Play) -> None:
        self._play = play
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.requests = 0
        self.whole = 0
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        test.addCleanup(thread.join)
        test.addCleanup(self._listener.close)
        test.addCleanup(self._listener.shutdown, socket.SHUT_RDWR)

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            conn.settimeout(MAX_S)
            while (left := _receive_head(conn)) is not None:
                self.requests += 1
                if self._play.reads:
                    self._read(conn, left)
                conn.sendall(self._play.sent)
                if self._play.reads_on:
                    time.sleep(PAUSE_S)
                    self._read(conn, left)
                if not self._play.keeps:
                    self._end(conn)
                    return

    def _read(self, conn: socket.socket, left: int) -> None:
        while left > 0:
            part = conn.recv(65_536)
            if not part:
                return
            left -= len(part)
        self.whole += 1

    def _end(self, conn: socket.socket) -> None:
        time.sleep(PAUSE_S)
        if self._play.reset:
            conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        elif self._play.half:
            conn.shutdown(socket.SHUT_WR)


def _receive_head(conn: socket.socket) -> int | None:
    """Receive a head; return how many bytes of its body are to come."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = conn.recv(4_096)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = LENGTH.search(head)
    return (int(length[1]) if length else 0) - len(body)


def early_ends(head: bytes, part: bytes) -> Iterator[tuple[str, Play]]:
    """Yield answers whose connection ends while the request is written.

    :param head: head of an answer without a length, with its empty line
    """
    sent = head + part
    yield "reset", Play(sent, reads=False, reset=True)
    yield "close", Play(sent, reads=False, half=False)
    yield "half-close, then close", Play(sent, reads=False)


def cut_ends(lines: bytes, part: bytes) -> Iterator[tuple[str, Play]]:
    """Yield answers that break off though the request was read.

    :param lines: lines of the head, without its empty line
    """
    yield "reset without length", Play(lines + b"\r\n" + part, reset=True)
    long = lines + b"Content-Length: %d\r\n\r\n" % (len(part) + 10) + part
    for reset in (False, True):
        yield f"length too large, reset={reset}", Play(long, reset=reset)


def short_lengths(lines: bytes, body: bytes) -> Iterator[tuple[str, Play]]:
    """Yield answers whose length is smaller than their body."""
    for less in (1, len(body) // 2, len(body)):
        size = len(body) - less
        sent = lines + b"Content-Length: %d\r\n\r\n" % size + body
        for reset in (False, True):
            yield f"length {size}, reset={reset}", Play(sent, reset=reset)


def bad_statuses(fields: bytes, body: bytes) -> Iterator[tuple[str, Play]]:
    """Yield answers whose status none may have.

    :param fields: header lines of a sound answer
    """
    framings = (b"", b"Content-Length: %d\r\n" % len(body))
    for status in BAD_STATUSES:
        for framing in framings:
            sent = b"HTTP/1.1 %s\r\n" % status + fields + framing
            sent += b"\r\n" + body
            for reset in (False, True):
                name = f"{status!r} {framing!r} reset={reset}"
                yield name, Play(sent, reset=reset)


__all__ = [
    "BAD_STATUSES",
    "Play",
    "PlayedServer",
    "UPLOADS",
    "UPLOAD_BYTES",
    "bad_statuses",
    "cut_ends",
    "early_ends",
    "short_lengths",
]
