"""Tests of answers that only the end of their connection ends."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import http.client
import io
import multiprocessing
import socket
import threading
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.runtime.connection import END_WITH_CONNECTION
from mulberrypass.runtime.http import ClosingChunks
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from multiprocessing.connection import Connection

TIMEOUT_S = 10.0
POLL_S = 0.01
PART = b"id: 1\ndata: a\n\n"
# More than the buffers of both kernels hold.
LONG_PART = b"x" * 12_000_000
# More than the server reads ahead, less than its kernel buffers.
UNREAD = b"GET /second HTTP/1.1\r\nHost: a\r\n\r\n" * 500
VERSIONS = (b"1.0", b"1.1")


class HeldApp(CallCounter):
    """Streams parts of an answer that only its connection ends.

    :ivar held: whether to wait for ``go_on`` after the first part
    :ivar breaks_off: whether the answer is cut after its parts
    :ivar targets: paths of the requests that began
    """

    def __init__(self, parts: tuple[bytes, ...] = (PART, PART)) -> None:
        super().__init__()
        self.parts = parts
        self.status = "200 OK"
        self.breaks_off = False
        self.held = False
        self.go_on = threading.Event()
        self.targets: list[str] = []

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request."""
        self.enter()
        self.targets.append(environ["PATH_INFO"])
        environ[END_WITH_CONNECTION]()
        start_response(self.status, [("Content-Type", "text/event-stream")])
        left = environ["waitress.client_disconnected"]
        return ClosingChunks(self._parts(left), self.leave)

    def _parts(self, left: Any) -> Iterator[bytes]:
        for part in self.parts:
            yield part
            while self.held and not self.go_on.wait(POLL_S):
                if left():
                    raise ConnectionAbortedError("nobody waits for it")
        if self.breaks_off:
            raise ConnectionAbortedError("the answer is cut")


