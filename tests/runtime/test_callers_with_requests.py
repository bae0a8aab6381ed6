"""Callers whose requests are answered while too many bytes are held."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.runtime.http import ClosingChunks
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Iterable

TIMEOUT_S = 10.0
SETTLE_S = 1.5
POLL_S = 0.02
LIMIT = 1_000_000
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class WaitingApp(CallCounter):
    """Answers once it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.go = threading.Event()

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request."""
        self.enter()
        environ["wsgi.input"].read()
        self.go.wait(TIMEOUT_S)
        start_response("200 OK", [("Content-Length", "1")])
        return ClosingChunks(iter((b"x",)), self.leave)


class RunningRequestTest(unittest.TestCase):
    """A request that ran was cut as its caller had begun the next one."""

    def setUp(self) -> None:
        self.app = WaitingApp()
        self.server = HttpServer(
            self.app, "127.0.0.1", 0, 2, 2 * LIMIT, client_bytes=LIMIT
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0.0)
        self.addCleanup(self.app.go.set)

    def connect(self) -> socket.socket:
        """Return a connection to the server."""
        at = ("127.0.0.1", self.server.port)
        sock = socket.create_connection(at, timeout=TIMEOUT_S)
        self.addCleanup(sock.close)
        return sock

    def test_arriving_body_ends_and_not_the_running_request(self) -> None:
        running = self.connect()
        running.sendall(HEAD % 700_000 + b"y" * 700_000)
        end = time.monotonic() + TIMEOUT_S
        while not self.app.in_flight and time.monotonic() < end:
            time.sleep(POLL_S)
        running.sendall(HEAD % 100 + b"y")
        arriving = self.connect()
        arriving.sendall(HEAD % 900_000 + b"y" * 500_000)
        time.sleep(SETTLE_S)
        self.app.go.set()
        self.assertEqual(b"HTTP/1.1 200", running.recv(12))


if __name__ == "__main__":
    unittest.main()
