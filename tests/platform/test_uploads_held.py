"""Tests of the bytes that a process holds for uploads."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import contextlib
import json
import socket
import subprocess
import sys
import threading
import unittest

from tests.platform.flooded import FLOODS
from tests.platform.test_bytes_held import IDLE_BYTES, MB, SMALLEST_BYTES
from tests.platform.uploading import MAX_BODY_BYTES, Held
from tests.relay.fakes import HOST

# Just below the largest body that is taken.
BODY = bytes(MAX_BODY_BYTES - 1)
# The part of an upload that a slow caller sends before it pauses.
PART_BYTES = 7 * MB
PAUSE_S = 2.0
TIMEOUT_S = 30.0


class UploadsTest(unittest.TestCase):
    """Uploads had a bound each, and their sum was not measured."""

    def serve(self) -> subprocess.Popen[str]:
        """Start a process whose engine takes connections and reads nothing."""
        engine = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addCleanup(engine.close)
        address = f"127.0.0.1:{engine.getsockname()[1]}"
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.uploading", address],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait, TIMEOUT_S)
        self.addCleanup(process.terminate)
        for pipe in (process.stdin, process.stdout):
            assert pipe is not None
            self.addCleanup(pipe.close)
        return process

    def held(self, sent_bytes: int) -> Held:
        """Return what is held of uploads of which callers send a part."""
        process = self.serve()
        assert process.stdin is not None
        assert process.stdout is not None
        port = int(process.stdout.readline())
        done = threading.Event()

        def upload(number: int) -> None:
            head = (
                f"POST /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Mulberrypass-Request-Id: r{number}\r\n"
                f"Content-Length: {len(BODY)}\r\n\r\n"
            )
            with (
                contextlib.suppress(OSError),
                socket.create_connection(("127.0.0.1", port), 5.0) as sock,
            ):
                sock.sendall(head.encode())
                sock.sendall(memoryview(BODY)[:sent_bytes])
                done.wait(TIMEOUT_S)

        with ThreadPoolExecutor(FLOODS) as pool:
            for number in range(FLOODS):
                pool.submit(upload, number)
            done.wait(PAUSE_S)
            process.stdin.write("\n")
            process.stdin.flush()
            found = process.stdout.readline()
            done.set()
        return Held(**json.loads(found))

    def assert_fits(self, held: Held) -> None:
        growth = held.most_bytes - held.idle_bytes
        self.assertLess(growth, SMALLEST_BYTES - IDLE_BYTES, held)

    def test_uploads_that_arrive_slowly(self) -> None:
        self.assert_fits(self.held(PART_BYTES))

    def test_uploads_to_an_engine_that_does_not_read(self) -> None:
        self.assert_fits(self.held(len(BODY)))


if __name__ == "__main__":
    unittest.main()
