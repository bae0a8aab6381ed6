"""Streams and bodies that only the end of their connection ends."""

from __future__ import annotations

from dataclasses import dataclass, field
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import LAST_EVENT_ID, REQUEST_ID
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RawFaults
from mulberrypass.policy.messages import RefusalReason
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    TruncatedAnswerError,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.ending import PlannedEnd
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.engine.endless import HOST
from tests.quiet import captured_logs, quiet_logs
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    request,
    route,
    table,
)

if TYPE_CHECKING:
    from structlog.typing import EventDict

    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.relay.api import RelayEvent

EVENTS = 8
ENDED_AFTER = 3
ID = "r1"
EVENT_BYTES = len(event(ID, 1))
LONG_S = 30.0
# Work must stop within 0.5 s after its caller has left (rule GONE).
GONE_S = 0.5
# Callers leave a stream after a gap of 2 s.
GAP_S = 2.0


def events(first: int, last: int) -> bytes:
    """Return the bytes of consecutive events."""
    return b"".join(event(ID, n) for n in range(first, last + 1))


@dataclass(slots=True)
class Seen:
    """What a caller got.

    :ivar truncated: whether the end was visibly early
    """

    events: list[RelayEvent] = field(default_factory=list)
    truncated: bool = False
    seconds: float = 0.0

    @property
    def body(self) -> bytes:
        """The bytes of the body."""
        parts = [e.data for e in self.events if isinstance(e, AnswerBody)]
        return b"".join(parts)

    @property
    def head(self) -> AnswerHead:
        """The head of the answer."""
        assert isinstance(self.events[0], AnswerHead), self.events
        return self.events[0]


class UnframedTestCase(unittest.TestCase):
    """Forwards requests to engines on raw sockets.

    :cvar engine_count: number of engines, asked in this order
    """

    engine_count = 3

    def setUp(self) -> None:
        quiet_logs()
        self.faults = [
            RawFaults(unframed=True) for _ in range(self.engine_count)
        ]
        self.engines = [
            RawEngine(f"e{n}", HostPort(HOST, 0), EVENTS, faults=faults)
            for n, faults in enumerate(self.faults)
        ]
        for each in self.engines:
            each.start()
            self.addCleanup(each.end)
        self.client = HttpEngineClient()
        self.addCleanup(self.client.retain, frozenset())
        self.watch = CallWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)
        self.permits = ScriptedPermits(*(e.name for e in self.engines))
        self.ending = PlannedEnd()

    def forward(
        self,
        to: RelayRoute,
        leave_after_s: float = LONG_S,
        after: int | None = None,
        wait_s: float = 5.0,
    ) -> Seen:
        directory = Directory()
        directory.apply_routes(table(to))
        directory.set_engines(
            engine(each.name, address=f"{each.at.host}:{each.at.port}")
            for each in self.engines
        )
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", self.permits, directory),
            self.client,
            self.watch,
            self.ending,
        )
        started = time.monotonic()
        req = request(
            headers=((REQUEST_ID, ID),), after_event=after, wait_s=wait_s
        )
        seen = Seen()
        try:
            seen.events.extend(
                Forwarder(deps).run(
                    req, lambda: time.monotonic() - started > leave_after_s
                )
            )
        except TruncatedAnswerError:
            seen.truncated = True
        seen.seconds = time.monotonic() - started
        return seen

    @property
    def asked(self) -> list[list[str | None]]:
        """The last event ids of the requests to each engine."""
        name = LAST_EVENT_ID.lower()
        return [
            [each.headers.get(name) for each in app.requests]
            for app in self.engines
        ]

    def assert_whole(self, seen: Seen) -> None:
        self.assertEqual(
            (events(1, EVENTS), False), (seen.body, seen.truncated)
        )

    def assert_cut(self, seen: Seen, last: int = ENDED_AFTER) -> None:
        self.assertEqual((events(1, last), True), (seen.body, seen.truncated))


