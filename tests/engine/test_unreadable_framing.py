"""Tests of answers whose head doesn't tell where their body ends."""

from __future__ import annotations

import unittest

from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import Deadline, WireError
from tests.engine.endless import OK_HEAD, AnsweringServer

DEADLINE_S = 2.0
BODY = b"3\r\nabc\r\n0\r\n\r\n"
UNREADABLE = {
    "length is no number": b"Content-Length: abc\r\n",
    "length is negative": b"Content-Length: -3\r\n",
    "length with a sign": b"Content-Length: +3\r\n",
    "empty length": b"Content-Length: \r\n",
    "two lengths": b"Content-Length: 3\r\nContent-Length: 5\r\n",
    "two lengths in one": b"Content-Length: 3, 5\r\n",
    "coded chunks": b"Transfer-Encoding: gzip, chunked\r\n",
    "unknown coding": b"Transfer-Encoding: identity\r\n",
    "two codings": (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"
    ),
}
SIZED = b"Content-Length: %d\r\n" % len(BODY)
READABLE = {
    "length": (SIZED, BODY),
    "length and a space": (SIZED[:-2] + b" \r\n", BODY),
    "same length twice": (SIZED * 2, BODY),
    "chunks": (b"Transfer-Encoding: Chunked\r\n", b"abc"),
    "chunks with a length": (
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        b"abc",
    ),
    "end of the connection": (b"", BODY),
}


class HeadCase(unittest.TestCase):
    """Reads an answer with some lines in its head."""

    def read(self, lines: bytes) -> bytes:
        answer = OK_HEAD + lines + b"\r\n" + BODY
        server = AnsweringServer(self, answer, close=True)
        pool = ConnectionPool(server.address)
        deadline = Deadline.after(DEADLINE_S)
        exchange = pool.open(deadline, "r1")
        try:
            exchange.send("POST", "/", b"", deadline)
            return exchange.read_whole(1_000, deadline)
        finally:
            exchange.close()


class UnreadableFramingTest(HeadCase):
    """Such an answer was taken to end with its connection.

    The sizes of its chunks, or a part of its body, passed for the body.
    """

    def test_unreadable_framing_is_no_answer(self) -> None:
        for name, lines in UNREADABLE.items():
            with self.subTest(name), self.assertRaises(WireError):
                self.read(lines)

    def test_readable_framing(self) -> None:
        for name, (lines, body) in READABLE.items():
            with self.subTest(name):
                self.assertEqual(body, self.read(lines))


class BrokenHeadTest(HeadCase):
    """The lines after one that is no header were dropped, unlike its body.

    The answer then seemed to end with its connection.
    """

    def test_broken_line_is_no_answer(self) -> None:
        chunked = b"Transfer-Encoding: chunked\r\n"
        for line in (b"garbled", b"HTTP/1.1 200 OK", b"id r1"):
            with self.subTest(line), self.assertRaises(WireError):
                self.read(line + b"\r\n" + chunked)

    def test_type_of_many_parts_is_readable(self) -> None:
        lines = b"Content-Type: multipart/mixed\r\n" + SIZED
        self.assertEqual(BODY, self.read(lines))


if __name__ == "__main__":
    unittest.main()
