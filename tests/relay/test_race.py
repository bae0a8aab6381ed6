"""Tests of second runs beside one that is late."""

from __future__ import annotations

from dataclasses import replace
import threading
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import Deadline
from mulberrypass.model.outcome import Ran
from mulberrypass.model.routes import RelayCustomer, RouteKind, key_digest
from mulberrypass.policy.messages import FirstToken, RefusalReason
from mulberrypass.policy.online.repeats import SIDE_BY_SIDE_S, RepeatShares
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    TruncatedAnswerError,
)
from mulberrypass.relay.crash_guard import CrashGuard, QuarantinedError
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.quotas import (
    CustomerQuotas,
    Exceeded,
    QuotaAnswer,
    Taken,
)
from mulberrypass.relay.repeats import Repeats
from tests.known_red import known_red
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    event,
    make_dependencies,
    request,
    route,
    table,
)
from tests.relay.timed_engines import NEVER_S, Timed, TimedEngines

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.relay.api import RelayEvent, RelayRequest

# A target of 308 ms starts a second run after 154 ms.
TARGET_S = 0.308
DELAY_S = TARGET_S / 2
STREAM = route(resumable=True, target_s=TARGET_S, gap_s=0.3)
CALL = replace(STREAM, kind=RouteKind.IDEMPOTENT)
WHOLE = b"".join(event(n) for n in (1, 2, 3))
FAST = Timed([(0.01, event(1)), (0.01, event(2) + event(3))])
SILENT = Timed([(NEVER_S, b"")])
CRASH = EngineFailed("cut", Ran.MAYBE, closed=True)
# Threads of a busy machine.
SLACK_S = 0.1


class CountedQuotas(CustomerQuotas):
    """Counts what is taken and given back."""

    def __init__(self, room: int = 10) -> None:
        self.room = room
        self.taken = 0
        self.returned = 0

    def take(
        self, _customer: RelayCustomer, _deadline: Deadline
    ) -> QuotaAnswer:
        """Count one more."""
        if self.taken >= self.room:
            return Exceeded(1.0)
        self.taken += 1
        return Taken()

    def give_back(self, _customer: str) -> None:
        """Count one back."""
        self.returned += 1


class RaceCase(unittest.TestCase):
    """Runs requests through two engines of which the first is granted first.

    :ivar quotas: the customers' limits, if a test counts them
    """

    shares = RepeatShares(1.0)
    names: tuple[str, ...] = ("e1", "e2")

    def setUp(self) -> None:
        self.permits = ScriptedPermits(*self.names)
        self.guard = CrashGuard()
        self.quotas: CountedQuotas | None = None
        self.leave = threading.Event()

    def make(self, engines: TimedEngines, *routes: Any) -> RelayDependencies:
        deps = make_dependencies(
            engines, self.permits, *(routes or (STREAM,)), guard=self.guard
        )
        deps.directory.set_engines([engine(name) for name in self.names])
        repeats = Repeats(self.shares)
        self.addCleanup(repeats.stop)
        deps = replace(deps, repeats=repeats)
        if self.quotas is not None:
            customer = RelayCustomer("c1", rate_per_s=1.0, burst=1.0)
            deps.directory.apply_routes(
                replace(
                    table(*(routes or (STREAM,)), version=2),
                    customers={"c1": customer},
                    keys={key_digest("k1"): "c1"},
                )
            )
            deps = replace(deps, quotas=self.quotas)
        deps.watch.start()
        self.addCleanup(deps.watch.stop)
        return deps

    def run_one(
        self, deps: RelayDependencies, req: RelayRequest | None = None
    ) -> tuple[bytes, list[RelayEvent], bool]:
        """Return the body, all events, and whether it was truncated."""
        events: list[RelayEvent] = []
        cut = False
        try:
            forwarder = Forwarder(deps)
            events.extend(
                forwarder.run(req or request(key="k1"), self.leave.is_set)
            )
        except TruncatedAnswerError:
            cut = True
        body = b"".join(e.data for e in events if isinstance(e, AnswerBody))
        return body, events, cut

    def settle(self, holds: Callable[[], bool]) -> None:
        """Wait until something holds that another thread does."""
        until = time.monotonic() + 2.0
        while not holds() and time.monotonic() < until:
            time.sleep(0.005)
        self.assertTrue(holds())

    def counts(self, deps: RelayDependencies) -> dict[str, int]:
        found = deps.repeats.counts()
        return {str(name): count for (_, name), count in found.items()}


