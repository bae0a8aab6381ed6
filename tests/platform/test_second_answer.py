"""Tests of requests whose answer is written a second time behind it."""

from __future__ import annotations

import time
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    RelayEvent,
    TruncatedAnswerError,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.engine.endless import OK_HEAD, AnsweringServer
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    event,
    request,
    route,
    table,
)

HEAD = OK_HEAD + b"\r\n"
STREAM = event(1) + event(2) + event(3)
BODY = b"the answer"
FAST_S = 1.0


class SecondAnswerTest(unittest.TestCase):
    """A stream was cut though all had come; a body came twice."""

    def play(self, sent: bytes, kind: RouteKind) -> tuple[bytes, bool]:
        """Return the body that the caller gets, and whether it was cut."""
        server = AnsweringServer(self, sent, close=True)
        directory = Directory()
        directory.apply_routes(table(route(kind=kind)))
        directory.set_engines([engine("e1", address=server.address)])
        client = HttpEngineClient()
        self.addCleanup(client.retain, frozenset())
        permits = ScriptedPermits("e1")
        acquirer = PermitAcquirer("entry@a", permits, directory)
        deps = RelayDependencies(directory, acquirer, client, CallWatch())
        seen: list[RelayEvent] = []
        began = time.monotonic()
        try:
            seen.extend(Forwarder(deps).run(request(), lambda: False))
        except TruncatedAnswerError:
            return b"", True
        self.assertLess(time.monotonic() - began, FAST_S)
        self.assertIsInstance(seen[0], AnswerHead)
        parts = [e.data for e in seen if isinstance(e, AnswerBody)]
        return b"".join(parts), False

    def test_stream(self) -> None:
        whole = HEAD + STREAM
        for size in range(len(whole) + 1):
            with self.subTest(size):
                sent = whole + whole[:size]
                body, cut = self.play(sent, RouteKind.STREAM)
                self.assertFalse(cut)
                self.assertEqual(STREAM, body)

    def test_body(self) -> None:
        whole = HEAD + BODY
        for size in range(len(HEAD), len(whole) + 1):
            for kind in (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT):
                with self.subTest(size, kind=kind):
                    body, cut = self.play(whole + whole[:size], kind)
                    self.assertFalse(cut)
                    self.assertEqual(BODY, body)


if __name__ == "__main__":
    unittest.main()
