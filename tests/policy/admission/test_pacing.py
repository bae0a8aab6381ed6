"""Tests of batch prefill pacing."""

from __future__ import annotations

import unittest

from mulberrypass.policy.admission.pacing import BatchPacer
from mulberrypass.policy.admission.settings import PacingSettings

SETTINGS = PacingSettings()


class BatchPacerTest(unittest.TestCase):
    def run_pacer(self, first_s: float, gap_s: float, rounds: int) -> float:
        """Return the rate after intervals of constant online latency."""
        pacer = BatchPacer(SETTINGS)
        for step in range(rounds):
            for _ in range(20):
                pacer.observe_first_token(first_s)
                pacer.observe_gap(gap_s)
            pacer.tick(step * SETTINGS.interval_s)
        return pacer.tokens_per_s

    def test_rate_follows_online_latency(self) -> None:
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
                rate = self.run_pacer(first_s, gap_s, rounds=100)
                self.assertEqual(expected, rate)

    def test_rate_recovers_without_online_work(self) -> None:
        pacer = BatchPacer(SETTINGS)
        for _ in range(50):
            pacer.observe_gap(0.2)
        rates = []
        for step in range(400):
            pacer.tick(step * SETTINGS.interval_s)
            rates.append(pacer.tokens_per_s)
        self.assertLess(min(rates), SETTINGS.start_tokens_per_s)
        self.assertEqual(SETTINGS.max_tokens_per_s, rates[-1])

    def test_rate_changes_once_an_interval(self) -> None:
        pacer = BatchPacer(SETTINGS)
        pacer.tick(0.0)
        rate = pacer.tokens_per_s
        pacer.tick(SETTINGS.interval_s * 0.9)
        self.assertEqual(rate, pacer.tokens_per_s)
