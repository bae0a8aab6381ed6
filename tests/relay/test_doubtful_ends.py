"""Answers without framing that may have no second run."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    Failed,
    TruncatedAnswerError,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from mulberrypass.runtime.sockets import reset_on_close
from tests.engine.endless import HOST, NO_LENGTH, OK_HEAD
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    event,
    request,
    route,
    table,
)

if TYPE_CHECKING:
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.relay.api import RelayEvent

BODY = b"body"
PART = event(1) + event(2) + event(3)
FRAMED = OK_HEAD + b"Content-Length: %d\r\n\r\n" % len(PART)
# Between the end of the first and the last socket of a process that ends.
ENDING_S = 0.003
# Work must stop within 0.5 s after its caller has left (rule GONE).
GONE_S = 0.5
SLACK_S = 0.2
STAYS = "stays"
LISTENER_FIRST = "closes its listener, then its connections"
CONNECTION_FIRST = "closes its connections, then its listener"
RESETS = "resets new connections"
SILENT = "accepts no connections"
GONE = (LISTENER_FIRST, CONNECTION_FIRST)
# So does a sound engine whose connections are all in use.
UNCERTAIN = (RESETS, SILENT)
STREAM = route()
LAST_ATTEMPT = route(resumable=True, max_attempts=1)
CALL = route(kind=RouteKind.NON_IDEMPOTENT)
REPEATABLE = route(kind=RouteKind.IDEMPOTENT)


class EndingServer:
    """Answers a request, ends the connection, and then behaves as told.

    :ivar requests: requests received
    :ivar connections: connections accepted
    """

    def __init__(
        self, test: unittest.TestCase, answer: bytes, then: str
    ) -> None:
        self._answer = answer
        self._then = then
        self._listener = socket.create_server((HOST, 0), backlog=0)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.requests = self.connections = 0
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()
        test.addCleanup(self._close)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.connections += 1
                self._open.append(conn)
                if self.requests and self._then == RESETS:
                    reset_on_close(conn)
                    conn.close()
                    continue
                if self._then == SILENT:
                    self._fill()
                threading.Thread(
                    target=self._serve, args=(conn,), daemon=True
                ).start()
                if self._then == SILENT:
                    return

    def _serve(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError), conn:
            # A close with unread bytes would be a reset.
            received = b""
            while not received.endswith(BODY):
                part = conn.recv(65_536)
                if not part:
                    return
                received += part
            self.requests += 1
            conn.sendall(self._answer)
            if self._then == LISTENER_FIRST:
                self._listener.shutdown(socket.SHUT_RDWR)
                self._listener.close()
            conn.close()
            if self._then == CONNECTION_FIRST:
                time.sleep(ENDING_S)
                self._close()

    def _fill(self) -> None:
        """Leave no room in the queue of connections."""
        for _ in range(2):
            conn = socket.socket()
            conn.setblocking(False)
            conn.connect_ex(self._listener.getsockname())
            self._open.append(conn)

    def _close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for conn in self._open:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
            conn.close()


class DoubtfulEndTestCase(unittest.TestCase):
    """Forwards requests to one engine, and to a sound one after it."""

    def setUp(self) -> None:
        quiet_logs()
        self.client = HttpEngineClient()
        self.addCleanup(self.client.retain, frozenset())
        self.permits = ScriptedPermits("e1", "e2")
        self.truncated = False
        self.seconds = 0.0

    def play(
        self, to: RelayRoute, then: str, answer: bytes = NO_LENGTH + PART
    ) -> list[RelayEvent]:
        """Return what the caller gets."""
        self.first = EndingServer(self, answer, then)
        self.second = EndingServer(self, FRAMED + PART, STAYS)
        self.directory = Directory()
        self.directory.apply_routes(table(to))
        self.directory.set_engines(
            [
                engine("e1", address=self.first.address),
                engine("e2", address=self.second.address),
            ]
        )
        return self.forward()

    def forward(self, request_id: str = "r1") -> list[RelayEvent]:
        deps = RelayDependencies(
            self.directory,
            PermitAcquirer("entry@a", self.permits, self.directory),
            self.client,
            CallWatch(),
        )
        req = request(headers=((REQUEST_ID, request_id),), body=BODY)
        seen: list[RelayEvent] = []
        started = time.monotonic()
        self.truncated = False
        try:
            seen.extend(Forwarder(deps).run(req, lambda: False))
        except TruncatedAnswerError:
            self.truncated = True
        self.seconds = time.monotonic() - started
        return seen

    def assert_as_it_came(self, seen: list[RelayEvent]) -> None:
        head, *rest = seen
        assert isinstance(head, AnswerHead)
        self.assertIsNone(head.length)
        self.assertTrue(head.ends_with_connection)
        parts = [e.data for e in rest if isinstance(e, AnswerBody)]
        self.assertEqual(PART, b"".join(parts))
        self.assertFalse(self.truncated)


class StreamTest(DoubtfulEndTestCase):
    """A stream without an end of its own got one from us."""

    def test_stream_is_handed_on_as_it_came(self) -> None:
        self.assert_as_it_came(self.play(STREAM, STAYS))
        self.assertEqual("done", self.permits.released[-1])
        self.assertEqual(1, self.first.requests)

    def test_connection_is_kept_for_the_next_request(self) -> None:
        self.play(STREAM, STAYS)
        self.assertEqual(2, self.first.connections)
        self.forward()
        self.assertEqual((2, 3), (self.first.requests, self.first.connections))

    def test_engine_is_gone(self) -> None:
        for to in (STREAM, LAST_ATTEMPT):
            for then in GONE:
                with self.subTest(then, resumable=to.resumable):
                    self.play(to, then)
                    self.assertTrue(self.truncated)
                    self.assertEqual("failed", self.permits.released[-1])

    def test_engine_takes_no_further_connection(self) -> None:
        for then in UNCERTAIN:
            with self.subTest(then):
                self.assert_as_it_came(self.play(STREAM, then))
                self.assertEqual("done", self.permits.released[-1])
                self.assertLess(self.seconds, GONE_S + SLACK_S)

    def test_framed_stream_needs_no_engine(self) -> None:
        head, *_ = self.play(STREAM, LISTENER_FIRST, FRAMED + PART)
        assert isinstance(head, AnswerHead)
        self.assertFalse(head.ends_with_connection)
        self.assertFalse(self.truncated)


class PlainBodyTest(DoubtfulEndTestCase):
    """A body without a length got one from us, whole or not."""

    def test_body_is_handed_on_as_it_came(self) -> None:
        for to in (CALL, REPEATABLE):
            with self.subTest(to.kind):
                self.assert_as_it_came(self.play(to, STAYS))

    def test_error_is_handed_on_as_it_came(self) -> None:
        answer = (NO_LENGTH + PART).replace(b"200 OK", b"404 None")
        self.assert_as_it_came(self.play(CALL, STAYS, answer))

    def test_engine_is_gone(self) -> None:
        for then in GONE:
            with self.subTest(then):
                seen = self.play(CALL, then)
                self.assertIsInstance(seen[0], Failed)
                self.assertEqual("failed", self.permits.released[-1])
                self.assertEqual(0, self.second.requests)

    def test_request_that_may_run_again_goes_on_elsewhere(self) -> None:
        for then in GONE:
            with self.subTest(then):
                head, body = self.play(REPEATABLE, then)
                assert isinstance(head, AnswerHead)
                self.assertEqual(len(PART), head.length)
                self.assertEqual(AnswerBody(PART), body)
                self.assertEqual(1, self.second.requests)

    def test_framed_body_needs_no_engine(self) -> None:
        head, _ = self.play(CALL, LISTENER_FIRST, FRAMED + PART)
        assert isinstance(head, AnswerHead)
        self.assertEqual(len(PART), head.length)


if __name__ == "__main__":
    unittest.main()