class FirstEventTest(RaceCase):
    """One engine of two is late: its requests were late by a second."""

    def test_second_wins_while_the_first_is_silent(self) -> None:
        engines = TimedEngines(e1=[SILENT], e2=[FAST])
        deps = self.make(engines)
        start = time.monotonic()
        body, events, cut = self.run_one(deps)
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body)
        self.assertLess(time.monotonic() - start, DELAY_S + 2 * SLACK_S)
        heads = [e for e in events if isinstance(e, AnswerHead)]
        self.assertEqual(1, len(heads))
        first, second = engines.calls
        self.assertEqual(("e1", "e2"), (first.engine, second.engine))
        self.assertGreaterEqual(second.sent_at - first.sent_at, 0.9 * DELAY_S)
        self.assertIsNotNone(first.closed_at)
        self.assertTrue(self.permits.asks[1].repeat)
        self.assertIn("e1", self.permits.asks[1].avoid)
        self.assertEqual({"started": 1, "won": 1}, self.counts(deps))

    def test_loser_is_not_judged_as_failed_before_the_target(self) -> None:
        self.run_one(self.make(TimedEngines(e1=[SILENT], e2=[FAST])))
        self.assertEqual([["cancelled"], ["done"]], self.permits.outcomes)
        first_ask = self.permits.asks[0].ask_id
        reported = [
            m.after_s
            for m in self.permits.told
            if isinstance(m, FirstToken) and m.ask_id == first_ask
        ]
        self.assertEqual(1, len(reported))
        self.assertGreater(reported[0], DELAY_S)

    def test_engine_without_an_event_in_time_has_failed(self) -> None:
        late = Timed([(0.25, event(1) + event(2) + event(3))])
        self.run_one(self.make(TimedEngines(e1=[SILENT], e2=[late])))
        self.assertEqual([["failed"], ["done"]], self.permits.outcomes)

    def test_first_wins_and_the_second_is_stopped_at_once(self) -> None:
        slow = Timed([(DELAY_S + 0.1, event(1)), (0.1, event(2) + event(3))])
        engines = TimedEngines(e1=[slow], e2=[SILENT])
        deps = self.make(engines)
        body, _, cut = self.run_one(deps)
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body)
        second = engines.of("e2")[0]
        self.settle(lambda: second.closed_at is not None)
        assert second.closed_at is not None
        self.assertLess(second.closed_at - second.sent_at, SIDE_BY_SIDE_S)
        self.settle(lambda: len(self.permits.outcomes) == 2)
        self.assertEqual(
            ["cancelled", "done"], sorted(o[0] for o in self.permits.outcomes)
        )
        self.assertEqual({"started": 1, "lost": 1}, self.counts(deps))

    def test_first_is_stopped_after_0_3_s_without_a_winner(self) -> None:
        late = Timed([(0.5, event(1) + event(2) + event(3))])
        engines = TimedEngines(e1=[SILENT], e2=[late])
        body, _, cut = self.run_one(self.make(engines))
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body)
        first, second = engines.calls
        assert first.closed_at is not None
        beside_s = first.closed_at - second.sent_at
        self.assertLess(beside_s, SIDE_BY_SIDE_S + SLACK_S)
        self.assertGreater(beside_s, SIDE_BY_SIDE_S - SLACK_S)

    def test_no_more_engines_than_max_attempts(self) -> None:
        names = ("e1", "e2", "e3", "e4")
        for most in (1, 2, 3):
            with self.subTest(max_attempts=most):
                self.permits = ScriptedPermits(*names)
                silent: dict[str, list[Timed | EngineFailed]]
                silent = {name: [SILENT] for name in names}
                engines = TimedEngines(**silent)
                limited = replace(STREAM, max_attempts=most, timeout_s=1.2)
                self.names = names
                body, _, cut = self.run_one(self.make(engines, limited))
                self.assertEqual((b"", True), (body, cut))
                self.assertEqual(most, len(engines.calls))

    def test_both_fail(self) -> None:
        broken = Timed([(DELAY_S + 0.1, CRASH)])
        also = Timed([(0.2, CRASH)])
        engines = TimedEngines(e1=[broken], e2=[also])
        body, _, cut = self.run_one(self.make(engines))
        self.assertEqual((b"", True), (body, cut))
        self.assertEqual(2, len(engines.calls))
        self.settle(lambda: len(self.permits.outcomes) == 2)
        self.assertEqual([["failed"], ["failed"]], self.permits.outcomes)

    def test_second_fails_and_the_first_goes_on(self) -> None:
        slow = Timed([(DELAY_S + 0.5, event(1)), (0.0, event(2) + event(3))])
        engines = TimedEngines(e1=[slow], e2=[Timed([(0.02, CRASH)])])
        deps = self.make(engines)
        body, _, _ = self.run_one(deps)
        self.assertEqual(WHOLE, body)
        self.assertIsNone(engines.of("e1")[0].closed_at)
        self.assertEqual({"started": 1, "failed": 1}, self.counts(deps))

    def test_first_crashes_before_the_second_has_an_event(self) -> None:
        crashing = Timed([(DELAY_S + 0.05, CRASH)])
        late = Timed([(0.2, event(1)), (0.0, event(2) + event(3))])
        engines = TimedEngines(e1=[crashing], e2=[late])
        body, _, cut = self.run_one(self.make(engines))
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body)
        self.assertEqual(["e1", "e2"], [c.engine for c in engines.calls])
        self.assertEqual([["failed"], ["done"]], self.permits.outcomes)


