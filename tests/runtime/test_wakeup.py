"""Tests of waking the loop of a closed server."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import os
import select
import socket
import threading
import time
import unittest

from mulberrypass.runtime.http import (
    Answer,
    HttpRoute,
    Reply,
    Request,
    WsgiApp,
)
from mulberrypass.runtime.http_server import HttpServer

TIMEOUT_S = 10.0
# For the loop to see that the server no longer listens.
POLL_S = 0.3
PIPES = 4


def answer(_req: Request) -> Reply:
    """Answer any request."""
    return Answer(b"")


class WakeupTest(unittest.TestCase):
    def test_closed_server_does_not_write_to_a_reused_descriptor(self) -> None:
        app = WsgiApp((HttpRoute("GET", "/", answer),))
        server = HttpServer(app, "127.0.0.1", 0, 1, 1_000)
        server.start()
        number = server._server.trigger.trigger
        server.stop(0.0)
        read, write = os.pipe()
        self.addCleanup(os.close, read)
        if write != number:
            os.dup2(write, number)
            self.addCleanup(os.close, write)
        self.addCleanup(os.close, number)
        # A thread whose answer ends after the close does this.
        server._server.pull_trigger()
        self.assertEqual(([], [], []), select.select([read], [], [], 0))

    def test_stopping_server_does_not_write_to_a_reused_descriptor(
        self,
    ) -> None:
        taken, release = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def wait(req: Request) -> Reply:
            taken.set()
            release.wait(TIMEOUT_S)
            return answer(req)

        app = WsgiApp((HttpRoute("GET", "/", wait),))
        server = HttpServer(app, "127.0.0.1", 0, 1, 1_000)
        server.start()
        address = ("127.0.0.1", server.port)
        with (
            socket.create_connection(address, TIMEOUT_S) as sock,
            ThreadPoolExecutor(1) as pool,
        ):
            sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertTrue(taken.wait(TIMEOUT_S))
            stopped = pool.submit(server.stop, TIMEOUT_S)
            time.sleep(POLL_S)
            # These take the descriptors that are free.
            pipes = [os.pipe() for _ in range(PIPES)]
            for number in (number for pipe in pipes for number in pipe):
                self.addCleanup(os.close, number)
            release.set()
            self.assertTrue(stopped.result(TIMEOUT_S))
        reads = [read for read, _ in pipes]
        self.assertEqual(([], [], []), select.select(reads, [], [], 0))
