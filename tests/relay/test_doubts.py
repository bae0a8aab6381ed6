"""Tests of when runs that ended in doubt are judged."""

from __future__ import annotations

import unittest

from mulberrypass.policy.messages import Release, ReleaseOutcome
from mulberrypass.relay.crash_guard import CrashGuard
from mulberrypass.relay.doubts import DoubtfulRuns
from mulberrypass.relay.permits import HeldPermit
from tests.relay.fakes import ScriptedPermits, engine

LAST = 3


class DoubtfulRunsTest(unittest.TestCase):
    """Nothing told a run that broke off from a whole one."""

    def setUp(self) -> None:
        self.permits = ScriptedPermits()
        self.doubts = DoubtfulRuns()
        self.add("a", LAST)

    def add(self, ask_id: str, last: int | None) -> None:
        permit = HeldPermit(
            self.permits, ask_id, engine("e1"), 0.0, CrashGuard()
        )
        permit.release(ReleaseOutcome.CANCELLED, LAST)
        self.doubts.add(permit, last)

    def test_further_event(self) -> None:
        self.doubts.judge(LAST + 1)
        self.doubts.judge(LAST + 2, whole=True)
        self.assertEqual([["cancelled", "failed"]], self.permits.outcomes)

    def test_proven_end(self) -> None:
        self.doubts.judge(LAST, whole=True)
        self.doubts.judge(LAST + 1)
        self.assertEqual([["cancelled", "done"]], self.permits.outcomes)

    def test_verdict_repeats_what_the_run_took(self) -> None:
        self.doubts.judge(LAST, whole=True)
        cancelled, done = self.permits.told
        assert isinstance(cancelled, Release)
        assert isinstance(done, Release)
        self.assertEqual(LAST, done.tokens)
        self.assertEqual(cancelled.service_s, done.service_s)

    def test_nothing_is_known(self) -> None:
        for seen, whole in ((LAST, False), (LAST - 1, True), (None, True)):
            self.doubts.judge(seen, whole)
        self.assertEqual([["cancelled"]], self.permits.outcomes)

    def test_runs_are_judged_one_by_one(self) -> None:
        self.add("b", LAST + 1)
        self.add("c", None)
        self.doubts.judge(LAST + 1, whole=True)
        self.assertEqual(
            [["cancelled", "failed"], ["cancelled", "done"], ["cancelled"]],
            self.permits.outcomes,
        )

    def test_permit_with_another_outcome_is_not_judged(self) -> None:
        for outcome in set(ReleaseOutcome) - {ReleaseOutcome.CANCELLED}:
            permits = ScriptedPermits()
            permit = HeldPermit(permits, "d", engine("e1"), 0.0, CrashGuard())
            permit.release(outcome)
            permit.judge(ReleaseOutcome.FAILED)
            self.assertEqual([outcome.value], permits.released)


if __name__ == "__main__":
    unittest.main()