class RefusedTest(RaceCase):
    """A second run that is refused changes nothing for the first."""

    slow = Timed([(0.5, event(1) + event(2) + event(3))])

    def test_owner_has_no_room_to_spare(self) -> None:
        engines = TimedEngines(e1=[self.slow], e2=[FAST])
        deps = self.make(engines)

        def refuse_from_now_on() -> None:
            if len(self.permits.asks) == 2:
                self.permits.refusal = (RefusalReason.NO_SPARE, 0.0)

        self.permits.on_ask = refuse_from_now_on
        body, _, _ = self.run_one(deps)
        self.assertEqual(WHOLE, body)
        self.assertEqual(1, len(engines.calls))
        self.assertEqual(["done"], self.permits.released)
        self.assertEqual({"refused_by_pressure": 1}, self.counts(deps))
        saved = deps.repeats.state()["services"]["rackmind"]["saved"]
        self.assertEqual(2.0, saved)

    def test_no_permit_until_the_first_has_answered(self) -> None:
        engines = TimedEngines(e1=[self.slow], e2=[FAST])
        deps = self.make(engines)

        def be_silent_from_now_on() -> None:
            self.permits.silent = len(self.permits.asks) == 2

        self.permits.on_ask = be_silent_from_now_on
        body, _, _ = self.run_one(deps)
        self.assertEqual(WHOLE, body)
        self.assertEqual(1, len(engines.calls))
        self.settle(lambda: self.counts(deps) == {"refused_otherwise": 1})

    def test_budget_is_used_up(self) -> None:
        self.shares = RepeatShares(0.01)
        engines = TimedEngines(e1=[self.slow], e2=[FAST])
        deps = self.make(engines)
        self.run_one(deps)
        self.run_one(deps)
        self.run_one(deps)
        self.assertEqual(1, len(engines.of("e2")))
        self.assertEqual(2, self.counts(deps)["refused_by_budget"])

    def test_share_0_does_nothing(self) -> None:
        self.shares = RepeatShares(0.0, {"other": 0.5})
        engines = TimedEngines(e1=[self.slow], e2=[FAST])
        deps = self.make(engines)
        body, _, _ = self.run_one(deps)
        self.assertEqual(WHOLE, body)
        self.assertEqual(1, len(engines.calls))
        self.assertEqual({}, deps.repeats.state()["services"])

    def test_without_any_share_there_are_no_threads(self) -> None:
        before = threading.active_count()
        self.shares = RepeatShares()
        deps = self.make(TimedEngines(e1=[self.slow], e2=[FAST]))
        self.run_one(deps)
        # The watch of calls has one.
        self.assertLessEqual(threading.active_count(), before + 1)

    def test_process_that_stops_soon_starts_none(self) -> None:
        engines = TimedEngines(e1=[self.slow], e2=[FAST])
        deps = self.make(engines)
        deps.ending.note("lookup", 20, 2.0)
        timer = threading.Timer(
            DELAY_S / 2, lambda: deps.ending.set(time.monotonic() + 1.0)
        )
        timer.start()
        body, _, _ = self.run_one(deps)
        self.assertEqual(WHOLE, body)
        self.assertEqual(1, len(engines.calls))


