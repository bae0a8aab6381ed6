"""Tests of the WSGI framework and the HTTP server."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import http.client
import json
import socket
import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.outcome import Ran
from mulberrypass.runtime.http import (
    CALL_ID,
    HttpRoute,
    Problem,
    Streamed,
    WsgiApp,
    json_answer,
)
from mulberrypass.runtime.http_server import ClientLimits, HttpServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.runtime.http import Reply, Request

TIMEOUT_S = 10.0


def _echo(req: Request) -> Reply:
    return json_answer({"name": req.params["name"], "query": req.query})


def _refuse(_req: Request) -> Reply:
    return Problem(503, "busy", "no slot", Ran.NO, retry_after_s=0.2)


def _fail(_req: Request) -> Reply:
    raise ValueError("a fault")


def _stream(_req: Request) -> Reply:
    return Streamed(iter((b"a", b"b")), "text/plain")


class HttpServerTest(unittest.TestCase):
    def setUp(self) -> None:
        app = WsgiApp(
            (
                HttpRoute("GET", "/echo/{name}", _echo),
                HttpRoute("GET", "/refuse", _refuse),
                HttpRoute("GET", "/fail", _fail),
                HttpRoute("GET", "/stream", _stream),
            )
        )
        self.app = app
        self.server = HttpServer(app, "127.0.0.1", 0, 2, 1_000)
        self.server.start()
        self.addCleanup(self.server.stop, 1.0)

    def get(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        self.addCleanup(conn.close)
        conn.request(method, path, body=body)
        resp = conn.getresponse()
        return resp.status, resp.read()

    def test_handler_gets_params_and_query(self) -> None:
        status, body = self.get("GET", "/echo/dock?a=1")
        self.assertEqual(200, status)
        self.assertEqual(
            {"name": "dock", "query": {"a": "1"}}, json.loads(body)
        )

    def test_problem_says_whether_the_work_ran(self) -> None:
        status, body = self.get("GET", "/refuse")
        self.assertEqual(503, status)
        self.assertEqual("no", json.loads(body)["ran"])

    def test_errors_and_unknown_paths_are_problems(self) -> None:
        for method, path, expected in (
            ("GET", "/fail", 500),
            ("GET", "/none", 404),
            ("POST", "/refuse", 405),
        ):
            with self.subTest(path=path):
                self.assertEqual(expected, self.get(method, path)[0])
        self.assertTrue(self.server.stop(grace_s=5.0))

    def test_stream_is_complete(self) -> None:
        self.assertEqual((200, b"ab"), self.get("GET", "/stream"))

    def test_answers_bear_the_id_of_their_call(self) -> None:
        for path in ("/echo/dock", "/refuse", "/fail", "/none", "/stream"):
            for call_id, expected in (
                ("a-1.b_2", "a-1.b_2"),
                ("a b", None),
                ("x" * 65, None),
                ("", None),
            ):
                with self.subTest(path=path, call_id=call_id):
                    conn = http.client.HTTPConnection(
                        "127.0.0.1", self.server.port
                    )
                    self.addCleanup(conn.close)
                    conn.request("GET", path, headers={CALL_ID: call_id})
                    resp = conn.getresponse()
                    resp.read()
                    self.assertEqual(expected, resp.getheader(CALL_ID))

    def test_large_body_is_refused(self) -> None:
        status, _ = self.get("GET", "/echo/x", b"x" * 2_000)
        self.assertEqual(413, status)

    def test_limits_apply_to_open_connections(self) -> None:
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        self.addCleanup(conn.close)
        conn.request("GET", "/echo/x", body=b"x" * 500)
        self.assertIn(b"x", conn.getresponse().read())
        self.server.limit(ClientLimits(head_bytes=2_000, body_bytes=100))
        conn.request("GET", "/echo/x", body=b"x" * 500)
        self.assertEqual(413, conn.getresponse().status)
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        self.addCleanup(conn.close)
        conn.request("GET", "/echo/x", headers={"X-Long": "x" * 3_000})
        self.assertEqual(431, conn.getresponse().status)

    def test_unfinished_head_closes_the_connection(self) -> None:
        self.server.limit(ClientLimits(head_s=0.0))
        address = ("127.0.0.1", self.server.port)
        with socket.create_connection(address, TIMEOUT_S) as sock:
            sock.sendall(b"GET /echo/x HTTP/1.1\r\nHost:")
            self.assertEqual(b"", sock.recv(1))

    def test_head_in_two_parts_is_answered(self) -> None:
        address = ("127.0.0.1", self.server.port)
        with socket.create_connection(address, TIMEOUT_S) as sock:
            sock.sendall(b"GET /echo/x HTTP/1.1\r\nHost:")
            sock.sendall(b" a\r\nConnection: close\r\n\r\n")
            self.assertTrue(sock.recv(64).startswith(b"HTTP/1.1 200"))


class PlannedStopTest(unittest.TestCase):
    """A graceful stop refuses connections and finishes requests in flight."""

    def test_stream_is_finished_and_new_connections_are_refused(self) -> None:
        started, release = threading.Event(), threading.Event()

        def chunks() -> Iterator[bytes]:
            yield b"first"
            started.set()
            release.wait(TIMEOUT_S)
            yield b"last"

        def stream(_req: Request) -> Reply:
            return Streamed(chunks(), "text/plain")

        app = WsgiApp((HttpRoute("GET", "/", stream),))
        server = HttpServer(app, "127.0.0.1", 0, 2, 1_000)
        server.start()
        conn = http.client.HTTPConnection("127.0.0.1", server.port)
        self.addCleanup(conn.close)
        conn.request("GET", "/")
        resp = conn.getresponse()
        self.assertTrue(started.wait(TIMEOUT_S))
        with ThreadPoolExecutor(1) as pool:
            stopped = pool.submit(server.stop, TIMEOUT_S)
            self.wait_until_refused(server.port)
            release.set()
            self.assertTrue(stopped.result(TIMEOUT_S))
        self.assertEqual(b"firstlast", resp.read())

    def wait_until_refused(self, port: int) -> None:
        """Wait until the port refuses connections."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            try:
                socket.create_connection(("127.0.0.1", port)).close()
            except ConnectionRefusedError:
                return
        self.fail("the port still accepts connections")

    def test_stop_returns_false_if_it_cut_off_requests(self) -> None:
        release = threading.Event()
        self.addCleanup(release.set)

        def wait(_req: Request) -> Reply:
            release.wait(TIMEOUT_S)
            return json_answer({})

        app = WsgiApp((HttpRoute("GET", "/", wait),))
        server = HttpServer(app, "127.0.0.1", 0, 2, 1_000)
        server.start()
        conn = http.client.HTTPConnection("127.0.0.1", server.port)
        self.addCleanup(conn.close)
        conn.request("GET", "/")
        while app.in_flight == 0:
            time.sleep(0.001)
        self.assertFalse(server.stop(grace_s=0.0))
