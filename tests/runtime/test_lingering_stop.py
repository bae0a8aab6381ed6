"""Answers that only their connection ends, while a server stops."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import time
import unittest

from tests.runtime import test_ended_by_connection as ended

GRACE_S = 1.0


class LingeringStopTest(ended.EndTest):
    """A caller that sends on while a server stops lost its answer's end."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = ThreadPoolExecutor(1)
        self.addCleanup(self.pool.shutdown, wait=True)

    def test_caller_that_sends_later_gets_all(self) -> None:
        # More than the caller's buffer, less than the server's own.
        long = b"x" * 1_000_000
        self.app.held = True
        self.app.parts = (ended.PART, long)
        sock = self.ask(receive_bytes=4_096)
        data = self.read_part(sock)
        stopped = self.pool.submit(self.server.stop, ended.TIMEOUT_S)
        time.sleep(0.2)
        self.app.go_on.set()
        time.sleep(0.3)
        sock.sendall(ended.UNREAD)
        time.sleep(0.3)
        data += self.read_end(sock)
        self.assert_unframed(data, ended.PART + long)
        self.assertTrue(stopped.result(ended.TIMEOUT_S))

    def test_lingering_takes_no_grace(self) -> None:
        self.app.held = True
        sock = self.ask()
        self.read_part(sock)
        stopped = self.pool.submit(self.server.stop, GRACE_S)
        time.sleep(0.2)
        self.app.go_on.set()
        end = time.monotonic() + GRACE_S
        while not stopped.done() and time.monotonic() < end:
            try:
                sock.sendall(b"x")
            except ConnectionError:
                break
            time.sleep(0.002)
        self.assertTrue(stopped.result(ended.TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
