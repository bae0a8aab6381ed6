"""Tests of retries, resumes, hedges and refusals of a request."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace
import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.api import EngineFailed, Finished, Tokens
from mulberrypass.model.outcome import Ran
from mulberrypass.online.call import Completed, Failed, StreamedTokens
from mulberrypass.online.execution import (
    OnlineDependencies,
    RequestExecution,
    new_ask_numbers,
)
from mulberrypass.online.shared import SharedPolicy
from mulberrypass.policy.messages import (
    Ask,
    Grant,
    RefusalReason,
    Refuse,
    ReleaseOutcome,
)
from mulberrypass.policy.online.hedging import INITIAL_HEDGE_S
from mulberrypass.policy.online.repeats import LateRun, NoRepeat
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
    make_call,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.objects import Service
    from mulberrypass.online.call import Call, CallEvent
    from tests.online.fakes import Script

REFUSED = Refuse("", RefusalReason.QUEUE_FULL, 0.5)
NO_SPARE = Refuse("", RefusalReason.NO_SPARE, 0.0)


class RequestExecutionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.executor = ThreadPoolExecutor(8)
        self.addCleanup(self.executor.shutdown)
        self.backends = FakeBackends()
        self.permits = ScriptedPermits()
        self.metrics = Metrics("test")

    def make_dependencies(self) -> OnlineDependencies:
        return OnlineDependencies(
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
        execution = RequestExecution(
            call, self.make_dependencies(), _no_record, _connected
        )
        events = list(execution.events())
        self.executor.shutdown()
        return events

    def outcome(self, call: Call) -> Completed | Failed:
        last = self.run_call(call)[-1]
        assert not isinstance(last, StreamedTokens)
        return last

    def test_complete_answer(self) -> None:
        outcome = self.outcome(make_call())
        self.assertEqual(Completed("a b", "stop", 2, "e-1"), outcome)
        (release,) = self.permits.releases()
        self.assertEqual(ReleaseOutcome.DONE, release.outcome)

    def test_outcome_by_failure_and_idempotency(self) -> None:
        """Each row: service, stream, script, attempts, status, ran."""
        once = replace(DOCK, idempotent=False, hedge=False)
        interrupted: Script = [Tokens(0, ("a",)), BROKEN]
        permanent = EngineFailed("poison", Ran.YES, permanent=True)
        short: Script = [Tokens(0, ("a",)), Finished("stop", 2)]
        rows: tuple[
            tuple[Service, bool, Script, int, int, Ran | None], ...
        ] = (
            (DOCK, False, [NOT_RUN], 2, 200, None),
            (DOCK, False, [BROKEN], 2, 200, None),
            (DOCK, False, interrupted, 2, 200, None),
            (DOCK, False, short, 2, 200, None),
            (DOCK, True, interrupted, 1, 502, Ran.MAYBE),
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
                outcome = self.outcome(make_call(service, stream=stream))
                self.assertEqual(attempts, len(engine.started))
                match outcome:
                    case Completed():
                        self.assertEqual(200, status)
                        self.assertEqual("a b", outcome.output)
                    case Failed():
                        self.assertEqual(status, outcome.status)
                        self.assertEqual(ran, outcome.ran)

    def test_rejected_input_does_not_count_as_engine_failure(self) -> None:
        permanent = EngineFailed("poison", Ran.YES, permanent=True)
        self.backends.engines["e-1"] = ScriptedEngine([[permanent]])
        self.outcome(make_call())
        (release,) = self.permits.releases()
        self.assertEqual(ReleaseOutcome.CANCELLED, release.outcome)

    def test_ran_is_maybe_after_any_attempt_that_may_have_run(self) -> None:
        engine = ScriptedEngine([[BROKEN]])
        self.backends.engines["e-1"] = engine
        self.permits = ScriptedPermits("e-1", REFUSED)
        outcome = self.outcome(make_call())
        assert isinstance(outcome, Failed)
        self.assertEqual(Ran.MAYBE, outcome.ran)

    def test_refused_request_did_not_run(self) -> None:
        self.permits = ScriptedPermits(REFUSED)
        outcome = self.outcome(make_call())
        assert isinstance(outcome, Failed)
        self.assertEqual((503, Ran.NO), (outcome.status, outcome.ran))
        self.assertEqual(0, len(self.backends.engines))

    def test_interrupted_stream_is_resumed_without_a_gap(self) -> None:
        engine = ScriptedEngine(
            [[Tokens(0, ("a",)), CUT]],
            [[Tokens(1, ("b",)), Finished("stop", 2)]],
        )
        self.backends.engines["e-1"] = engine
        events = self.run_call(make_call(stream=True))
        streamed = [
            t
            for e in events
            if isinstance(e, StreamedTokens)
            for t in e.tokens
        ]
        self.assertEqual(["a", "b"], streamed)
        self.assertIsInstance(events[-1], Completed)
        self.assertEqual(1, self.metrics.snapshot()["resumed"])

    def test_slow_request_is_hedged_and_the_loser_cancelled(self) -> None:
        slow = ScriptedEngine(delay_s=INITIAL_HEDGE_S + 0.5)
        self.backends.engines["e-1"] = slow
        self.permits = ScriptedPermits("e-1", "e-2")
        outcome = self.outcome(make_call())
        assert isinstance(outcome, Completed)
        self.assertEqual("e-2", outcome.backend)
        self.assertEqual(slow.started, slow.cancelled)
        self.assertEqual(2, len(self.permits.releases()))

    def test_hedge_asks_for_room_to_spare(self) -> None:
        slow = ScriptedEngine(delay_s=INITIAL_HEDGE_S + 0.3)
        self.backends.engines["e-1"] = slow
        self.permits = ScriptedPermits("e-1", NO_SPARE)
        outcome = self.outcome(make_call())
        assert isinstance(outcome, Completed)
        self.assertEqual("e-1", outcome.backend)
        self.assertEqual([False, True], [a.repeat for a in self.permits.asks])

    def test_share_0_hedges_nothing(self) -> None:
        slow = ScriptedEngine(delay_s=INITIAL_HEDGE_S + 0.2)
        self.backends.engines["e-1"] = slow
        call = make_call(replace(DOCK, repeat_share=0.0))
        self.assertIsInstance(self.outcome(call), Completed)
        self.assertEqual(1, len(self.permits.asks))

    def test_hedges_are_bounded_by_their_share(self) -> None:
        policy = SharedPolicy(clock=lambda: 0.0)
        service = replace(DOCK, repeat_share=0.05)
        found = []
        for _ in range(100):
            policy.earn(service)
            found.append(policy.start_hedge(service, LateRun()))
        self.assertIn(found.count(None), (5, 6))
        self.assertEqual(NoRepeat.BUDGET, found[-2])

    def test_failed_call_is_retried_if_its_hedge_is_refused(self) -> None:
        """A hedge without room to spare ended a call that may be retried."""
        broken = ScriptedEngine([[BROKEN]], delay_s=INITIAL_HEDGE_S + 0.2)
        self.backends.engines["e-1"] = broken
        self.permits = ScriptedPermits("e-1", "e-2")
        refusal: Future[Grant | Refuse] = Future()
        ask_now = self.permits.ask

        def ask_and_wait(
            ask: Ask, on_revoke: Callable[[], None]
        ) -> Future[Grant | Refuse]:
            if not ask.repeat:
                return ask_now(ask, on_revoke)
            timer = threading.Timer(0.4, refusal.set_result, (NO_SPARE,))
            timer.start()
            return refusal

        self.permits.ask = ask_and_wait  # type: ignore[method-assign]
        outcome = self.outcome(make_call())
        assert isinstance(outcome, Completed)
        self.assertEqual("e-2", outcome.backend)

    def test_non_idempotent_call_is_neither_hedged_nor_retried(self) -> None:
        plain = ScriptedPlain([BROKEN])
        self.backends.plains["p-1"] = plain
        self.permits = ScriptedPermits("p-1", "p-1")
        outcome = self.outcome(make_call(BOOKING))
        assert isinstance(outcome, Failed)
        self.assertEqual(Ran.MAYBE, outcome.ran)
        self.assertEqual(1, len(plain.started))

    def test_deadline_cancels_running_attempts(self) -> None:
        slow = ScriptedEngine(delay_s=0.4)
        self.backends.engines["e-1"] = slow
        call = replace(make_call(), deadline=time.monotonic() + 0.1)
        outcome = self.outcome(call)
        assert isinstance(outcome, Failed)
        self.assertEqual(("timeout", Ran.MAYBE), (outcome.code, outcome.ran))
        self.assertEqual(slow.started, slow.cancelled)

    def test_stream_failure_after_the_deadline_is_a_timeout(self) -> None:
        engine = ScriptedEngine([[Tokens(0, ("a",)), BROKEN]], delay_s=0.05)
        self.backends.engines["e-1"] = engine
        call = replace(
            make_call(stream=True), deadline=time.monotonic() + 0.01
        )
        execution = RequestExecution(
            call, self.make_dependencies(), _no_record, _connected
        )
        execution._wait_s = lambda: 5.0  # type: ignore[method-assign]
        outcome = list(execution.events())[-1]
        assert isinstance(outcome, Failed)
        self.assertEqual(("timeout", Ran.MAYBE), (outcome.code, outcome.ran))

    def test_retry_budget_is_bounded(self) -> None:
        deps = self.make_dependencies()
        engine = ScriptedEngine([[BROKEN] for _ in range(200)])
        self.backends.engines["e-1"] = engine
        for _ in range(50):
            list(
                RequestExecution(
                    make_call(), deps, _no_record, _connected
                ).events()
            )
        self.assertLessEqual(len(engine.started), 50 + 10 + 5)


def _no_record(_backend: str) -> None:
    return None


def _connected() -> bool:
    return False
