"""Tests of engines that don't accept connections."""

from __future__ import annotations

import contextlib
import socket
import time
import unittest

from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.platform.engines import HttpEngineClient
from tests.relay.fakes import engine, request


class ConnectTest(unittest.TestCase):
    """A machine that was cut off held a request for the whole second."""

    def test_connecting_ends_at_its_time_out(self) -> None:
        with contextlib.ExitStack() as sockets:
            server = sockets.enter_context(socket.socket())
            server.bind(("127.0.0.1", 0))
            # Nobody accepts, so that further connections get no reply.
            server.listen(0)
            host, port = server.getsockname()
            for _ in range(3):
                waiting = sockets.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex((host, port))
            client = HttpEngineClient(connect_timeout_s=0.2)
            start = time.monotonic()
            with self.assertRaises(WireError) as caught:
                client.send(
                    engine("e1", address=f"{host}:{port}"),
                    request(),
                    Deadline.after(5.0),
                    lambda _abort: None,
                    Deadline.after(2.0),
                )
            took_s = time.monotonic() - start
        self.assertIs(Ran.NO, caught.exception.failed.ran)
        self.assertLess(took_s, 0.6)
