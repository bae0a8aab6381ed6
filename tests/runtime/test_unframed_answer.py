"""Tests of streamed answers to callers that know no chunks."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.runtime.http import ClosingChunks
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

TIMEOUT_S = 5.0
PART = b"id: 1\ndata: a\n\n"
# Until a caller has read the part.
READ_S = 0.1


class StreamApp(CallCounter):
    """Streams a part of an answer."""

    def __init__(self) -> None:
        super().__init__()
        self.breaks_off = False

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request."""
        self.enter()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return ClosingChunks(self._parts(), self.leave)

    def _parts(self) -> Iterator[bytes]:
        yield PART
        time.sleep(READ_S)
        if self.breaks_off:
            raise ConnectionAbortedError("the answer is cut")


class CutUnframedAnswerTest(unittest.TestCase):
    """A stream that was cut looked complete to a caller without chunks."""

    def setUp(self) -> None:
        self.app = StreamApp()
        self.server = HttpServer(self.app, "127.0.0.1", 0, 2, 1_000)
        self.server.start()
        self.addCleanup(self.server.stop, 0.0)

    def read(self, version: bytes) -> bytes:
        at = ("127.0.0.1", self.server.port)
        with socket.create_connection(at, TIMEOUT_S) as sock:
            sock.sendall(
                b"GET / HTTP/%s\r\nHost: a\r\nConnection: close\r\n\r\n"
                % version
            )
            parts = []
            while data := sock.recv(65_536):
                parts.append(data)
        return b"".join(parts).partition(b"\r\n\r\n")[2]

    def test_cut_stream_ends_with_a_reset(self) -> None:
        self.app.breaks_off = True
        with self.assertRaises(ConnectionResetError):
            self.read(b"1.0")

    def test_whole_stream_ends_with_its_connection(self) -> None:
        self.assertEqual(PART, self.read(b"1.0"))

    def test_cut_stream_of_chunks_lacks_the_last_one(self) -> None:
        self.app.breaks_off = True
        body = self.read(b"1.1")
        self.assertIn(PART, body)
        self.assertFalse(body.endswith(b"0\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()
