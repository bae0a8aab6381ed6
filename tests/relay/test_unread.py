"""Tests of refusals that aren't whole."""

from __future__ import annotations

import time
import unittest

from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.relay.unread import skip_rest
from tests.engine.endless import AnsweringServer
from tests.relay.fakes import engine, request

DEADLINE_S = 2.0
# An end that the server sends has arrived by then.
CLOSE_S = 0.02
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"X-Mulberrypass-Request-Id: %s\r\n"
    b"X-Mulberrypass-Not-Run: 1\r\n"
)
LENGTH = b"Content-Length: 4\r\n\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
# The rest of a refusal, and whether its connection may be used again.
RESTS = {
    "whole": (LENGTH + b"full", True),
    "whole, in chunks": (CHUNKS + b"4\r\nfull\r\n0\r\n\r\n", True),
    "whole, twice": ((LENGTH + b"full") + REFUSAL + LENGTH + b"full", False),
    "cut short": (LENGTH + b"fu", False),
    "cut after its head": (LENGTH, False),
    "cut in its chunks": (CHUNKS + b"4\r\nfu", False),
    "cut before its last chunk": (CHUNKS + b"4\r\nfull\r\n", False),
    "wrong chunk": (CHUNKS + b"3\r\nfull\r\n0\r\n\r\n", False),
    "no length": (b"\r\nfull", False),
    "no length, twice": (b"\r\nfull" + REFUSAL + LENGTH + b"full", False),
}


class CutRefusalTest(unittest.TestCase):
    """The head of a refusal is all that says that nothing ran."""

    def test_refusal_says_not_run_whatever_its_body(self) -> None:
        for close in (True, False):
            for name, (rest, whole) in RESTS.items():
                with self.subTest(name, close=close):
                    sent = (REFUSAL + rest).replace(b"%s", b"r1")
                    self.assert_refused(sent, close, whole and not close)

    def assert_refused(self, sent: bytes, close: bool, kept: bool) -> None:
        server = AnsweringServer(self, sent, close=close)
        client = HttpEngineClient()
        self.addCleanup(client.retain, frozenset())
        to = engine("e1", address=server.address)
        deadline = Deadline.after(DEADLINE_S)
        answer = client.send(
            to, request(), deadline, lambda _abort: None, deadline
        )
        self.assertTrue(answer.head.not_run)
        self.assertTrue(skip_rest(answer, deadline))
        answer.finish()
        time.sleep(CLOSE_S)
        idle = client._pool(to).take_idle("r2")
        self.assertEqual(kept, idle is not None)
        if idle is not None:
            idle.close()

    def test_head_cut_short_is_no_refusal(self) -> None:
        """See also tests.engine.test_endless_bytes.PartOfAnswerTest."""
        sent = REFUSAL.replace(b"%s", b"r1")
        for size in range(1, len(sent)):
            server = AnsweringServer(self, sent[:size], close=True)
            client = HttpEngineClient()
            deadline = Deadline.after(DEADLINE_S)
            to = engine("e1", address=server.address)
            with self.subTest(size), self.assertRaises(WireError):
                client.send(
                    to, request(), deadline, lambda _abort: None, deadline
                )


if __name__ == "__main__":
    unittest.main()
