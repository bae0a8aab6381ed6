"""Tests of batch items under which engines have crashed by chance."""

from __future__ import annotations

import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.health.crashes import Crash, QuarantineSettings
from mulberrypass.policy.health.trials import TRIAL_S
from mulberrypass.relay.crash_guard import CrashGuard
from tests.batches.cases import run_item
from tests.batches.test_run import make_run
from tests.relay.fakes import Script, ScriptedEngines, engine, event

PART = 7
# Of the users' pages: time in which open items are still awaited.
FINISH_S = 18.0
CRASHES = QuarantineSettings().crashes
CUT = EngineFailed("cut", Ran.YES, closed=True)


class HeldItemTest(unittest.TestCase):
    """An item waited for its expiry, beside sound and idle engines."""

    def setUp(self) -> None:
        self.now = 0.0
        self.guard = CrashGuard(clock=lambda: self.now)
        for number in range(CRASHES):
            self.learn(number)

    def learn(self, number: int) -> None:
        at_ms = number * 1_000
        suspects = frozenset((PART,))
        self.guard.learn(Crash(f"i-{number}", "rackmind", at_ms, suspects))

    def test_item_is_held_until_it_expires(self) -> None:
        engines = ScriptedEngines(Script(parts=[event(1)]))
        _, run = make_run(
            engines, engine("e1"), prefix=(PART, 9), guard=self.guard
        )
        self.assertIsNone(run_item(run))
        self.assertTrue(run.held_back)
        self.now = FINISH_S
        self.assertFalse(self.guard.holds("rackmind", (PART,)))
        _, run = make_run(
            engines, engine("e1"), prefix=(PART, 9), guard=self.guard
        )
        self.assertIsNotNone(run_item(run))
        self.assertEqual([], self.guard.state()["quarantined"])

    def test_other_items_run_while_one_is_tried(self) -> None:
        self.now = FINISH_S
        engines = ScriptedEngines(Script(parts=[CUT]))
        _, run = make_run(
            engines, engine("e1"), prefix=(PART, 9), guard=self.guard
        )
        self.assertIsNone(run_item(run))
        self.assertTrue(run.held_back)
        self.assertEqual(1, len(engines.sent))
        self.assertTrue(self.guard.holds("rackmind", (PART,)))
        self.now += TRIAL_S
        self.assertFalse(self.guard.holds("rackmind", (PART,)))


if __name__ == "__main__":
    unittest.main()
