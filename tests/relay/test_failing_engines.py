"""Tests of retries beside several engines that fail each run."""

from __future__ import annotations

import time
import unittest
from unittest.mock import patch

from mulberrypass.model.routes import RouteKind
from mulberrypass.policy.online import failing as failing_module
from mulberrypass.policy.online.failing import FailingEngines
from mulberrypass.policy.online.runs import Runs
from mulberrypass.relay.api import AnswerHead, Failed
from mulberrypass.relay.forward import RelayDependencies
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    CUT,
    NOT_RUN,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    make_dependencies,
    route,
)
from tests.relay.test_forward import run

NAMES = ("bad1", "bad2", "sound")
WHOLE = Script(parts=[b"answer"])
CALL = route(kind=RouteKind.IDEMPOTENT, max_attempts=2)


class FailingEnginesTest(unittest.TestCase):
    """Each attempt of a call went to an engine that failed all runs.

    The calls ended in 502 beside an engine that answered.
    """

    def setUp(self) -> None:
        quiet_logs()

    def dependencies(
        self, engines: ScriptedEngines, *names: str
    ) -> RelayDependencies:
        permits = ScriptedPermits(*names)
        deps = make_dependencies(engines, permits, CALL)
        deps.directory.set_engines(engine(name) for name in names)
        return deps

    def test_retry_goes_to_an_engine_that_answers(self) -> None:
        for failure in (CUT, NOT_RUN):
            with self.subTest(failure):
                first = (CUT, CUT)
                engines = ScriptedEngines(*first, failure, WHOLE)
                deps = self.dependencies(engines, *NAMES)
                events, _ = run(deps)
                self.assertIsInstance(events[0], Failed)
                events, _ = run(deps)
                self.assertIsInstance(events[0], AnswerHead)
                asked = [name for name, _ in engines.sent]
                self.assertEqual(["bad1", "bad2", "bad1", "sound"], asked)

    def test_failing_engine_is_asked_if_there_is_no_other(self) -> None:
        engines = ScriptedEngines(CUT, CUT, CUT, WHOLE)
        deps = self.dependencies(engines, *NAMES[:2])
        run(deps)
        events, _ = run(deps)
        self.assertIsInstance(events[0], AnswerHead)

    def test_first_attempts_may_ask_any_engine(self) -> None:
        """Nothing else shows that an engine has recovered."""
        runs = Runs(2, True)
        runs.begin(False)
        self.assertEqual([()], runs.avoided(False, NAMES, NAMES[:2]))
        runs.note_failed("bad1")
        self.assertEqual(
            [("bad1", "bad2"), ("bad1",)],
            runs.avoided(False, NAMES, NAMES[:2]),
        )

    def test_engine_that_has_recovered(self) -> None:
        failing = FailingEngines()
        now = time.monotonic()
        for name in NAMES:
            failing.note(name, False, now)
        failing.note("sound", True, now)
        self.assertEqual(NAMES[:2], failing.names(now))
        self.assertEqual((), failing.names(now + failing_module.FAILING_S))

    def test_failure_long_ago(self) -> None:
        with patch.object(failing_module, "FAILING_S", 0.0):
            engines = ScriptedEngines(CUT, CUT, CUT, WHOLE)
            deps = self.dependencies(engines, *NAMES)
            run(deps)
            run(deps)
            self.assertEqual("bad2", engines.sent[-1][0])


if __name__ == "__main__":
    unittest.main()
