"""Tests of engines that stop at the deadline that they were given."""

from __future__ import annotations

import time
import unittest

from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from tests.engine.endless import CHUNKED, NO_LENGTH, AnsweringServer
from tests.relay.fakes import engine, event, request

WAIT_S = 0.3
LONG_S = 5.0
# Engines are given whole milliseconds, rounded down.
EARLY_S = 0.001
EVENT = event(1)


class StoppedAtDeadlineTest(unittest.TestCase):
    """A stream that its engine stopped at the deadline looked complete."""

    def read(self, answer: bytes, wait_s: float) -> bytes:
        """Read an answer that ends just before a deadline of 0.3 s."""
        server = AnsweringServer(self, answer, close=True)
        client = HttpEngineClient()
        self.addCleanup(client.retain, frozenset())
        ends_at = time.monotonic() + WAIT_S - EARLY_S
        req = request(headers=((REQUEST_ID, "r1"),))
        received = client.send(
            engine("e1", address=server.address),
            req,
            Deadline.after(wait_s),
            lambda _abort: None,
            Deadline.after(wait_s),
        )
        self.addCleanup(received.finish)
        body = received.read_some(Deadline.after(LONG_S))
        time.sleep(max(0.0, ends_at - time.monotonic()))
        while data := received.read_some(Deadline.after(LONG_S)):
            body += data
        return body

    def test_stream_that_ends_at_its_deadline(self) -> None:
        with self.assertRaises(WireError):
            self.read(NO_LENGTH + EVENT, WAIT_S)

    def test_stream_that_ends_before(self) -> None:
        self.assertEqual(EVENT, self.read(NO_LENGTH + EVENT, LONG_S))

    def test_framed_stream_that_ends_at_its_deadline(self) -> None:
        size = b"%x\r\n" % len(EVENT)
        answer = CHUNKED + size + EVENT + b"\r\n0\r\n\r\n"
        self.assertEqual(EVENT, self.read(answer, WAIT_S))


if __name__ == "__main__":
    unittest.main()
