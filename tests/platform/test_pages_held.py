"""Tests of the bytes that a process holds for callers of results."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import time
import unittest

from tests.batches import cases
from tests.known_red import known_red
from tests.platform.flooded import FLOODS
from tests.platform.paging import ITEMS
from tests.platform.test_bytes_held import IDLE_BYTES, SMALLEST_BYTES
from tests.platform.uploading import Held

PAUSE_S = 3.0
TIMEOUT_S = 30.0
SMALL_BUFFER = 4_096
# A page of results, and the longest text of one result.
PAGE_BYTES = 800_000
LONGEST_BYTES = 8_000_000


class PagesTest(unittest.TestCase):
    """Callers that read nothing each had a page waiting for them."""

    def held(self, size: int) -> Held:
        """Return what is held for callers of results of this size."""
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.paging", str(size)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait, TIMEOUT_S)
        self.addCleanup(process.terminate)
        assert process.stdin is not None
        assert process.stdout is not None
        self.addCleanup(process.stdin.close)
        self.addCleanup(process.stdout.close)
        port = int(process.stdout.readline())
        for number in range(FLOODS):
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
            sock.connect(("127.0.0.1", port))
            after = number % ITEMS
            sock.sendall(
                f"GET /lots/job-1?After={after} HTTP/1.1\r\n"
                f"Host: {cases.HOST}\r\n\r\n".encode()
            )
        time.sleep(PAUSE_S)
        process.stdin.write("\n")
        process.stdin.flush()
        return Held(**json.loads(process.stdout.readline()))

    def assert_fits(self, held: Held) -> None:
        growth = held.most_bytes - held.idle_bytes
        self.assertLess(growth, SMALLEST_BYTES - IDLE_BYTES, held)

    def test_pages(self) -> None:
        self.assert_fits(self.held(PAGE_BYTES))

    @known_red(48)
    def test_pages_of_one_long_result(self) -> None:
        """Each is decoded and encoded again, 96 at once."""
        self.assert_fits(self.held(LONGEST_BYTES))


if __name__ == "__main__":
    unittest.main()
