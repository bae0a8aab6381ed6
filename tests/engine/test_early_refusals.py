"""Tests of refusals that come while a long request is being written."""

from __future__ import annotations

import unittest

from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import MAX_ERROR_BYTES, Deadline, WireError
from tests.engine.played import Play, PlayedServer
from tests.engine.played_calls import DEADLINE_S

# More than the buffers of the kernel hold, so that a write fails.
LONG_BYTES = 16_000_000
TEXT = b'{"code": "full", "ran": "no"}'
LENGTH = b"Content-Length: %d\r\n\r\n" % len(TEXT)
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\n"


class EarlyRefusalTest(unittest.TestCase):
    """The refusal of a request that was still being written was lost.

    It was not known then that the request had not run.
    """

    def exchanged(self, play: Play) -> tuple[int, bytes]:
        server = PlayedServer(self, play)
        pool = ConnectionPool(server.address)
        self.addCleanup(pool.close)
        deadline = Deadline.after(DEADLINE_S)
        exchange = pool.open(deadline, "r1")
        try:
            exchange.send("POST", "/", b"x" * LONG_BYTES, deadline)
            answer = exchange.read_whole(MAX_ERROR_BYTES, deadline)
            return exchange.status, answer
        finally:
            exchange.finish()
            self.assertIsNone(pool.take_idle())

    def test_whole_refusal_counts(self) -> None:
        sent = REFUSED + LENGTH + TEXT
        for half in (False, True):
            with self.subTest(half):
                play = Play(sent, reads=False, half=half)
                self.assertEqual((503, TEXT), self.exchanged(play))

    def test_other_answers_dont(self) -> None:
        ok = b"HTTP/1.1 200 OK\r\n"
        for sent in (
            ok + LENGTH + TEXT,
            ok + b"\r\n" + TEXT,
            REFUSED + b"\r\n" + TEXT,
            REFUSED + LENGTH + TEXT[:5],
            REFUSED + LENGTH[:12],
            b"HTTP/1.1 600 High\r\n" + LENGTH + TEXT,
        ):
            for reset in (False, True):
                with self.subTest(sent, reset=reset):
                    play = Play(sent, reads=False, half=False, reset=reset)
                    with self.assertRaises(WireError):
                        self.exchanged(play)


if __name__ == "__main__":
    unittest.main()
