"""Tests of calls to a platform that is down, slow or misbehaves."""

from __future__ import annotations

import socket
import threading
import unittest

from mulberrypass.model.store import Always, Put, Throttled, Unavailable
from mulberrypass.platform.client import PlatformClients, open_platform
from mulberrypass.platform.http_client import Endpoint
from mulberrypass.testing.platform_state import FakePlatform
from tests.platform.contract import HOST, maybe_applied, serve

OPS = (Put("t", "k", {}, Always()),)


def _response(status: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class HttpClientTest(unittest.TestCase):
    def open_socket(self) -> socket.socket:
        sock = socket.create_server((HOST, 0))
        self.addCleanup(sock.close)
        return sock

    def clients(self, port: int, key: str = "") -> PlatformClients:
        endpoint = Endpoint(HOST, port, key, read_timeout_s=0.2)
        clients = open_platform(endpoint)
        self.addCleanup(clients.close)
        return clients

    def answer_once(
        self, sock: socket.socket, data: bytes
    ) -> threading.Thread:
        def run() -> None:
            conn, _ = sock.accept()
            with conn:
                conn.recv(65_536)
                conn.sendall(data)

        thread = threading.Thread(target=run)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def test_refused_connection_is_not_applied(self) -> None:
        sock = self.open_socket()
        port = sock.getsockname()[1]
        sock.close()
        error = self.clients(port).table.transact(OPS).error
        self.assertFalse(maybe_applied(error))

    def test_only_unanswered_writes_may_be_applied(self) -> None:
        clients = self.clients(self.open_socket().getsockname()[1])
        self.assertTrue(maybe_applied(clients.table.transact(OPS).error))
        self.assertTrue(maybe_applied(clients.objects.put("k", b"").error))
        self.assertFalse(maybe_applied(clients.table.read("t", "k").error))

    def test_error_responses(self) -> None:
        table = (
            ("503 Service Unavailable", b"", Unavailable, False),
            ("500 Internal Server Error", b"", Unavailable, True),
            ("400 Bad Request", b"", Unavailable, False),
            ("200 OK", b"not json", Unavailable, True),
            ("200 OK", b"{}", Unavailable, True),
            ("409 Conflict", b"[]", Unavailable, True),
            ("429 Too Many Requests", b"", Throttled, False),
        )
        for status, body, kind, expected in table:
            with self.subTest(status=status, body=body):
                sock = self.open_socket()
                self.answer_once(sock, _response(status, body))
                clients = self.clients(sock.getsockname()[1])
                error = clients.table.transact(OPS).error
                self.assertIsInstance(error, kind)
                if isinstance(error, Unavailable):
                    self.assertEqual(expected, error.maybe_applied)

    def test_truncated_response_may_be_applied(self) -> None:
        sock = self.open_socket()
        complete = _response("200 OK", b'{"versions": [1]}')
        self.answer_once(sock, complete[:-4])
        clients = self.clients(sock.getsockname()[1])
        self.assertTrue(maybe_applied(clients.table.transact(OPS).error))

    def test_closed_idle_connection_is_not_reused(self) -> None:
        sock = self.open_socket()
        clients = self.clients(sock.getsockname()[1])
        for version in (1, 2, 3):
            body = b'{"versions": [%d]}' % version
            thread = self.answer_once(sock, _response("200 OK", body))
            result = clients.table.transact(OPS)
            thread.join()
            self.assertEqual((version,), result.ok.versions)

    def test_wrong_key_is_rejected(self) -> None:
        port = serve(self, FakePlatform(), "right")
        error = self.clients(port, "wrong").table.transact(OPS).error
        self.assertEqual(Unavailable("status 401", False), error)


if __name__ == "__main__":
    unittest.main()
