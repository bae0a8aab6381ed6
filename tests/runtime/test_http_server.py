"""Tests of a planned stop: what the server has read is answered."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import contextlib
import http.client
import socket
import threading
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.runtime.http import (
    Answer,
    HttpRoute,
    Problem,
    WsgiApp,
    json_answer,
)
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from concurrent.futures import Future

    from mulberrypass.runtime.http import Reply, Request

TIMEOUT_S = 10.0
# Longer than the wait for a flush that ended a stop before its time.
LOOK_S = 0.6
LONG_BYTES = 12_000_000
HEAD = b"POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
SHORT = b"GET /short HTTP/1.1\r\nHost: a\r\n\r\n"


class StopTest(unittest.TestCase):
    """Runs a server whose handlers wait for ``self.release``."""

    threads = 2

    def setUp(self) -> None:
        self.release = threading.Event()
        self.addCleanup(self.release.set)
        self.taken: list[str] = []
        app = WsgiApp(
            (
                HttpRoute("GET", "/short", self.short),
                HttpRoute("GET", "/long", self.long),
                HttpRoute("POST", "/wait", self.wait),
            )
        )
        self.app = app
        self.server = HttpServer(app, "127.0.0.1", 0, self.threads, 1_000)
        self.server.start()
        self.pool = ThreadPoolExecutor(1)
        self.addCleanup(self.pool.shutdown, wait=True)

    def short(self, _req: Request) -> Reply:
        self.taken.append("short")
        return json_answer({})

    def long(self, _req: Request) -> Reply:
        self.taken.append("long")
        return Answer(b"x" * LONG_BYTES)

    def wait(self, req: Request) -> Reply:
        self.taken.append("wait")
        end = time.monotonic() + TIMEOUT_S
        while not self.release.wait(0.01) and time.monotonic() < end:
            if req.disconnected():
                return Problem(503, "left", "nobody waits for it")
        return json_answer({})

    def connect(self, receive_bytes: int = 0) -> socket.socket:
        sock = socket.socket()
        self.addCleanup(sock.close)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(TIMEOUT_S)
        sock.connect(("127.0.0.1", self.server.port))
        return sock

    def connect_kept(self) -> socket.socket:
        """Return a kept connection that has had an answer."""
        sock = self.connect()
        sock.sendall(SHORT)
        self.assertEqual(200, self.read(sock)[0])
        return sock

    def send_wait(self, count: int = 1) -> list[socket.socket]:
        """Send requests that wait, and return once they are being served."""
        before = len(self.taken)
        socks = [self.connect() for _ in range(count)]
        for sock in socks:
            sock.sendall(HEAD + b"0123456789")
        self.until(lambda: len(self.taken) - before >= min(count, 2))
        return socks

    def until(self, reached: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + TIMEOUT_S
        while not reached():
            self.assertLess(time.monotonic(), end)
            time.sleep(0.005)

    def begin_stop(self, grace_s: float = TIMEOUT_S) -> Future[bool]:
        return self.pool.submit(self.server.stop, grace_s)

    def read(self, sock: socket.socket) -> tuple[int, str, int]:
        """Return the status, the Connection header and the body's size."""
        resp = http.client.HTTPResponse(sock)
        resp.begin()
        size = len(resp.read())
        return resp.status, resp.getheader("Connection", ""), size

    def ended_unread(self, sock: socket.socket) -> bool:
        """Whether the connection ends without a byte of an answer."""
        with contextlib.suppress(ConnectionError):
            return sock.recv(1) == b""
        return True


