"""Tests of requests forwarded to an engine whose bytes never end."""

from __future__ import annotations

from dataclasses import dataclass, replace
import time
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.relay import due_times
from mulberrypass.relay.api import (
    AnswerBody,
    Failed,
    RelayEvent,
    TruncatedAnswerError,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.engine.endless import (
    CHUNKED,
    NO_LENGTH,
    AnsweringServer,
    Bytes,
    EndlessServer,
)
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

TRICKLE_S = 0.02
SILENCE_S = 0.15
WAIT_S = 0.6
SLACK_S = 0.3
# Well above what a flood takes, well below the deadline of its request.
FAST_S = 1.5
LONG_S = 10.0
CUT_S = 0.5
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Mulberrypass-Not-Run: 1\r\n"
REST = event(2) + event(3)
WHOLE = event(1) + REST
# Bytes of one engine, and what another one has to add.
STREAMS = {
    "head": (Bytes(b"", b"x"), WHOLE),
    "event": (Bytes(NO_LENGTH + event(1), b"data: x\n"), REST),
    "comments": (Bytes(NO_LENGTH + event(1), b": x\n\n"), REST),
    "same id": (Bytes(NO_LENGTH, event(1)), REST),
    "chunks": (Bytes(CHUNKED, b"30\r\ndata: " + b"x" * 41 + b"\n\r\n"), WHOLE),
}
# An event that never ends, and a head.
TRICKLES = ("head", "event", "chunks")
RESUMABLE = route(resumable=True, timeout_s=LONG_S)
ONCE = route(timeout_s=LONG_S)
REPEATED = route(kind=RouteKind.IDEMPOTENT, timeout_s=LONG_S)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the caller saw, and after what time."""

    events: list[RelayEvent]
    truncated: bool
    elapsed_s: float
    released: list[str]

    @property
    def body(self) -> bytes:
        """The bytes of the body."""
        parts = [e.data for e in self.events if isinstance(e, AnswerBody)]
        return b"".join(parts)


class EndlessAnswerTestCase(unittest.TestCase):
    """Forwards requests to an endless engine, and then to a sound one."""

    def setUp(self) -> None:
        silence = patch.object(due_times, "SILENCE_TIMEOUT_S", SILENCE_S)
        silence.start()
        self.addCleanup(silence.stop)
        self.watch = CallWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)

    def play(
        self,
        to: RelayRoute,
        sent: Bytes,
        answer: bytes = WHOLE,
        wait_s: float = LONG_S,
        leave_after_s: float = LONG_S,
    ) -> Outcome:
        """Forward one request; the caller may leave before its end."""
        endless = EndlessServer(self, sent)
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(answer), answer)
        sound = AnsweringServer(self, CHUNKED + chunk, close=True)
        directory = Directory()
        directory.apply_routes(table(to))
        directory.set_engines(
            [
                engine("e1", address=endless.address),
                engine("e2", address=sound.address),
            ]
        )
        permits = ScriptedPermits("e1", "e2")
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", permits, directory),
            HttpEngineClient(),
            self.watch,
        )
        started = time.monotonic()
        seen: list[RelayEvent] = []
        truncated = False
        try:
            seen.extend(
                Forwarder(deps).run(
                    request(wait_s=wait_s),
                    lambda: time.monotonic() - started > leave_after_s,
                )
            )
        except TruncatedAnswerError:
            truncated = True
        elapsed_s = time.monotonic() - started
        self.assertTrue(endless.closed.wait(CUT_S))
        return Outcome(seen, truncated, elapsed_s, permits.released)

    def assert_complete(self, outcome: Outcome, first: str) -> None:
        self.assertFalse(outcome.truncated)
        self.assertEqual(WHOLE, outcome.body)
        self.assertEqual([first, "done"], outcome.released)
        self.assertLess(outcome.elapsed_s, FAST_S)

    def assert_failed(self, outcome: Outcome) -> None:
        """Assert an end without a promise that the request never ran."""
        if not outcome.truncated:
            self.assertEqual(1, len(outcome.events))
            self.assertIsInstance(outcome.events[0], Failed)
        self.assertEqual(1, len(outcome.released))


class EndlessStreamTest(EndlessAnswerTestCase):
    """Bytes that never become an event held a stream at its engine.

    Each read succeeded, so that the engine never counted as silent.
    """

    def test_repeatable_request_leaves_a_flood(self) -> None:
        for name, (sent, answer) in STREAMS.items():
            with self.subTest(name):
                outcome = self.play(RESUMABLE, sent, answer)
                self.assert_complete(outcome, "failed")

    def test_repeatable_request_leaves_a_trickle(self) -> None:
        for name in TRICKLES:
            sent, answer = STREAMS[name]
            with self.subTest(name):
                slow = replace(sent, pause_s=TRICKLE_S)
                outcome = self.play(RESUMABLE, slow, answer)
                self.assert_complete(outcome, "failed")

    def test_other_request_ends_soon_in_a_flood(self) -> None:
        for name, (sent, _) in STREAMS.items():
            with self.subTest(name):
                outcome = self.play(ONCE, sent)
                self.assert_failed(outcome)
                self.assertEqual(["failed"], outcome.released)
                self.assertLess(outcome.elapsed_s, FAST_S)

    def test_other_request_ends_at_its_deadline_in_a_trickle(self) -> None:
        for name in TRICKLES:
            with self.subTest(name):
                slow = replace(STREAMS[name][0], pause_s=TRICKLE_S)
                outcome = self.play(ONCE, slow, wait_s=WAIT_S)
                self.assert_failed(outcome)
                self.assertGreater(outcome.elapsed_s, WAIT_S - SLACK_S)
                self.assertLess(outcome.elapsed_s, WAIT_S + SLACK_S)

    def test_close_of_the_caller_ends_a_trickle(self) -> None:
        for name in TRICKLES:
            with self.subTest(name):
                slow = replace(STREAMS[name][0], pause_s=TRICKLE_S)
                outcome = self.play(ONCE, slow, leave_after_s=SILENCE_S)
                self.assert_failed(outcome)
                self.assertLess(outcome.elapsed_s, SILENCE_S + CUT_S)


class EndlessBodyTest(EndlessAnswerTestCase):
    """Bodies that are forwarded whole, or not at all."""

    def test_repeatable_request_leaves_a_flood(self) -> None:
        outcome = self.play(REPEATED, Bytes(NO_LENGTH, b"x"))
        self.assert_complete(outcome, "failed")

    def test_repeatable_request_leaves_a_trickle(self) -> None:
        sent = Bytes(NO_LENGTH, b"x", TRICKLE_S)
        outcome = self.play(REPEATED, sent, wait_s=WAIT_S)
        self.assert_complete(outcome, "failed")
        self.assertLess(outcome.elapsed_s, WAIT_S)

    def test_other_request_ends_at_its_deadline_in_a_trickle(self) -> None:
        once = route(kind=RouteKind.NON_IDEMPOTENT, timeout_s=LONG_S)
        sent = Bytes(NO_LENGTH, b"x", TRICKLE_S)
        outcome = self.play(once, sent, wait_s=WAIT_S)
        self.assert_failed(outcome)
        self.assertLess(outcome.elapsed_s, WAIT_S + SLACK_S)

    def test_request_that_did_not_run_waits_for_no_body(self) -> None:
        length = b"Content-Length: 5\r\n\r\n"
        cases = {
            "flood": (Bytes(NOT_RUN + b"\r\n", b"x"), "failed"),
            "trickle": (Bytes(NOT_RUN + b"\r\n", b"x", TRICKLE_S), "unused"),
            "silence": (Bytes(NOT_RUN + length, b""), "unused"),
        }
        for to in (ONCE, RESUMABLE):
            for name, (sent, released) in cases.items():
                with self.subTest(name, route=to.kind):
                    outcome = self.play(to, sent)
                    self.assert_complete(outcome, released)
                    self.assertLess(outcome.elapsed_s, SLACK_S)


if __name__ == "__main__":
    unittest.main()
