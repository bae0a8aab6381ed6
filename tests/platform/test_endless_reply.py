"""Tests of calls to a store whose bytes never end."""

from __future__ import annotations

from dataclasses import replace
import time
import unittest
from unittest.mock import patch

from mulberrypass.platform import http_client
from mulberrypass.platform.http_client import Endpoint, HttpClient
from tests.engine.endless import (
    CHUNKED,
    NO_LENGTH,
    OK_HEAD,
    Bytes,
    EndlessServer,
)

HEAD_S = 0.1
TRANSFER_S = 0.1
SLACK_S = 0.2
FAST_S = 1.5
TRICKLE_S = 0.02
CASES = {
    "no line end": Bytes(b"", b"x"),
    "interim heads": Bytes(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header without end": Bytes(OK_HEAD + b"X-A: ", b"b"),
    "trailers": Bytes(CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "body without length": Bytes(NO_LENGTH, b"x"),
}


class EndlessReplyTest(unittest.TestCase):
    """Replies that don't end held a thread without a bound."""

    def assert_ends(self, sent: Bytes, limit_s: float) -> None:
        server = EndlessServer(self, sent)
        host, _, port = server.address.rpartition(":")
        client = HttpClient(Endpoint(host, int(port), read_timeout_s=HEAD_S))
        self.addCleanup(client.close)
        started = time.monotonic()
        called = client.call("POST", "/rows-tx", b"{}")
        self.assertLess(time.monotonic() - started, limit_s)
        self.assertTrue(called.error.maybe_applied)
        self.assertTrue(server.closed.wait(0.5))

    def test_trickle_ends_at_the_time_out(self) -> None:
        for name, sent in CASES.items():
            with (
                self.subTest(name),
                patch.object(http_client, "MAX_TRANSFER_S", TRANSFER_S),
            ):
                self.assert_ends(
                    replace(sent, pause_s=TRICKLE_S),
                    HEAD_S + TRANSFER_S + SLACK_S,
                )

    def test_flood_ends_at_a_size(self) -> None:
        for name, sent in CASES.items():
            with self.subTest(name):
                self.assert_ends(sent, FAST_S)

    def test_declared_size_takes_no_memory(self) -> None:
        for head in (
            OK_HEAD + b"Content-Length: 99999999999999\r\n\r\n",
            CHUNKED + b"fffffffffff\r\n",
        ):
            with self.subTest(head):
                self.assert_ends(Bytes(head, b"x"), FAST_S)


if __name__ == "__main__":
    unittest.main()
