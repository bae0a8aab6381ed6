"""Tests of verdicts on runs whose permits have been released."""

from __future__ import annotations

import unittest

from mulberrypass.policy.admission.settings import HealthSettings
from mulberrypass.policy.messages import Ask, Release, ReleaseOutcome
from mulberrypass.policy.verdicts import VERDICT_WAIT_S
from tests.policy.admission.cases import ask, engine, granted, make_cell

CANCELLED = ReleaseOutcome.CANCELLED
DONE = ReleaseOutcome.DONE
FAILED = ReleaseOutcome.FAILED
LIMIT = HealthSettings().failures
AT = 1.0


class VerdictTest(unittest.TestCase):
    """No message could report an engine whose permit had been released."""

    def setUp(self) -> None:
        self.cell = make_cell([engine("core-0"), engine("core-1")])

    def run_one(self, ask_id: str, outcome: ReleaseOutcome) -> None:
        """Run an ask at the first engine and release its permit."""
        made = ask(ask_id, avoid=("core-1",))
        self.assertEqual(
            [(ask_id, "core-0")], granted(self.cell.handle(made, 0.0))
        )
        self.cell.handle(Release(ask_id, outcome, 0.1, 5), 0.0)

    def judge(
        self, ask_id: str, outcome: ReleaseOutcome, at: float = AT
    ) -> None:
        self.cell.handle(Release(ask_id, outcome, 0.1, 0), at)

    @property
    def failures(self) -> int:
        return self.cell.health.state()["core-0"].failures

    def assert_idle(self) -> None:
        """Check that no slot is in use, or free twice."""
        self.assertEqual(0, len(self.cell.permits))
        for each in self.cell.engines.values():
            self.assertEqual((0, 0), (each.running, each.kv_tokens))
        running = self.cell.running()
        self.assertEqual(0, sum(sum(n.values()) for n in running.values()))

    def test_failure_after_the_release(self) -> None:
        for number in range(LIMIT):
            self.run_one(str(number), CANCELLED)
            self.assertTrue(self.cell.knows(str(number)))
        self.assertEqual(1.0, self.cell.health.share("core-0"))
        for number in range(LIMIT):
            self.judge(str(number), FAILED)
        self.assertLess(self.cell.health.share("core-0"), 1.0)
        self.assert_idle()

    def test_sound_run(self) -> None:
        self.run_one("a", FAILED)
        self.run_one("b", CANCELLED)
        self.assertEqual(1, self.failures)
        self.judge("b", DONE)
        self.assertEqual(0, self.failures)
        self.assert_idle()

    def test_end_in_doubt_keeps_the_count_of_failures(self) -> None:
        self.run_one("a", FAILED)
        self.run_one("b", CANCELLED)
        self.assertEqual(1, self.failures)

    def test_duplicate_counts_once(self) -> None:
        self.run_one("a", CANCELLED)
        for _ in range(LIMIT):
            self.judge("a", FAILED)
        self.assertEqual(1, self.failures)
        self.judge("a", DONE)
        self.assertEqual(1, self.failures)
        self.assert_idle()

    def test_repeated_release_is_no_verdict(self) -> None:
        self.run_one("a", CANCELLED)
        for outcome in (CANCELLED, ReleaseOutcome.UNUSED):
            self.judge("a", outcome)
        self.judge("a", FAILED)
        self.assertEqual(1, self.failures)
        self.assert_idle()

    def test_unknown_permit(self) -> None:
        self.assertFalse(self.cell.knows("a"))
        self.judge("a", FAILED)
        self.assertEqual(0, self.failures)
        self.assert_idle()

    def test_permit_with_another_outcome(self) -> None:
        for outcome in (DONE, ReleaseOutcome.UNUSED):
            self.run_one(outcome.value, outcome)
            self.assertFalse(self.cell.knows(outcome.value))
            self.judge(outcome.value, FAILED)
        self.assertEqual(0, self.failures)

    def test_late_verdict(self) -> None:
        self.run_one("a", CANCELLED)
        self.judge("a", FAILED, VERDICT_WAIT_S)
        self.assertEqual(0, self.failures)
        self.assertFalse(self.cell.knows("a"))

    def test_engine_that_was_removed(self) -> None:
        self.run_one("a", CANCELLED)
        self.cell.configure([engine("core-1")], {}, {}, (), {}, AT)
        self.judge("a", FAILED)
        self.assertEqual({"core-1"}, set(self.cell.health.state()))

    def test_slot_is_free_before_the_verdict(self) -> None:
        cell = make_cell([engine("core-0", 1)])
        cell.handle(ask("a"), 0.0)
        waiting: Ask = ask("b")
        self.assertEqual([], granted(cell.handle(waiting, 0.0)))
        got = cell.handle(Release("a", CANCELLED, 0.1, 5), 0.1)
        self.assertEqual([("b", "core-0")], granted(got))
        cell.handle(ask("c"), 0.2)
        got = cell.handle(Release("a", DONE, 0.1, 5), 0.2)
        self.assertEqual([], granted(got))
        self.assertEqual(1, len(cell.permits))


if __name__ == "__main__":
    unittest.main()
