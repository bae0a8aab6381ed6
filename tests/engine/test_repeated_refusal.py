"""Tests of answers that a service or an engine writes twice, once late."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.api import GenerationRequest, LoadOrder
from mulberrypass.engine.model_client import HttpModelEngine
from mulberrypass.engine.plain_client import HttpPlainService
from mulberrypass.engine.wire import WRONG_CALL
from mulberrypass.model.outcome import Ran

if TYPE_CHECKING:
    from typing import BinaryIO

DEADLINE_S = 5.0
BODY_END = b'"payload": {}}'
ID_LINE = b"X-Request-Id: "


def answer(status: str, doc: object, call_id: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    body = json.dumps(doc).encode()
    line = ID_LINE + call_id + b"\r\n" if call_id else b""
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status.encode(),
        line,
        len(body),
        body,
    )


REFUSAL = ("503 Service Unavailable", {"code": "full", "ran": "no"})
POISONED = ("422 Unprocessable Entity", {"code": "bad", "ran": "yes"})
ACCEPTED = ("200 OK", {"highest": 1})


class RepeatedRefusalTest(unittest.TestCase):
    """The copy of a refusal was taken for that of the next call."""

    def test_call_that_runs_is_not_said_not_to_have_run(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        thread = threading.Thread(target=self.serve, args=(listener,))
        thread.start()
        self.addCleanup(thread.join)
        port = listener.getsockname()[1]
        service = HttpPlainService(f"127.0.0.1:{port}")
        self.addCleanup(service.close)
        self.assertIs(Ran.NO, service.call("r1", {}, DEADLINE_S).error.ran)
        second = service.call("r2", {}, DEADLINE_S)
        if second.is_error():
            self.assertIsNot(Ran.NO, second.error.ran)

    def serve(self, listener: socket.socket) -> None:
        """Refuse the first call, once more at the second, then run that."""
        refusal = answer(*REFUSAL)
        result = answer("200 OK", {"request_id": "r2", "result": {}})
        conn, _ = listener.accept()
        with conn, contextlib.suppress(OSError):
            for written in (refusal, refusal + result):
                received = b""
                while not received.endswith(BODY_END):
                    received += conn.recv(65_536)
                conn.sendall(written)
            conn.recv(65_536)


class RepeatingServer:
    """Answers each connection's first request, and copies it at the second.

    :param first: status and document of that answer
    :param echoes: whether answers bear the ids of their calls
    :ivar connections: number of connections on which a request arrived
    """

    def __init__(
        self,
        test: unittest.TestCase,
        first: tuple[str, object],
        echoes: bool = True,
    ) -> None:
        self._first = first
        self._echoes = echoes
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        test.addCleanup(thread.join)
        test.addCleanup(self._listener.close)
        test.addCleanup(self._listener.shutdown, socket.SHUT_RDWR)

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        with (
            conn,
            conn.makefile("rb") as sent,
            contextlib.suppress(OSError),
        ):
            call_id = _read_request(sent)
            self.connections += 1
            copied = answer(*self._first, call_id if self._echoes else b"")
            while call_id:
                conn.sendall(copied)
                call_id = _read_request(sent)


def _read_request(sent: BinaryIO) -> bytes:
    """Read a whole request and return the id of its call."""
    if not sent.readline():
        return b""
    head = http.client.parse_headers(sent)
    sent.read(int(head["Content-Length"]))
    return str(head["X-Request-Id"]).encode()


class CopyOfFailureTest(unittest.TestCase):
    """The copy of an error said that the next call can never be done."""

    def test_copy_is_no_answer_to_the_next_call(self) -> None:
        for first in (REFUSAL, POISONED):
            for echoes in (True, False):
                with self.subTest(first, echoes=echoes):
                    server = RepeatingServer(self, first, echoes)
                    service = HttpPlainService(server.address)
                    self.addCleanup(service.close)
                    for ran in (Ran(first[1]["ran"]), Ran.MAYBE):
                        failed = service.call("r1", {}, DEADLINE_S).error
                        self.assertIs(ran, failed.ran)
                    self.assertEqual(1, server.connections)
                    self.assertFalse(failed.permanent)
                    self.assertEqual(echoes, failed is WRONG_CALL)

    def test_copy_is_no_answer_to_the_next_generation(self) -> None:
        server = RepeatingServer(self, REFUSAL)
        engine = HttpModelEngine(server.address)
        self.addCleanup(engine.close)
        req = GenerationRequest("r1", "m", "1", "a b", 4)
        for ran in (Ran.NO, Ran.MAYBE):
            *_, last = engine.generate(req, DEADLINE_S)
            self.assertIs(ran, last.error.ran)


class CopyOfAcceptanceTest(unittest.TestCase):
    """The copy of an answer passed for the next order's acceptance."""

    def test_order_is_sent_again_on_a_new_connection(self) -> None:
        for echoes in (True, False):
            with self.subTest(echoes=echoes):
                server = RepeatingServer(self, ACCEPTED, echoes)
                engine = HttpModelEngine(server.address)
                self.addCleanup(engine.close)
                for count in (1, 2):
                    order = LoadOrder("m", f"v{count}", ())
                    self.assertTrue(engine.order(order, 1).is_ok())
                    self.assertEqual(count, server.connections)


if __name__ == "__main__":
    unittest.main()
