"""Tests of retries, resumes, hedges and refusals of one request."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.api import EngineFailed, Finished, Tokens
from mulberrypass.model.outcome import Ran
from mulberrypass.online.call import Completed, Failed, Shown
from mulberrypass.online.course import Course, Tools, new_ask_numbers
from mulberrypass.online.shared import SharedPolicy
from mulberrypass.policy.messages import RefusalReason, Refuse, ReleaseOutcome
from mulberrypass.policy.online.hedging import INITIAL_HEDGE_S
from mulberrypass.runtime.metrics import Metrics
from tests.online.fakes import (
    BOOKING,
    BROKEN,
    CUT,
    DOCK,
    NOT_RUN,
    FakeBackends,
    FixedConfiguration,
    ScriptedEngine,
    ScriptedPermits,
    ScriptedPlain,
    a_call,
)

if TYPE_CHECKING:
    from mulberrypass.model.objects import Service
    from mulberrypass.online.call import Call, CallEvent
    from tests.online.fakes import Script

REFUSED = Refuse("", RefusalReason.QUEUE_FULL, 0.5)


class CourseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.executor = ThreadPoolExecutor(8)
        self.addCleanup(self.executor.shutdown)
        self.backends = FakeBackends()
        self.permits = ScriptedPermits()
        self.metrics = Metrics("test")

    def tools(self) -> Tools:
        return Tools(
            member="entry@i-1",
            permits=self.permits,
            backends=self.backends,  # type: ignore[arg-type]
            configuration=FixedConfiguration(),
            executor=self.executor,
            metrics=self.metrics,
            policy=SharedPolicy(),
            ask_numbers=new_ask_numbers(),
        )

    def run_call(self, call: Call) -> list[CallEvent]:
        course = Course(call, self.tools(), _no_record, _stays)
        events = list(course.events())
        self.executor.shutdown()
        return events

    def outcome(self, call: Call) -> Completed | Failed:
        last = self.run_call(call)[-1]
        assert not isinstance(last, Shown)
        return last

    def test_whole_answer(self) -> None:
        outcome = self.outcome(a_call())
        self.assertEqual(Completed("a b", "stop", 2, "e-1"), outcome)
        (release,) = self.permits.releases()
        self.assertEqual(ReleaseOutcome.DONE, release.outcome)

    def test_failures_by_what_ran_and_what_may_run_again(self) -> None:
        """Each row: service, stream, script, attempts, status, ran."""
        once = replace(DOCK, idempotent=False, hedge=False)
        shown: Script = [Tokens(0, ("a",)), BROKEN]
        permanent = EngineFailed("poison", Ran.YES, permanent=True)
        short: Script = [Tokens(0, ("a",)), Finished("stop", 2)]
        rows: tuple[
            tuple[Service, bool, Script, int, int, Ran | None], ...
        ] = (
            (DOCK, False, [NOT_RUN], 2, 200, None),
            (DOCK, False, [BROKEN], 2, 200, None),
            (DOCK, False, shown, 2, 200, None),
            (DOCK, False, short, 2, 200, None),
            (DOCK, True, shown, 1, 502, Ran.MAYBE),
            (DOCK, True, [BROKEN], 2, 200, None),
            (DOCK, False, [permanent], 1, 422, Ran.YES),
            (once, False, [NOT_RUN], 2, 200, None),
            (once, False, [BROKEN], 1, 502, Ran.MAYBE),
        )
        for service, stream, script, attempts, status, ran in rows:
            with self.subTest(script=script, stream=stream):
                self.setUp()
                engine = ScriptedEngine([list(script)])
                self.backends.engines["e-1"] = engine
                outcome = self.outcome(a_call(service, stream=stream))
                self.assertEqual(attempts, len(engine.started))
                match outcome:
                    case Completed():
                        self.assertEqual(200, status)
                        self.assertEqual("a b", outcome.output)
                    case Failed():
                        self.assertEqual(status, outcome.status)
                        self.assertEqual(ran, outcome.ran)

    def test_rejected_input_is_no_mark_against_the_engine(self) -> None:
        permanent = EngineFailed("poison", Ran.YES, permanent=True)
        self.backends.engines["e-1"] = ScriptedEngine([[permanent]])
        self.outcome(a_call())
        (release,) = self.permits.releases()
        self.assertEqual(ReleaseOutcome.CANCELLED, release.outcome)

    def test_ran_is_maybe_once_any_attempt_may_have_run(self) -> None:
        engine = ScriptedEngine([[BROKEN]])
        self.backends.engines["e-1"] = engine
        self.permits = ScriptedPermits("e-1", REFUSED)
        outcome = self.outcome(a_call())
        assert isinstance(outcome, Failed)
        self.assertEqual(Ran.MAYBE, outcome.ran)

    def test_refusal_did_not_run(self) -> None:
        self.permits = ScriptedPermits(REFUSED)
        outcome = self.outcome(a_call())
        assert isinstance(outcome, Failed)
        self.assertEqual((503, Ran.NO), (outcome.status, outcome.ran))
        self.assertEqual(0, len(self.backends.engines))

    def test_cut_stream_is_resumed_without_a_gap(self) -> None:
        engine = ScriptedEngine(
            [[Tokens(0, ("a",)), CUT]],
            [[Tokens(1, ("b",)), Finished("stop", 2)]],
        )
        self.backends.engines["e-1"] = engine
        events = self.run_call(a_call(stream=True))
        shown = [t for e in events if isinstance(e, Shown) for t in e.tokens]
        self.assertEqual(["a", "b"], shown)
        self.assertIsInstance(events[-1], Completed)
        self.assertEqual(1, self.metrics.snapshot()["resumed"])

    def test_late_request_is_hedged_and_the_loser_cancelled(self) -> None:
        slow = ScriptedEngine(delay_s=INITIAL_HEDGE_S + 0.5)
        self.backends.engines["e-1"] = slow
        self.permits = ScriptedPermits("e-1", "e-2")
        outcome = self.outcome(a_call())
        assert isinstance(outcome, Completed)
        self.assertEqual("e-2", outcome.backend)
        self.assertEqual(slow.started, slow.cancelled)
        self.assertEqual(2, len(self.permits.releases()))

    def test_non_idempotent_call_is_neither_hedged_nor_retried(self) -> None:
        plain = ScriptedPlain([BROKEN])
        self.backends.plains["p-1"] = plain
        self.permits = ScriptedPermits("p-1", "p-1")
        outcome = self.outcome(a_call(BOOKING))
        assert isinstance(outcome, Failed)
        self.assertEqual(Ran.MAYBE, outcome.ran)
        self.assertEqual(1, len(plain.started))

    def test_deadline_cancels_what_runs(self) -> None:
        slow = ScriptedEngine(delay_s=0.4)
        self.backends.engines["e-1"] = slow
        call = replace(a_call(), deadline=time.monotonic() + 0.1)
        outcome = self.outcome(call)
        assert isinstance(outcome, Failed)
        self.assertEqual(("timeout", Ran.MAYBE), (outcome.code, outcome.ran))
        self.assertEqual(slow.started, slow.cancelled)

    def test_stream_that_fails_at_its_deadline_has_timed_out(self) -> None:
        engine = ScriptedEngine([[Tokens(0, ("a",)), BROKEN]], delay_s=0.05)
        self.backends.engines["e-1"] = engine
        call = replace(a_call(stream=True), deadline=time.monotonic() + 0.01)
        course = Course(call, self.tools(), _no_record, _stays)
        course._patience = lambda: 5.0  # type: ignore[method-assign]
        outcome = list(course.events())[-1]
        assert isinstance(outcome, Failed)
        self.assertEqual(("timeout", Ran.MAYBE), (outcome.code, outcome.ran))

    def test_retry_budget_is_bounded(self) -> None:
        tools = self.tools()
        engine = ScriptedEngine([[BROKEN] for _ in range(200)])
        self.backends.engines["e-1"] = engine
        for _ in range(50):
            list(Course(a_call(), tools, _no_record, _stays).events())
        self.assertLessEqual(len(engine.started), 50 + 10 + 5)


def _no_record(_backend: str) -> None:
    return None


def _stays() -> bool:
    return False
