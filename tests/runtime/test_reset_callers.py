"""Tests that the reset of a caller leaves the others alone."""

from __future__ import annotations

import select
from typing import Any
import unittest
from unittest.mock import patch

from mulberrypass.runtime.http_server import ClientLimits
from tests.runtime.test_bytes_for_callers import (
    IDLE_S,
    SMALL_BUFFER,
    CallerTestCase,
)

POLL = select.poll


class CheckedPoll:
    """Counts the closed files among those that are polled."""

    closed = 0

    def __init__(self) -> None:
        self._poll = POLL()

    def register(self, *args: Any) -> None:
        """Poll a file too."""
        self._poll.register(*args)

    def poll(self, *args: Any) -> list[tuple[int, int]]:
        """Wait for events."""
        found = self._poll.poll(*args)
        closed = [fd for fd, flags in found if flags & select.POLLNVAL]
        CheckedPoll.closed += len(closed)
        return found


class ResetCallerTest(CallerTestCase):
    """The next caller had the number of a closed file, and was reset too."""

    def setUp(self) -> None:
        CheckedPoll.closed = 0
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
        self.assertFalse(channel.writable())
        self.assertEqual(0, CheckedPoll.closed)


if __name__ == "__main__":
    unittest.main()
