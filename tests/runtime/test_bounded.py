"""Tests of chunks that aren't as long as they say."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import unittest

from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.runtime.bounded import (
    MAX_FRAMING_BYTES,
    BoundedResponse,
    OversizeError,
    ReadBound,
)
from tests.engine.endless import CHUNKED, AnsweringServer

DEADLINE_S = 2.0
LIMIT = 1_000
LAST = b"0\r\n\r\n"
FIRST = b"5\r\nid: 1\r\n"
SOUND = {
    "chunks": FIRST + b"3\r\nabc\r\n" + LAST,
    "size in capitals": FIRST + b"0003\r\nabc\r\n" + LAST,
    "extension": FIRST + b"3;a=b\r\nabc\r\n" + LAST,
    "space": FIRST + b"3 \r\nabc\r\n" + LAST,
}
WRONG = {
    "too long": b"a\r\nid: 1\r\n" + b"3\r\nabc\r\n" + LAST,
    "as long as the next": b"e\r\nid: 1\r\n"
    + b"3\r\nabc\r\n1\r\nx\r\n"
    + LAST,
    "too short": b"3\r\nid: 1\r\n" + b"3\r\nabc\r\n" + LAST,
    "too short before a size": b"1\r\nab\r\n" + b"3\r\nabc\r\n" + LAST,
    "too short by a size": b"1\r\nxab3\r\nabc\r\n" + LAST,
    "negative": FIRST + b"-3\r\nabc\r\n" + LAST,
    "sign": FIRST + b"+3\r\nabc\r\n" + LAST,
    "prefix": FIRST + b"0x3\r\nabc\r\n" + LAST,
    "underscore": FIRST + b"0_3\r\nabc\r\n" + LAST,
    "no size": FIRST + b"\r\nabc\r\n" + LAST,
}


class WrongChunkTest(unittest.TestCase):
    """The sizes of chunks became a part of the body, or a part was lost."""

    def read(self, chunks: bytes) -> bytes:
        server = AnsweringServer(self, CHUNKED + chunks, close=True)
        pool = ConnectionPool(server.address)
        deadline = Deadline.after(DEADLINE_S)
        exchange = pool.open(deadline, "r1")
        try:
            exchange.send("POST", "/", b"", deadline)
            return exchange.read_whole(LIMIT, deadline)
        finally:
            exchange.close()

    def test_chunks_of_their_size(self) -> None:
        for name, chunks in SOUND.items():
            with self.subTest(name):
                self.assertEqual(b"id: 1abc", self.read(chunks))

    def test_chunk_of_another_size_is_no_end(self) -> None:
        for name, chunks in WRONG.items():
            with self.subTest(name), self.assertRaises(WireError):
                self.read(chunks)


if __name__ == "__main__":
    unittest.main()


class TrailersTest(unittest.TestCase):
    """Trailers without an end took as many bytes as a body may have."""

    def test_they_end_at_the_size_of_a_head(self) -> None:
        near, far = socket.socketpair()
        self.addCleanup(near.close)

        def flood() -> None:
            with far, contextlib.suppress(OSError):
                far.sendall(CHUNKED + LAST[:3])
                while True:
                    far.sendall(b"X-A: b\r\n" * 1_000)

        writer = threading.Thread(target=flood)
        writer.start()
        self.addCleanup(writer.join)
        self.addCleanup(near.shutdown, socket.SHUT_RDWR)
        bound = ReadBound()
        bound.allow(time.monotonic() + DEADLINE_S, 100 * MAX_FRAMING_BYTES)
        resp = BoundedResponse(near, bound=bound)
        self.addCleanup(resp.close)
        resp.begin()
        with self.assertRaises(OversizeError):
            resp.read()
        # With what had come in the same reads as the head.
        self.assertLessEqual(bound.received, 2 * MAX_FRAMING_BYTES)