class EndTest(unittest.TestCase):
    """Runs a server; answers are read from a socket to their end."""

    idle_s = 60

    def setUp(self) -> None:
        self.app = HeldApp()
        self.server = HttpServer(
            self.app, "127.0.0.1", 0, 4, 1_000, self.idle_s
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0.0)
        self.addCleanup(self.app.go_on.set)

    def ask(
        self,
        version: bytes = b"1.1",
        method: bytes = b"GET",
        receive_bytes: int = 0,
        behind: bytes = b"",
    ) -> socket.socket:
        """Send a request, and more bytes behind it."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(TIMEOUT_S)
        sock.connect(("127.0.0.1", self.server.port))
        line = b"%s / HTTP/%s\r\nHost: a\r\n\r\n" % (method, version)
        sock.sendall(line + behind)
        return sock

    def read_part(self, sock: socket.socket) -> bytes:
        """Read until the first part has arrived."""
        data = b""
        while not data.endswith(PART):
            data += sock.recv(65_536)
        return data

    def read_end(self, sock: socket.socket) -> bytes:
        """Read to the end of the connection.

        :raises ConnectionResetError: if it ends with a reset
        """
        parts = []
        while data := sock.recv(65_536):
            parts.append(data)
        return b"".join(parts)

    def assert_unframed(self, data: bytes, body: bytes) -> None:
        """Check that nothing in the head tells where the body ends."""
        head, _, got = data.partition(b"\r\n\r\n")
        lines = io.BytesIO(head.partition(b"\r\n")[2] + b"\r\n\r\n")
        headers = http.client.parse_headers(lines)
        self.assertNotIn("Content-Length", headers)
        self.assertNotIn("Transfer-Encoding", headers)
        self.assertEqual("close", headers["Connection"])
        self.assertEqual(body, got)


class DoubtfulEndTest(EndTest):
    """An answer whose end was in doubt got chunks and a last chunk."""

    def test_whole_answer_ends_with_its_connection(self) -> None:
        for version in VERSIONS:
            with self.subTest(version):
                data = self.read_end(self.ask(version))
                self.assertTrue(data.startswith(b"HTTP/" + version))
                self.assert_unframed(data, PART + PART)

    def test_answer_without_a_part_ends_with_its_connection(self) -> None:
        self.app.parts = ()
        for version in VERSIONS:
            with self.subTest(version):
                self.assert_unframed(self.read_end(self.ask(version)), b"")

    def test_answers_without_a_body(self) -> None:
        self.app.parts = ()
        cases = (
            (b"HEAD", "200 OK"),
            (b"GET", "204 No Content"),
            (b"GET", "304 Not Modified"),
        )
        for method, status in cases:
            for version in VERSIONS:
                with self.subTest(status, version=version):
                    self.app.status = status
                    data = self.read_end(self.ask(version, method))
                    self.assert_unframed(data, b"")

    def test_parts_arrive_as_they_are_made(self) -> None:
        self.app.held = True
        sock = self.ask()
        data = self.read_part(sock)
        self.app.go_on.set()
        self.assert_unframed(data + self.read_end(sock), PART + PART)


class CutEndTest(EndTest):
    """An answer that was cut ended as a whole one does."""

    def setUp(self) -> None:
        super().setUp()
        self.app.breaks_off = True

    def test_cut_before_the_first_part_is_a_failure(self) -> None:
        self.app.parts = ()
        for version in VERSIONS:
            with self.subTest(version):
                sock = self.ask(version)
                resp = http.client.HTTPResponse(sock)
                resp.begin()
                self.assertEqual(500, resp.status)
                self.assertIsNotNone(resp.length)

    def test_cut_after_some_parts_is_a_reset(self) -> None:
        for version in VERSIONS:
            for count in (1, 2):
                with self.subTest(version, parts=count):
                    self.app.parts = (PART,) * count
                    with self.assertRaises(ConnectionResetError):
                        self.read_end(self.ask(version))

    def test_cut_with_bytes_unsent_is_a_reset(self) -> None:
        self.app.parts = (LONG_PART, PART)
        for version in VERSIONS:
            with self.subTest(version):
                sock = self.ask(version, receive_bytes=4_096)
                time.sleep(0.2)
                with self.assertRaises(ConnectionResetError):
                    self.read_end(sock)

    def test_caller_that_ends_its_side_gets_a_reset(self) -> None:
        self.app.held = True
        for version in VERSIONS:
            with self.subTest(version):
                sock = self.ask(version)
                self.read_part(sock)
                sock.shutdown(socket.SHUT_WR)
                with self.assertRaises(ConnectionResetError):
                    self.read_end(sock)


class SlowCallerTest(EndTest):
    """A whole answer that was read slowly was cut at its end."""

    def test_slow_caller_gets_all(self) -> None:
        self.app.parts = (LONG_PART, PART)
        for version in VERSIONS:
            with self.subTest(version):
                sock = self.ask(version, receive_bytes=4_096)
                time.sleep(0.5)
                data = self.read_end(sock)
                self.assert_unframed(data, LONG_PART + PART)

    def test_caller_that_sends_more_gets_all(self) -> None:
        for parts in ((PART, PART), (LONG_PART, PART)):
            for version in VERSIONS:
                with self.subTest(version, size=len(parts[0])):
                    self.app.parts = parts
                    self.app.targets.clear()
                    sock = self.ask(
                        version, receive_bytes=4_096, behind=UNREAD
                    )
                    time.sleep(0.2)
                    self.assert_unframed(self.read_end(sock), b"".join(parts))
                    self.assertEqual(["/"], self.app.targets)

    def test_caller_that_sends_later_gets_all(self) -> None:
        self.app.held = True
        sock = self.ask()
        data = self.read_part(sock)
        sock.sendall(UNREAD)
        self.app.go_on.set()
        time.sleep(0.2)
        sock.sendall(UNREAD)
        time.sleep(0.2)
        self.assert_unframed(data + self.read_end(sock), PART + PART)

    def test_connection_is_closed_at_last(self) -> None:
        sock = self.ask()
        self.assert_unframed(self.read_end(sock), PART + PART)
        with self.assertRaises(ConnectionError):
            end = time.monotonic() + TIMEOUT_S
            while time.monotonic() < end:
                sock.sendall(b"x")
                time.sleep(0.05)


class IdleEndTest(EndTest):
    """A time-out ended part of an answer as if it were whole."""

    idle_s = 1

    def test_caller_that_stops_reading_gets_a_reset(self) -> None:
        self.app.parts = (LONG_PART,)
        for version in VERSIONS:
            with self.subTest(version):
                sock = self.ask(version, receive_bytes=4_096)
                time.sleep(4 * self.idle_s)
                with self.assertRaises(ConnectionResetError):
                    self.read_end(sock)


class StoppedEndTest(EndTest):
    """A stop of this process ended part of an answer as if it were whole."""

    def setUp(self) -> None:
        super().setUp()
        self.app.held = True
        self.pool = ThreadPoolExecutor(1)
        self.addCleanup(self.pool.shutdown, wait=True)

    def test_answer_in_time_is_whole(self) -> None:
        sock = self.ask()
        data = self.read_part(sock)
        stopped = self.pool.submit(self.server.stop, TIMEOUT_S)
        time.sleep(0.2)
        self.app.go_on.set()
        self.assert_unframed(data + self.read_end(sock), PART + PART)
        self.assertTrue(stopped.result(TIMEOUT_S))

    def test_answer_that_is_overdue_is_reset(self) -> None:
        for version in VERSIONS:
            with self.subTest(version):
                self.setUp()
                sock = self.ask(version)
                self.read_part(sock)
                self.assertFalse(self.server.stop(0.2))
                with self.assertRaises(ConnectionResetError):
                    self.read_end(sock)

    def test_answer_of_a_process_that_dies_is_reset(self) -> None:
        context = multiprocessing.get_context("spawn")
        for version in VERSIONS:
            with self.subTest(version):
                ours, theirs = context.Pipe()
                process = context.Process(
                    target=_serve_held, args=(theirs,), daemon=True
                )
                process.start()
                self.addCleanup(process.kill)
                sock = socket.create_connection(
                    ("127.0.0.1", ours.recv()), TIMEOUT_S
                )
                self.addCleanup(sock.close)
                sock.sendall(b"GET / HTTP/%s\r\nHost: a\r\n\r\n" % version)
                self.read_part(sock)
                process.kill()
                process.join(TIMEOUT_S)
                with self.assertRaises(ConnectionResetError):
                    self.read_end(sock)


def _serve_held(pipe: Connection) -> None:
    """Serve an answer that doesn't end; send the port."""
    app = HeldApp()
    app.held = True
    server = HttpServer(app, "127.0.0.1", 0, 2, 1_000)
    server.start()
    pipe.send(server.port)
    threading.Event().wait(TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
