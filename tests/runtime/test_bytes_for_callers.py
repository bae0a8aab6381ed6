"""Tests of the bytes that a server holds for its callers."""

from __future__ import annotations

import http.client
import socket
import time
import tracemalloc
from typing import TYPE_CHECKING, Any
import unittest
from unittest.mock import patch

from waitress.buffers import TempfileBasedBuffer

from mulberrypass.runtime.http import ClosingChunks
from mulberrypass.runtime.http_server import ClientLimits, HttpServer
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

TIMEOUT_S = 10.0
POLL_S = 0.02
# Until a server that doesn't stop would have made the whole answer.
FULL_S = 1.5
IDLE_S = 0.5
SETTLE_S = 0.3
# When callers that take nothing end though no request waits.
THREAD_WAIT_S = 8 * IDLE_S
THREADS = 4
SMALL_BUFFER = 4_096
PART = b"x" * 65_536
PARTS = 600
BODY = b"y" * 2_000_000
# A share of the smallest instance's 200 MB for each of 96 requests.
HELD_BYTES = 1_000_000
# The kernel's own buffers of a connection on the loopback device.
KERNEL_BYTES = 6_500_000


class LongAnswerApp(CallCounter):
    """Answers with many parts, and reads bodies.

    :ivar made_bytes: bytes of all parts made
    """

    def __init__(self) -> None:
        super().__init__()
        self.made_bytes = 0
        self.body_bytes = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request."""
        self.enter()
        self.body_bytes += len(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        short = environ["PATH_INFO"] == "/short"
        parts = iter((b"x",)) if short else self._parts()
        return ClosingChunks(parts, self.leave)

    def _parts(self) -> Iterator[bytes]:
        for _ in range(PARTS):
            self.made_bytes += len(PART)
            yield PART


class CallerTestCase(unittest.TestCase):
    """Runs a server with long answers."""

    client_bytes = 100 * len(BODY)

    def setUp(self) -> None:
        self.app = LongAnswerApp()
        self.server = HttpServer(
            self.app,
            "127.0.0.1",
            0,
            THREADS,
            2 * len(BODY),
            client_bytes=self.client_bytes,
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0.0)

    def connect(
        self, receive_bytes: int | None = None
    ) -> http.client.HTTPConnection:
        conn = http.client.HTTPConnection(
            "127.0.0.1", self.server.port, timeout=TIMEOUT_S
        )
        self.addCleanup(conn.close)
        conn.connect()
        if receive_bytes is not None:
            conn.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        return conn

    def until(self, reached: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + TIMEOUT_S
        while not reached():
            self.assertLess(time.monotonic(), end)
            time.sleep(POLL_S)


class SlowCallerTest(CallerTestCase):
    """A caller that read nothing was sent 16 MB, into files from 1 MB on."""

    def test_answer_waits_for_its_caller(self) -> None:
        with patch(
            "waitress.buffers.TempfileBasedBuffer",
            side_effect=TempfileBasedBuffer,
        ) as files:
            self.connect(SMALL_BUFFER).request("GET", "/")
            time.sleep(FULL_S)
        self.assertEqual(0, files.call_count)
        self.assertLess(self.app.made_bytes, HELD_BYTES + KERNEL_BYTES)

    def test_caller_that_takes_nothing_ends(self) -> None:
        self.server.limit(ClientLimits(idle_s=IDLE_S))
        conn = self.connect(SMALL_BUFFER)
        conn.request("GET", "/")
        self.until(lambda: self.app.in_flight == 1)
        self.until(lambda: self.app.in_flight == 0)
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            conn.getresponse().read()

    def test_slow_caller_gets_all(self) -> None:
        self.server.limit(ClientLimits(idle_s=IDLE_S))
        conn = self.connect()
        conn.request("GET", "/")
        resp = conn.getresponse()
        size = 0
        for _ in range(8):
            time.sleep(IDLE_S / 2)
            size += len(resp.read(len(PART)))
        self.assertEqual(PARTS * len(PART), size + len(resp.read()))


class StuckCallersTest(CallerTestCase):
    """Callers that took nothing kept each thread from other callers."""

    def test_another_caller_is_served(self) -> None:
        self.server.limit(ClientLimits(idle_s=IDLE_S))
        stuck = [self.connect(SMALL_BUFFER) for _ in range(THREADS)]
        for conn in stuck:
            conn.request("GET", "/")
        self.until(lambda: self.app.in_flight == THREADS)
        started_at = time.monotonic()
        conn = self.connect()
        conn.request("GET", "/short")
        self.assertEqual(200, conn.getresponse().status)
        self.assertLess(time.monotonic() - started_at, THREAD_WAIT_S)


class BusyServerTest(CallerTestCase):
    """A slow caller ended early as requests came, though threads were idle."""

    def test_slow_caller_is_kept(self) -> None:
        self.server.limit(ClientLimits(idle_s=IDLE_S))
        self.connect(SMALL_BUFFER).request("GET", "/")
        self.until(lambda: self.app.in_flight == 1)
        conns = [self.connect() for _ in range(THREADS - 1)]
        busy_until = time.monotonic() + THREAD_WAIT_S / 2
        while time.monotonic() < busy_until:
            for conn in conns:
                conn.request("GET", "/short")
            for conn in conns:
                conn.getresponse().read()
        self.until(lambda: self.app.in_flight <= 1)
        self.assertEqual(1, self.app.in_flight)


class SentBytesTest(CallerTestCase):
    """Bytes that a caller had taken were kept up to 16 MB."""

    def test_sent_bytes_are_let_go(self) -> None:
        conn = self.connect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        conn.request("GET", "/")
        resp = conn.getresponse()
        size = 0
        while part := resp.read1(len(PART)):
            size += len(part)
        self.assertEqual(PARTS * len(PART), size)
        self.assertLess(tracemalloc.get_traced_memory()[1], 3 * HELD_BYTES)


class ManyCallersTest(CallerTestCase):
    """Each caller had its bound, and 2,000 of them had none together."""

    client_bytes = 1_000_000

    def still_open(self, conns: list[http.client.HTTPConnection]) -> int:
        """Count the connections that the server hasn't reset."""
        count = 0
        for conn in conns:
            conn.sock.setblocking(False)
            try:
                conn.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                count += 1
            except ConnectionError:
                pass
            conn.sock.settimeout(TIMEOUT_S)
        return count

    def check_served(self) -> None:
        """Check that a small request is answered."""
        resp = self.connect()
        resp.request("GET", "/short")
        self.assertEqual(200, resp.getresponse().status)

    def test_longest_bodies_end(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"
        sizes = (300_000, 100_000, 400_000, 200_000, 350_000)
        conns = [self.connect() for _ in sizes]
        for conn, size in zip(conns, sizes, strict=True):
            # Bodies that arrive at once are of the same size for a while.
            conn.sock.sendall(head + b"y" * size)
            time.sleep(SETTLE_S)
        self.until(lambda: self.still_open(conns) < len(conns))
        time.sleep(SETTLE_S)
        self.assertEqual(4, self.still_open(conns))
        self.assertEqual(0, self.still_open([conns[2]]))
        self.check_served()

    def test_answers_that_wait_end(self) -> None:
        conns = [self.connect(SMALL_BUFFER) for _ in range(THREADS)]
        for conn in conns:
            conn.request("GET", "/")
        self.until(lambda: self.app.in_flight < THREADS)
        self.check_served()


class LargeBodyTest(CallerTestCase):
    """Bodies went to files, of which a machine without a disk has 64 MB."""

    def test_body_takes_no_file(self) -> None:
        with patch(
            "waitress.buffers.TempfileBasedBuffer",
            side_effect=TempfileBasedBuffer,
        ) as files:
            conn = self.connect()
            conn.request("POST", "/", BODY)
            self.assertEqual(200, conn.getresponse().status)
        self.assertEqual(len(BODY), self.app.body_bytes)
        self.assertEqual(0, files.call_count)


if __name__ == "__main__":
    unittest.main()
