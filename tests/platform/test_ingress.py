"""Tests of how answers of the relay are sent to callers."""

from __future__ import annotations

import http.client
import socket
from typing import TYPE_CHECKING
import unittest

from mulberrypass.platform.ingress import FrontApp
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    Relay,
    TruncatedAnswerError,
)
from mulberrypass.runtime.http_server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from mulberrypass.relay.api import RelayEvent, RelayRequest

TIMEOUT_S = 5.0
BODY = b"the answer"
HEADERS = (("Content-Type", "text/plain"),)


class ScriptedRelay(Relay):
    """Answers with events of a list, then ends or breaks off."""

    def __init__(self) -> None:
        self.events: list[RelayEvent] = []
        self.breaks_off = False

    def run(
        self, _req: RelayRequest, _disconnected: Callable[[], bool]
    ) -> Generator[RelayEvent, None, None]:
        """Answer; see ``Relay``."""
        yield from self.events
        if self.breaks_off:
            raise TruncatedAnswerError("cut")


class AnswerInDoubtTest(unittest.TestCase):
    """Callers got a length or chunks for an answer that came without."""

    def setUp(self) -> None:
        self.relay = ScriptedRelay()
        app = FrontApp(self.relay, lambda _req: None)
        self.server = HttpServer(app, "127.0.0.1", 0, 2, 1_000)
        self.server.start()
        self.addCleanup(self.server.stop, 0.0)

    def answer(
        self, length: int | None, unframed: bool
    ) -> tuple[http.client.HTTPResponse, bytes]:
        """Return the response to a request, and its body."""
        self.relay.events = [
            AnswerHead(200, HEADERS, length, ends_with_connection=unframed),
            AnswerBody(BODY),
        ]
        at = ("127.0.0.1", self.server.port)
        with socket.create_connection(at, TIMEOUT_S) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            resp = http.client.HTTPResponse(sock)
            resp.begin()
            return resp, resp.read()

    def test_only_the_connection_ends_it(self) -> None:
        for length in (None, len(BODY)):
            with self.subTest(length=length):
                resp, body = self.answer(length, unframed=True)
                self.assertEqual(BODY, body)
                self.assertIsNone(resp.getheader("Content-Length"))
                self.assertFalse(resp.chunked)
                self.assertEqual("close", resp.getheader("Connection"))

    def test_cut_answer_ends_with_a_reset(self) -> None:
        self.relay.breaks_off = True
        for length in (None, len(BODY)):
            with (
                self.subTest(length=length),
                self.assertRaises(ConnectionResetError),
            ):
                self.answer(length, unframed=True)

    def test_other_answers_name_their_end(self) -> None:
        resp, body = self.answer(len(BODY), unframed=False)
        self.assertEqual(str(len(BODY)), resp.getheader("Content-Length"))
        self.assertEqual(BODY, body)
        resp, body = self.answer(None, unframed=False)
        self.assertTrue(resp.chunked)
        self.assertEqual(BODY, body)


if __name__ == "__main__":
    unittest.main()
