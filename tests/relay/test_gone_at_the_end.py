"""Answers without framing whose engines have gone as they ended."""

from __future__ import annotations

import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.stand_in.raw_engine import RunEnd
from mulberrypass.policy.online.runs import MAX_GONE
from mulberrypass.relay.api import AnswerBody, Failed
from mulberrypass.relay.forward import Forwarder
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    make_dependencies,
    request,
    route,
)
from tests.relay.test_unframed_ends import (
    ENDED_AFTER,
    EVENTS,
    UnframedTestCase,
)

BEFORE_LAST = str(EVENTS - 1)
BODY = b"body"


class WholeStreamTest(UnframedTestCase):
    """A whole stream was cut, as its leaving engine took no connections."""

    def leave(self, number: int, events: int = EVENTS) -> None:
        """Let an engine be gone at the end of its next run.

        :param events: number of events of that run, up to the last one
        """
        # It would go on behind the last event that the others know.
        self.engines[number].events = EVENTS + 1
        self.faults[number].ends.append(RunEnd(events=events, gone=True))

    def test_run_at_an_engine_that_is_gone_uses_up_the_attempts(self) -> None:
        for max_attempts in (1, 2, 3):
            with self.subTest(max_attempts=max_attempts):
                self.setUp()
                self.leave(0)
                to = route(resumable=True, max_attempts=max_attempts)
                self.assert_whole(self.forward(to))
                self.assertEqual([[None], [BEFORE_LAST], []], self.asked)

    def test_engine_of_the_second_run_is_gone_too(self) -> None:
        self.leave(0)
        self.leave(1, events=1)
        to = route(resumable=True, max_attempts=1)
        self.assert_whole(self.forward(to))
        self.assertEqual([[None], [BEFORE_LAST], [BEFORE_LAST]], self.asked)

    def test_framed_run_settles_the_end(self) -> None:
        self.leave(0)
        self.faults[1].unframed = False
        to = route(resumable=True, max_attempts=1)
        self.assert_whole(self.forward(to))

    def test_engine_counts_as_failing(self) -> None:
        """It has left as it said it would."""
        self.leave(0)
        self.forward(route(resumable=True, max_attempts=2))
        self.assertNotIn("failed", self.permits.released)


class PartOfAStreamTest(UnframedTestCase):
    """A part of a stream passed as whole, as its engine was gone."""

    def test_engine_that_is_gone_has_broken_off(self) -> None:
        broken_off = RunEnd(events=ENDED_AFTER, gone=True)
        self.faults[0].ends.append(broken_off)
        to = route(resumable=True, max_attempts=3)
        self.assert_whole(self.forward(to))
        self.assertEqual([None], self.asked[0])
        self.assertEqual(str(ENDED_AFTER - 1), self.asked[1][0])

    def test_request_that_ends_each_engine_at_one_event(self) -> None:
        for faults in self.faults:
            faults.ends.extend([RunEnd(events=ENDED_AFTER, gone=True)] * 9)
        for max_attempts in (1, 3):
            with self.subTest(max_attempts=max_attempts):
                to = route(resumable=True, max_attempts=max_attempts)
                self.assertTrue(self.forward(to).truncated)

    def test_stream_that_runs_once_is_cut(self) -> None:
        self.faults[0].ends.append(RunEnd(events=ENDED_AFTER, gone=True))
        self.assertTrue(self.forward(route(max_attempts=3)).truncated)


class WholeBodyTest(unittest.TestCase):
    """A call failed at its last attempt, as a leaving engine was gone."""

    def play(self, kind: RouteKind, *scripts: Script) -> ScriptedEngines:
        engines = ScriptedEngines(*scripts)
        engines.alive = False
        names = [f"e{number}" for number, _ in enumerate(scripts)]
        to = route(kind=kind, max_attempts=1)
        deps = make_dependencies(engines, ScriptedPermits(*names), to)
        deps.directory.set_engines([engine(name) for name in names])
        self.seen = list(Forwarder(deps).run(request(), lambda: False))
        return engines

    def test_call_runs_at_another_engine(self) -> None:
        unframed = Script(parts=[BODY], ends_with_connection=True)
        framed = Script(parts=[BODY])
        engines = self.play(RouteKind.IDEMPOTENT, unframed, framed)
        self.assertIn(AnswerBody(BODY), self.seen)
        self.assertEqual(2, len(engines.sent))

    def test_call_runs_without_a_bound(self) -> None:
        unframed = Script(parts=[BODY], ends_with_connection=True)
        scripts = [unframed] * (3 * MAX_GONE)
        engines = self.play(RouteKind.IDEMPOTENT, *scripts)
        self.assertIsInstance(self.seen[-1], Failed)
        self.assertLessEqual(len(engines.sent), MAX_GONE + 1)

    def test_call_that_may_run_once_runs_again(self) -> None:
        unframed = Script(parts=[BODY], ends_with_connection=True)
        framed = Script(parts=[BODY])
        engines = self.play(RouteKind.NON_IDEMPOTENT, unframed, framed)
        self.assertIsInstance(self.seen[-1], Failed)
        self.assertEqual(1, len(engines.sent))


if __name__ == "__main__":
    unittest.main()
