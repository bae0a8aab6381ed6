"""Tests of answers without a body that came without framing."""

from __future__ import annotations

import http.client
import socket
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.ingress import FrontApp
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from mulberrypass.runtime.http_server import HttpServer
from tests.engine.endless import AnsweringServer
from tests.relay.fakes import HOST, ScriptedPermits, engine, route, table

if TYPE_CHECKING:
    from mulberrypass.relay.api import RelayRequest

TIMEOUT_S = 5.0
ID = (
    b"X-Mulberrypass-Request-Id: r1\r\n"
    b"X-Mulberrypass-Response-Stamp: 3e1b.07\r\n"
)
KINDS = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)


def answer(status: bytes) -> bytes:
    """Return an answer without framing or a body."""
    return b"HTTP/1.1 %s\r\n%s\r\n" % (status, ID)


class BodilessAnswerTest(unittest.TestCase):
    """The head alone shows the end of such an answer: none is in doubt."""

    def ask(
        self, kind: RouteKind, method: bytes, sent: bytes
    ) -> http.client.HTTPResponse:
        """Return the response to a request that an engine answers."""
        server = AnsweringServer(self, sent, close=True)
        directory = Directory()
        directory.apply_routes(table(route(kind=kind)))
        directory.set_engines([engine("e1", address=server.address)])
        client = HttpEngineClient()
        self.addCleanup(client.retain, frozenset())
        permits = ScriptedPermits("e1")
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", permits, directory),
            client,
            CallWatch(),
        )
        app = FrontApp(Forwarder(deps), _no_reply)
        front = HttpServer(app, "127.0.0.1", 0, 2, 1_000)
        front.start()
        self.addCleanup(front.stop, 0.0)
        at = ("127.0.0.1", front.port)
        with socket.create_connection(at, TIMEOUT_S) as sock:
            sock.sendall(
                b"%s /lookup/1 HTTP/1.1\r\nHost: %s\r\n%s\r\n"
                % (method, HOST.encode(), ID)
            )
            resp = http.client.HTTPResponse(sock, method=method.decode())
            resp.begin()
            self.body = resp.read()
            return resp

    def test_answers_without_a_body_are_whole(self) -> None:
        cases = (
            (b"HEAD", b"200 OK", 200),
            (b"HEAD", b"404 Not Found", 404),
            (b"GET", b"204 No Content", 204),
            (b"GET", b"304 Not Modified", 304),
        )
        for kind in KINDS:
            for method, status, expected in cases:
                with self.subTest(status, method=method, kind=kind):
                    resp = self.ask(kind, method, answer(status))
                    self.assertEqual(expected, resp.status)
                    self.assertEqual(b"", self.body)
                    self.assertFalse(resp.chunked)

    def test_answer_that_is_only_the_first_of_two_is_a_failure(self) -> None:
        statuses = (b"101 Switching Protocols", b"103 Early Hints")
        for kind in KINDS:
            for status in statuses:
                with self.subTest(status, kind=kind):
                    sent = answer(status) + answer(b"204 No Content")
                    resp = self.ask(kind, b"GET", sent)
                    self.assertEqual(502, resp.status)
                    self.assertIn(b'"ran": "maybe"', self.body)

    def test_status_100_is_passed_over(self) -> None:
        for kind in KINDS:
            with self.subTest(kind):
                sent = b"HTTP/1.1 100 Continue\r\n\r\n"
                sent += answer(b"204 No Content")
                self.assertEqual(204, self.ask(kind, b"GET", sent).status)


def _no_reply(_req: RelayRequest) -> None:
    return None


if __name__ == "__main__":
    unittest.main()
