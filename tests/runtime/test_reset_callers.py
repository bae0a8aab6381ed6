"""Tests that the reset of a caller leaves the others alone."""

from __future__ import annotations

import select
import threading
from typing import Any, ClassVar
import unittest
from unittest.mock import patch

from mulberrypass.runtime.client_bytes import ClientBytes
from mulberrypass.runtime.http_server import ClientLimits
from tests.runtime.test_bytes_for_callers import (
    IDLE_S,
    SMALL_BUFFER,
    CallerTestCase,
)

POLL = select.poll
LIMIT = 1_000_000
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n"


class CheckedPoll:
    """Notes the threads that poll closed files."""

    threads: ClassVar[list[threading.Thread]] = []

    def __init__(self) -> None:
        self._poll = POLL()

    def register(self, *args: Any) -> None:
        """Poll a file too."""
        self._poll.register(*args)

    def poll(self, *args: Any) -> list[tuple[int, int]]:
        """Wait for events."""
        found = self._poll.poll(*args)
        if any(flags & select.POLLNVAL for _, flags in found):
            self.threads.append(threading.current_thread())
        return found


class ResetCallerTest(CallerTestCase):
    """The next caller had the number of a closed file, and was reset too."""

    client_bytes = LIMIT

    def setUp(self) -> None:
        # The loop of another test's server may still end.
        CheckedPoll.threads.clear()
        patched = patch("waitress.wasyncore.select.poll", CheckedPoll)
        patched.start()
        self.addCleanup(patched.stop)
        super().setUp()

    def test_stuck_caller_is_not_polled_again(self) -> None:
        self.server.limit(ClientLimits(idle_s=IDLE_S / 5))
        self.connect(SMALL_BUFFER).request("GET", "/")
        self.until(lambda: self.app.in_flight == 1)
        channels: Any = self.server._server.active_channels
        (channel,) = channels.values()
        self.until(lambda: channel.close_when_flushed)
        self.until(lambda: channel.socket is None)
        self.assertFalse(channel.writable())
        self.assertNotIn(self.server._thread, CheckedPoll.threads)

    def test_caller_that_is_listed_is_not_closed(self) -> None:
        """Check all bytes when the last connection is listed."""
        channels: Any = self.server._server.active_channels
        first = self.connect()
        self.until(lambda: len(channels) == 1)
        (large,) = channels.values()
        self.connect().sock.sendall(HEAD)
        self.until(lambda: len(channels) == 2)
        listed = 0

        def due(_bytes: ClientBytes) -> bool:
            nonlocal listed
            listed += 1
            return listed % 2 == 0

        with patch.object(ClientBytes, "due", due):
            first.sock.sendall(HEAD + bytes(LIMIT + 100_000))
            self.until(lambda: not large.connected)
        self.assertNotIn(self.server._thread, CheckedPoll.threads)


if __name__ == "__main__":
    unittest.main()