class NotRepeatableTest(RaceCase):
    """Work that may run once ran twice."""

    def test_only_repeatable_work_gets_a_second_run(self) -> None:
        slow = Timed([(0.4, WHOLE)])
        for kind, resumable in (
            (RouteKind.STREAM, False),
            (RouteKind.NON_IDEMPOTENT, True),
        ):
            with self.subTest(kind=kind):
                engines = TimedEngines(e1=[slow], e2=[FAST])
                once = replace(
                    STREAM, kind=kind, resumable=resumable, max_attempts=3
                )
                body, _, _ = self.run_one(self.make(engines, once))
                self.assertEqual(WHOLE, body)
                self.assertEqual(1, len(engines.calls))

    def test_none_after_a_connection_has_ended(self) -> None:
        self.names = ("e1", "e2", "e3")
        self.permits = ScriptedPermits(*self.names)
        engines = TimedEngines(
            e1=[CRASH], e2=[Timed([(0.5, WHOLE)])], e3=[FAST]
        )
        patient = replace(STREAM, max_attempts=3)
        body, _, _ = self.run_one(self.make(engines, patient))
        self.assertEqual(WHOLE, body)
        self.assertEqual([], engines.of("e3"))

    def test_none_for_a_request_in_quarantine(self) -> None:
        engines = TimedEngines(e1=[Timed([(0.4, WHOLE)])], e2=[FAST])
        deps = self.make(engines)

        def check(*_: object) -> None:
            if engines.calls:
                raise QuarantinedError("request_crashes_engines", ("e9",))

        self.guard.check = check  # type: ignore[assignment]
        body, _, _ = self.run_one(deps)
        self.assertEqual(WHOLE, body)
        self.assertEqual(1, len(engines.calls))
        self.assertEqual({"refused_otherwise": 1}, self.counts(deps))