class ReadRequestTest(StopTest):
    """Requests that were read before the stop are answered."""

    def test_requests_that_wait_for_a_thread_are_answered(self) -> None:
        socks = self.send_wait(count=6)
        stopped = self.begin_stop()
        time.sleep(LOOK_S)
        self.release.set()
        for sock in socks:
            self.assertEqual(200, self.read(sock)[0])
        self.assertTrue(stopped.result(TIMEOUT_S))

    def test_stop_waits_for_an_answer_that_is_read_slowly(self) -> None:
        sock = self.connect(receive_bytes=4_096)
        sock.sendall(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
        self.until(lambda: "long" in self.taken)
        self.until(lambda: self.app.in_flight == 0)
        stopped = self.begin_stop()
        time.sleep(LOOK_S)
        self.assertFalse(stopped.done(), "stopped with answers unsent")
        self.assertEqual(LONG_BYTES, self.read(sock)[2])
        self.assertTrue(stopped.result(TIMEOUT_S))

    def test_stop_waits_for_the_rest_of_a_body(self) -> None:
        self.release.set()
        sock = self.connect()
        sock.sendall(HEAD + b"01234")
        time.sleep(0.1)
        stopped = self.begin_stop()
        time.sleep(LOOK_S)
        self.assertFalse(stopped.done(), "stopped in the middle of a body")
        sock.sendall(b"56789")
        self.assertEqual((200, "close"), self.read(sock)[:2])
        self.assertTrue(stopped.result(TIMEOUT_S))

    def test_stalled_body_does_not_hold_the_stop(self) -> None:
        sock = self.connect()
        sock.sendall(HEAD + b"01234")
        time.sleep(0.1)
        self.assertTrue(self.begin_stop().result(TIMEOUT_S / 2))
        self.assertTrue(self.ended_unread(sock))

    def test_request_in_the_socket_at_the_stop_is_answered(self) -> None:
        sock = self.connect_kept()
        held = self.send_wait()[0]
        sock.sendall(SHORT)
        stopped = self.begin_stop()
        self.assertEqual(200, self.read(sock)[0])
        self.release.set()
        self.assertEqual(200, self.read(held)[0])
        self.assertTrue(stopped.result(TIMEOUT_S))


class KeptConnectionTest(StopTest):
    """What is sent after the stop has begun isn't read and then cut."""

    def test_request_after_the_stop_is_not_read(self) -> None:
        sock = self.connect_kept()
        self.assertTrue(self.server.stop(TIMEOUT_S))
        self.taken.clear()
        with contextlib.suppress(ConnectionError):
            sock.sendall(SHORT)
        self.assertTrue(self.ended_unread(sock))
        self.assertEqual([], self.taken)

    def test_request_while_the_stop_waits_is_not_read(self) -> None:
        sock = self.connect_kept()
        held = self.send_wait()[0]
        stopped = self.begin_stop()
        time.sleep(LOOK_S)
        self.taken.clear()
        with contextlib.suppress(ConnectionError):
            sock.sendall(SHORT)
        self.assertTrue(self.ended_unread(sock))
        self.assertEqual([], self.taken)
        self.release.set()
        self.assertEqual(200, self.read(held)[0])
        self.assertTrue(stopped.result(TIMEOUT_S))

    def test_answer_before_the_close_says_so(self) -> None:
        sock = self.connect_kept()
        self.server.disable_keep_alive()
        sock.sendall(SHORT)
        self.assertEqual((200, "close"), self.read(sock)[:2])
        self.assertTrue(self.ended_unread(sock))
        self.assertTrue(self.server.stop(TIMEOUT_S))


class GraceTest(StopTest):
    """A request at the end of the grace time is answered, not cut."""

    def test_overdue_request_gets_a_failure(self) -> None:
        socks = self.send_wait(count=4)
        stopped = self.begin_stop(grace_s=0.2)
        for sock in socks:
            self.assertEqual(503, self.read(sock)[0])
        self.assertFalse(stopped.result(TIMEOUT_S))

    def test_stop_keeps_to_the_grace_time(self) -> None:
        sock = self.connect(receive_bytes=4_096)
        sock.sendall(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
        self.until(lambda: "long" in self.taken)
        self.until(lambda: self.app.in_flight == 0)
        begun = time.monotonic()
        self.assertFalse(self.server.stop(0.2))
        self.assertLess(time.monotonic() - begun, 1.0)


class BrokenApp(CallCounter):
    """Fails with a socket error before the answer's head is sent."""

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Fail in the call, or in the first chunk."""
        if environ["PATH_INFO"] == "/call":
            raise ConnectionResetError("not the client's connection")
        return self._chunks(start_response)

    def _chunks(self, start_response: Any) -> Iterator[bytes]:
        start_response("200 OK", [])
        raise TimeoutError("not the client's time")
        yield b""


class OwnSocketErrorTest(unittest.TestCase):
    """A socket error of the application isn't taken for the client's."""

    def test_request_is_answered_with_a_failure(self) -> None:
        server = HttpServer(BrokenApp(), "127.0.0.1", 0, 2, 1_000)
        server.start()
        self.addCleanup(server.stop, 1.0)
        for path in ("/call", "/chunk"):
            with self.subTest(path=path):
                conn = http.client.HTTPConnection(
                    "127.0.0.1", server.port, TIMEOUT_S
                )
                self.addCleanup(conn.close)
                conn.request("GET", path)
                self.assertEqual(500, conn.getresponse().status)
