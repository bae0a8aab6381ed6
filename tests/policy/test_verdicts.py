"""Tests of the memory of permits that may be judged."""

from __future__ import annotations

import unittest

from mulberrypass.policy.messages import Release, ReleaseOutcome
from mulberrypass.policy.verdicts import (
    MAX_AWAITED,
    VERDICT_WAIT_S,
    VERDICTS,
    AwaitedVerdicts,
)

FAILED = ReleaseOutcome.FAILED


class AwaitedVerdictsTest(unittest.TestCase):
    """A verdict was lost, counted twice, or remembered without a bound."""

    def setUp(self) -> None:
        self.awaited: AwaitedVerdicts[int] = AwaitedVerdicts()

    def test_first_verdict_counts(self) -> None:
        for outcome in VERDICTS:
            self.awaited.put("a", 7, 0.0)
            self.assertIn("a", self.awaited)
            self.assertEqual(7, self.awaited.take(Release("a", outcome), 1.0))
            self.assertIsNone(self.awaited.take(Release("a", outcome), 1.0))

    def test_other_releases_are_no_verdicts(self) -> None:
        self.awaited.put("a", 7, 0.0)
        for outcome in set(ReleaseOutcome) - set(VERDICTS):
            self.assertIsNone(self.awaited.take(Release("a", outcome), 1.0))
        self.assertEqual(7, self.awaited.take(Release("a", FAILED), 1.0))

    def test_late_verdict(self) -> None:
        self.awaited.put("a", 7, 0.0)
        self.awaited.put("b", 8, 1.0)
        late = VERDICT_WAIT_S
        self.assertIsNone(self.awaited.take(Release("a", FAILED), late))
        self.assertEqual(8, self.awaited.take(Release("b", FAILED), late))

    def test_time_begins_anew_with_a_repeated_release(self) -> None:
        self.awaited.put("a", 7, 0.0)
        self.awaited.put("b", 8, 1.0)
        self.awaited.put("a", 9, 2.0)
        late = VERDICT_WAIT_S + 1.0
        self.assertIsNone(self.awaited.take(Release("b", FAILED), late))
        self.assertEqual(9, self.awaited.take(Release("a", FAILED), late))

    def test_oldest_yield(self) -> None:
        for number in range(MAX_AWAITED + 1):
            self.awaited.put(str(number), number, 0.0)
        self.assertEqual(MAX_AWAITED, len(self.awaited))
        self.assertIsNone(self.awaited.take(Release("0", FAILED), 0.0))
        self.assertEqual(1, self.awaited.take(Release("1", FAILED), 0.0))

    def test_old_ones_are_forgotten(self) -> None:
        for number in range(MAX_AWAITED):
            self.awaited.put(str(number), number, 0.0)
        self.awaited.put("new", 0, VERDICT_WAIT_S)
        self.assertEqual(1, len(self.awaited))


if __name__ == "__main__":
    unittest.main()