class CallTest(RaceCase):
    """A late call without a stream: its whole answer is its first event."""

    def test_second_wins(self) -> None:
        engines = TimedEngines(
            e1=[Timed([(0.1, b"half"), (NEVER_S, b"")])],
            e2=[Timed([(0.01, b"who"), (0.01, b"le")])],
        )
        body, events, _ = self.run_one(self.make(engines, CALL))
        self.assertEqual(b"whole", body)
        self.assertEqual(AnswerHead(200, (("X-Stamp", "e2"),), 5), events[0])
        self.assertIsNotNone(engines.of("e1")[0].closed_at)
        self.assertEqual([["cancelled"], ["done"]], self.permits.outcomes)

    def test_slow_call_is_no_late_first_event(self) -> None:
        """Owners judge calls by their ends while none has first events."""
        late = Timed([(0.3, b"whole")])
        for head_s, outcome in ((0.0, "cancelled"), (NEVER_S, "failed")):
            with self.subTest(head_s=head_s):
                self.permits = ScriptedPermits(*self.names)
                silent = Timed([(NEVER_S, b"")], head_s=head_s)
                engines = TimedEngines(e1=[silent], e2=[late])
                body, _, _ = self.run_one(self.make(engines, CALL))
                self.assertEqual(b"whole", body)
                self.assertEqual([[outcome], ["done"]], self.permits.outcomes)
                told = [type(m) for m in self.permits.told]
                self.assertNotIn(FirstToken, told)

    def test_first_wins(self) -> None:
        engines = TimedEngines(
            e1=[Timed([(0.25, b"whole")])], e2=[Timed([(NEVER_S, b"")])]
        )
        body, _, _ = self.run_one(self.make(engines, CALL))
        self.assertEqual(b"whole", body)
        self.settle(lambda: engines.of("e2")[0].closed_at is not None)

    def test_second_that_answers_an_error_does_not_win(self) -> None:
        engines = TimedEngines(
            e1=[Timed([(0.3, b"whole")])],
            e2=[Timed([(0.0, b"broken")], status=500)],
        )
        body, _, _ = self.run_one(self.make(engines, CALL))
        self.assertEqual(b"whole", body)


class PauseTest(RaceCase):
    """A stream that stands still in the middle: pauses near 2 s."""

    def test_second_run_resumes_after_the_last_event(self) -> None:
        stalled = Timed([(0.01, event(1) + event(2)), (NEVER_S, b"")])
        rest = Timed([(0.01, event(3))])
        engines = TimedEngines(e1=[stalled], e2=[rest])
        start = time.monotonic()
        body, _, cut = self.run_one(self.make(engines))
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body)
        # Half of the pause in time, 300 ms.
        self.assertLess(time.monotonic() - start, 0.17 + 2 * SLACK_S)
        self.assertEqual([None, 2], [c.req.after_event for c in engines.calls])
        self.assertEqual([["cancelled"], ["done"]], self.permits.outcomes)

    def test_part_of_an_event_of_the_loser_is_dropped(self) -> None:
        part = event(3)[:4]
        stalled = Timed([(0.0, event(1) + event(2) + part), (NEVER_S, b"")])
        rest = Timed([(0.01, event(3))])
        engines = TimedEngines(e1=[stalled], e2=[rest])
        body, _, cut = self.run_one(self.make(engines))
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body)

    def test_slow_caller_is_no_pause_of_the_engine(self) -> None:
        engines = TimedEngines(e1=[FAST], e2=[FAST])
        deps = self.make(engines)
        events = Forwarder(deps).run(request(key="k1"), lambda: False)
        for _ in events:
            time.sleep(0.25)
        self.assertEqual(1, len(engines.calls))

    def test_none_while_the_end_is_in_doubt(self) -> None:
        unframed = Timed([(0.0, WHOLE)], unframed=True)
        slow_proof = Timed([(0.35, event(3))], unframed=True)
        engines = TimedEngines(e1=[unframed], e2=[slow_proof], e3=[slow_proof])
        self.names = ("e1", "e2", "e3")
        self.permits = ScriptedPermits(*self.names)
        patient = replace(STREAM, max_attempts=3)
        body, _, _ = self.run_one(self.make(engines, patient))
        self.assertEqual(WHOLE, body)
        self.assertEqual(["e1", "e2"], [c.engine for c in engines.calls])

    def test_second_is_given_up_once_the_end_is_in_doubt(self) -> None:
        """Events behind the one in doubt would come without it."""
        unframed = Timed([(0.0, WHOLE), (0.25, b"")], unframed=True)
        proof = Timed([(0.0, event(3))], unframed=True)
        engines = TimedEngines(e1=[unframed], e2=[SILENT], e3=[proof])
        self.names = ("e1", "e2", "e3")
        self.permits = ScriptedPermits(*self.names)
        self.permits.on_ask = lambda: (
            self.permits.grant_only("e3")
            if len(self.permits.asks) == 3
            else None
        )
        patient = replace(STREAM, max_attempts=3)
        body, _, cut = self.run_one(self.make(engines, patient))
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body)
        asked = [(c.engine, c.req.after_event) for c in engines.calls]
        self.assertEqual([("e1", None), ("e2", 3), ("e3", 2)], asked)
        self.assertIsNotNone(engines.of("e2")[0].closed_at)

    def test_failed_first_run_is_closed_while_the_second_works(self) -> None:
        """Its engine went on for as long as the second took."""
        failing = Timed([(DELAY_S + 0.05, CRASH)])
        late = Timed([(0.5, WHOLE)])
        engines = TimedEngines(e1=[failing], e2=[late])
        body, _, _ = self.run_one(self.make(engines))
        self.assertEqual(WHOLE, body)
        first, second = engines.calls
        assert first.ended_at is not None
        self.assertLess(first.ended_at - second.sent_at, 0.05 + SLACK_S)


