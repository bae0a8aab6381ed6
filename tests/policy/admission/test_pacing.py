"""Tests of the pace of batch prefill."""

from __future__ import annotations

import unittest

from mulberrypass.policy.admission.pacing import BatchPacer
from mulberrypass.policy.admission.settings import PacingSettings

SETTINGS = PacingSettings()


class BatchPaceTest(unittest.TestCase):
    def run_pace(self, first_s: float, gap_s: float, rounds: int) -> float:
        """Let online work observe the same for some intervals."""
        pace = BatchPacer(SETTINGS)
        for step in range(rounds):
            for _ in range(20):
                pace.observe_first_token(first_s)
                pace.observe_gap(gap_s)
            pace.tick(step * SETTINGS.interval_s)
        return pace.tokens_per_s

    def test_pace_follows_what_online_observes(self) -> None:
        lowest = SETTINGS.min_tokens_per_s
        highest = SETTINGS.max_tokens_per_s
        cases = {
            "all is well": (0.1, 0.03, highest),
            "late first tokens": (0.8, 0.03, lowest),
            "wide gaps": (0.1, 0.06, lowest),
            "at the targets": (0.75, 0.047, highest),
        }
        for name, (first_s, gap_s, expected) in cases.items():
            with self.subTest(name):
                pace = self.run_pace(first_s, gap_s, rounds=100)
                self.assertEqual(expected, pace)

    def test_pace_rises_again_without_online_work(self) -> None:
        pace = BatchPacer(SETTINGS)
        for _ in range(50):
            pace.observe_gap(0.2)
        seen = []
        for step in range(400):
            pace.tick(step * SETTINGS.interval_s)
            seen.append(pace.tokens_per_s)
        self.assertLess(min(seen), SETTINGS.start_tokens_per_s)
        self.assertEqual(SETTINGS.max_tokens_per_s, seen[-1])

    def test_changes_keep_their_interval(self) -> None:
        pace = BatchPacer(SETTINGS)
        pace.tick(0.0)
        once = pace.tokens_per_s
        pace.tick(SETTINGS.interval_s * 0.9)
        self.assertEqual(once, pace.tokens_per_s)
