"""Tests of refusals that a plain service writes twice, once late."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import unittest

from mulberrypass.engine.plain_client import HttpPlainService
from mulberrypass.model.outcome import Ran
from tests.known_red import known_red

DEADLINE_S = 5.0
BODY_END = b'"payload": {}}'


def answer(status: str, doc: object) -> bytes:
    """Return the bytes of an answer."""
    body = json.dumps(doc).encode()
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (
        status.encode(),
        len(body),
        body,
    )


class RepeatedRefusalTest(unittest.TestCase):
    """The copy of a refusal was taken for that of the next call."""

    @known_red(33)
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
        refusal = answer(
            "503 Service Unavailable", {"code": "full", "ran": "no"}
        )
        result = answer("200 OK", {"request_id": "r2", "result": {}})
        conn, _ = listener.accept()
        with conn, contextlib.suppress(OSError):
            for written in (refusal, refusal + result):
                received = b""
                while not received.endswith(BODY_END):
                    received += conn.recv(65_536)
                conn.sendall(written)
            conn.recv(65_536)


if __name__ == "__main__":
    unittest.main()