class CallerLeavesTest(RaceCase):
    """A caller leaves while two engines work for it."""

    @known_red(33, at_times=True)
    def test_both_runs_end(self) -> None:
        engines = TimedEngines(e1=[SILENT], e2=[SILENT])
        deps = self.make(engines)
        timer = threading.Timer(DELAY_S + 0.1, self.leave.set)
        timer.start()
        self.addCleanup(timer.cancel)
        self.run_one(deps)
        left_at = time.monotonic()
        self.settle(lambda: all(c.closed_at for c in engines.calls))
        self.assertEqual(2, len(engines.calls))
        self.assertLess(time.monotonic() - left_at, 0.5)
        self.settle(lambda: len(self.permits.outcomes) == 2)
        self.assertEqual([["cancelled"], ["cancelled"]], self.permits.outcomes)


class QuotaTest(RaceCase):
    """Second runs use their customer's limit too."""

    def test_one_more_token(self) -> None:
        self.quotas = CountedQuotas()
        self.run_one(self.make(TimedEngines(e1=[SILENT], e2=[FAST])))
        self.assertEqual((2, 0), (self.quotas.taken, self.quotas.returned))

    def test_token_is_returned_if_the_second_run_never_ran(self) -> None:
        not_run = EngineFailed("no connection", Ran.NO)
        slow = Timed([(0.4, WHOLE)])
        self.quotas = CountedQuotas()
        self.run_one(self.make(TimedEngines(e1=[slow], e2=[not_run])))
        self.assertEqual((2, 1), (self.quotas.taken, self.quotas.returned))

    def test_token_is_returned_if_no_engine_is_granted(self) -> None:
        slow = Timed([(0.4, WHOLE)])
        self.quotas = CountedQuotas()
        deps = self.make(TimedEngines(e1=[slow], e2=[FAST]))
        self.permits.on_ask = lambda: self.permits.grant_only("e1")
        self.run_one(deps)
        self.assertEqual((2, 1), (self.quotas.taken, self.quotas.returned))

    def test_no_second_run_beyond_the_limit(self) -> None:
        slow = Timed([(0.4, WHOLE)])
        self.quotas = CountedQuotas(room=1)
        engines = TimedEngines(e1=[slow], e2=[FAST])
        body, _, _ = self.run_one(self.make(engines))
        self.assertEqual(WHOLE, body)
        self.assertEqual(1, len(engines.calls))
        self.assertEqual((1, 0), (self.quotas.taken, self.quotas.returned))
