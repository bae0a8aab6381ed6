"""Unframed answers of sound engines that take no further connection."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.relay.api import AnswerHead, TruncatedAnswerError
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from mulberrypass.runtime.sockets import reset_on_close
from tests.engine.endless import HOST, NO_LENGTH
from tests.quiet import quiet_logs
from tests.relay.fakes import ScriptedPermits, engine, request, table
from tests.relay.test_doubtful_ends import (
    BODY,
    CALL,
    FRAMED,
    PART,
    STREAM,
    DoubtfulEndTestCase,
)

if TYPE_CHECKING:
    from mulberrypass.relay.api import RelayEvent

TAKEN = 2


class FullServer:
    """Takes two connections, and resets others, as all are in use.

    The first one stays open. The second ends its unframed answer, and its
    place is another caller's at once.

    :ivar reset: connections that were reset
    """

    def __init__(self, test: unittest.TestCase) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.reset = 0
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()
        test.addCleanup(self._close)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                if len(self._open) >= TAKEN:
                    self.reset += 1
                    reset_on_close(conn)
                    conn.close()
                    continue
                self._open.append(conn)
                first = len(self._open) == 1
                threading.Thread(
                    target=self._serve, args=(conn, first), daemon=True
                ).start()

    def _serve(self, conn: socket.socket, first: bool) -> None:
        with contextlib.suppress(OSError), conn:
            while True:
                received = b""
                while not received.endswith(BODY):
                    part = conn.recv(65_536)
                    if not part:
                        return
                    received += part
                answer = (FRAMED if first else NO_LENGTH) + PART
                if b"r2" in received:
                    answer = answer.replace(b"r1", b"r2")
                conn.sendall(answer)
                if not first:
                    return

    def _close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for conn in self._open:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
            conn.close()


class FullEngineTest(DoubtfulEndTestCase):
    """An engine with all its connections in use counted as gone."""

    def ask(self, request_id: str) -> list[RelayEvent]:
        """Return what the caller of one request gets."""
        deps = RelayDependencies(
            self.directory,
            PermitAcquirer("entry@a", self.permits, self.directory),
            self.client,
            CallWatch(),
        )
        req = request(
            request_id=request_id,
            headers=((REQUEST_ID, request_id),),
            body=BODY,
        )
        seen: list[RelayEvent] = []
        self.truncated = False
        try:
            seen.extend(Forwarder(deps).run(req, lambda: False))
        except TruncatedAnswerError:
            self.truncated = True
        return seen

    def test_engine_still_answers(self) -> None:
        for to in (STREAM, CALL):
            with self.subTest(to.kind):
                quiet_logs()
                self.client = HttpEngineClient()
                self.addCleanup(self.client.retain, frozenset())
                self.permits = ScriptedPermits("e1")
                server = FullServer(self)
                self.directory = Directory()
                self.directory.apply_routes(table(to))
                self.directory.set_engines(
                    [engine("e1", address=server.address)]
                )
                self.assertIsInstance(self.ask("r1")[0], AnswerHead)
                # The same id goes to a new connection.
                seen = self.ask("r1")
                truncated = self.truncated
                # The engine lives, and answers on the connection it has.
                self.assertIsInstance(self.ask("r2")[0], AnswerHead)
                # A connection that is open shows it; no other is asked for.
                self.assertEqual(0, server.reset)
                self.assertIsInstance(seen[0], AnswerHead, seen)
                self.assertFalse(truncated)
                self.assertEqual(["done"] * 3, self.permits.released)


if __name__ == "__main__":
    unittest.main()