class ResumableStreamTest(UnframedTestCase):
    """A stream that ended between two events looked complete."""

    resumable = route(resumable=True, max_attempts=3)

    def end_first_run(self) -> None:
        self.faults[0].break_after = ENDED_AFTER * EVENT_BYTES

    def test_later_runs_bring_the_rest(self) -> None:
        for framed, attempts in ((True, 3), (False, 4)):
            with self.subTest(framed=framed):
                self.setUp()
                self.end_first_run()
                self.faults[1].unframed = not framed
                self.faults[2].unframed = not framed
                to = route(resumable=True, max_attempts=attempts)
                self.assert_whole(self.forward(to))
                self.assertEqual([None], self.asked[0])
                self.assertEqual(["2", "3"], self.asked[1][:2])

    def test_whole_stream_is_proven_by_a_second_run(self) -> None:
        for framed in (False, True):
            with self.subTest(framed=framed):
                self.setUp()
                self.faults[1].unframed = not framed
                self.assert_whole(self.forward(self.resumable))
                last = str(EVENTS - 1)
                self.assertEqual([[None], [last], []], self.asked)
                self.assertEqual(
                    [["cancelled", "done"], ["done"]], self.permits.outcomes
                )

    def test_framed_stream_needs_no_proof(self) -> None:
        self.faults[0].unframed = False
        self.assert_whole(self.forward(self.resumable))
        self.assertEqual([[None], [], []], self.asked)

    def test_only_one_engine(self) -> None:
        self.permits.grant_only("e0")
        self.assert_whole(self.forward(self.resumable))
        self.assertEqual([[None, str(EVENTS - 1)], [], []], self.asked)

    def test_single_event(self) -> None:
        for each in self.engines:
            each.events = 1
        seen = self.forward(self.resumable)
        self.assertEqual((events(1, 1), False), (seen.body, seen.truncated))
        self.assertEqual([[None], [None], []], self.asked)

    def test_end_after_the_first_event(self) -> None:
        self.faults[0].break_after = EVENT_BYTES
        self.faults[1].unframed = False
        self.assert_whole(self.forward(self.resumable))
        self.assertEqual([[None], [None, "1"], []], self.asked)

    def test_no_further_engine_may_bring_the_rest(self) -> None:
        for attempts in (1, 2):
            with self.subTest(attempts):
                self.setUp()
                self.end_first_run()
                to = route(resumable=True, max_attempts=attempts)
                self.assert_whole(self.forward(to))
                asked = [requests for requests in self.asked if requests]
                self.assertEqual(attempts, len(asked))

    def test_second_run_without_events(self) -> None:
        self.end_first_run()
        self.faults[1].resumed_bytes = 0
        self.assert_whole(self.forward(self.resumable))

    def test_second_run_ends_inside_the_last_event(self) -> None:
        self.end_first_run()
        self.faults[1].resumed_bytes = EVENT_BYTES // 2
        self.faults[2].resumed_bytes = EVENT_BYTES // 2
        self.assertTrue(self.forward(self.resumable).truncated)

    def test_second_run_fails(self) -> None:
        self.faults[1].error = 500
        self.assert_whole(self.forward(self.resumable))
        self.faults[2].error = 404
        self.assert_whole(self.forward(self.resumable))
        self.faults[0].error = 500
        self.assert_cut(self.forward(self.resumable), EVENTS)

    def test_second_run_is_refused(self) -> None:
        self.faults[1].refusals = 1
        self.assert_whole(self.forward(route(resumable=True, max_attempts=2)))

    def test_second_run_is_silent(self) -> None:
        self.engines[1].event_s = LONG_S
        seen = self.forward(self.resumable)
        self.assert_whole(seen)
        self.assertLess(seen.seconds, GAP_S)

    def test_no_engine_is_free_for_a_second_run(self) -> None:
        def fall_silent() -> None:
            self.permits.silent = len(self.permits.asks) > 1

        self.permits.on_ask = fall_silent
        seen = self.forward(self.resumable)
        self.assert_cut(seen, EVENTS)
        self.assertLess(seen.seconds, GAP_S)

    def test_caller_leaves_during_the_second_run(self) -> None:
        self.engines[1].event_s = self.engines[2].event_s = LONG_S
        leaves_s = 0.2
        seen = self.forward(self.resumable, leave_after_s=leaves_s)
        self.assert_cut(seen, EVENTS)
        self.assertLess(seen.seconds, leaves_s + GONE_S)

    def test_deadline_during_the_second_run(self) -> None:
        self.engines[1].event_s = self.engines[2].event_s = LONG_S
        seen = self.forward(self.resumable, wait_s=0.3)
        self.assert_cut(seen, EVENTS)
        self.assertLess(seen.seconds, 0.3 + GONE_S)

    def test_planned_stop_during_the_second_run(self) -> None:
        def stop() -> None:
            if len(self.permits.asks) > 1:
                self.ending.set(time.monotonic() + 0.1)

        self.permits.on_ask = stop
        self.assert_whole(self.forward(self.resumable))

    def test_resumed_run_ends_between_events(self) -> None:
        self.faults[0].break_after = EVENT_BYTES + 1
        self.faults[1].resumed_bytes = EVENT_BYTES
        self.faults[2].unframed = False
        self.assert_whole(self.forward(self.resumable))
        self.assertEqual([[None], ["1"], ["1", "2"]], self.asked)

    def test_caller_resumes_after_the_last_event(self) -> None:
        seen = self.forward(self.resumable, after=EVENTS)
        self.assertEqual((b"", False), (seen.body, seen.truncated))
        last = str(EVENTS - 1)
        self.assertEqual([[str(EVENTS)], [last], [last]], self.asked)


class LogTest(UnframedTestCase):
    """Nothing told a proven end from one in doubt."""

    def lines(self, to: RelayRoute) -> list[EventDict]:
        """Return the lines that tell how the runs of a request ended."""
        with captured_logs() as lines:
            self.forward(to)
        names = ("end in doubt", "attempt failed", "answered", "not placed")
        return [line for line in lines if line["event"] in names]

    def test_second_run(self) -> None:
        doubt, answered = self.lines(route(resumable=True))
        found = {key: doubt[key] for key in ("id", "engine", "event_number")}
        wanted = {"id": ID, "engine": "e0", "event_number": EVENTS}
        self.assertEqual(wanted, found)
        self.assertEqual("second run", answered["proof"])
        self.assertEqual(1, answered["attempts"])

    def test_framed(self) -> None:
        self.faults[0].unframed = False
        for kind in (RouteKind.STREAM, RouteKind.NON_IDEMPOTENT):
            (answered,) = self.lines(route(kind=kind))
            self.assertEqual("framed", answered["proof"])

    def test_engine_alive(self) -> None:
        for kind in (RouteKind.STREAM, RouteKind.NON_IDEMPOTENT):
            (answered,) = self.lines(route(kind=kind))
            self.assertEqual("engine alive", answered["proof"])

    def test_broken_off(self) -> None:
        self.faults[0].break_after = EVENT_BYTES
        _, failed, *_ = self.lines(route(resumable=True))
        self.assertEqual("an earlier run was broken off", failed["reason"])

    def test_no_engine_for_a_second_run(self) -> None:
        def refuse() -> None:
            if len(self.permits.asks) > 1:
                self.permits.refusal = (RefusalReason.QUEUE_FULL, 0.1)

        self.permits.on_ask = refuse
        _, placed = self.lines(route(resumable=True))
        self.assertEqual(
            "no engine for a second run: queue_full", placed["reason"]
        )


if __name__ == "__main__":
    unittest.main()
