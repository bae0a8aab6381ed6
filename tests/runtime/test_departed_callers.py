"""Bodies of callers that left before a thread was free."""

from __future__ import annotations

import socket
import time
from typing import Any
import unittest

from mulberrypass.runtime.http_server import HttpServer
from tests.runtime.test_callers_with_requests import (
    HEAD,
    LIMIT,
    SETTLE_S,
    TIMEOUT_S,
    WaitingApp,
)


class DepartedCallerTest(unittest.TestCase):
    """Bodies whose callers had left were held and not counted."""

    def test_body_of_a_departed_caller_is_let_go(self) -> None:
        app = WaitingApp()
        server = HttpServer(
            app, "127.0.0.1", 0, 1, 2 * LIMIT, client_bytes=LIMIT
        )
        server.start()
        self.addCleanup(server.stop, 0.0)
        self.addCleanup(app.go.set)
        at = ("127.0.0.1", server.port)
        first = socket.create_connection(at, timeout=TIMEOUT_S)
        self.addCleanup(first.close)
        first.sendall(HEAD % 1 + b"y")
        time.sleep(SETTLE_S)
        waitress: Any = server._server
        with socket.create_connection(at, timeout=TIMEOUT_S) as late:
            late.sendall(HEAD % 900_000 + b"y" * 900_000)
            time.sleep(SETTLE_S)
            channels = [
                each
                for each in waitress.active_channels.values()
                if each.holder().size
            ]
        channel = channels[-1]
        self.assertEqual(900_000, channel.holder().size)
        time.sleep(SETTLE_S)
        self.assertNotIn(channel, waitress.active_channels.values())
        # No thread is free for it, and the dispatcher keeps it.
        self.assertEqual(0, channel.holder().size)


if __name__ == "__main__":
    unittest.main()
