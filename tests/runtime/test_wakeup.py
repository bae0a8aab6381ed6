"""Tests of waking the loop of a closed server."""

from __future__ import annotations

import os
import select
import unittest

from mulberrypass.runtime.http import (
    Answer,
    HttpRoute,
    Reply,
    Request,
    WsgiApp,
)
from mulberrypass.runtime.http_server import HttpServer


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
