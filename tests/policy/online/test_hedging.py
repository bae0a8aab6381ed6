"""Tests of the hedging delay."""

from __future__ import annotations

import random
import unittest

from mulberrypass.policy.online.hedging import (
    INITIAL_HEDGE_S,
    MIN_HEDGE_S,
    MIN_SAMPLES,
    HedgeTimer,
)


class HedgeTimerTest(unittest.TestCase):
    def test_delay_follows_each_service(self) -> None:
        timer = HedgeTimer()
        rng = random.Random(7)
        for _ in range(3_000):
            timer.observe("dock", rng.uniform(0.0, 0.1))
            timer.observe("slips", rng.uniform(0.0, 1.0))
        for service, p95_s in (("dock", 0.095), ("slips", 0.95)):
            with self.subTest(service=service):
                wait_s = timer.after_s(service)
                self.assertGreater(wait_s, 0.8 * p95_s)
                self.assertLess(wait_s, 1.25 * p95_s)

    def test_few_requests_are_hedged_at_steady_latency(self) -> None:
        timer = HedgeTimer()
        rng = random.Random(8)
        late = 0
        for index in range(5_000):
            latency_s = rng.expovariate(20.0)
            late += index >= 1_000 and latency_s > timer.after_s("dock")
            timer.observe("dock", latency_s)
        self.assertLess(late / 4_000, 0.08)

    def test_initial_delay_until_enough_samples(self) -> None:
        timer = HedgeTimer()
        for _ in range(MIN_SAMPLES - 1):
            timer.observe("dock", 0.05)
        self.assertEqual(INITIAL_HEDGE_S, timer.after_s("dock"))
        timer.observe("dock", 0.05)
        self.assertLess(timer.after_s("dock"), 0.1)
        self.assertEqual(INITIAL_HEDGE_S, timer.after_s("never seen"))

    def test_delay_has_a_minimum(self) -> None:
        timer = HedgeTimer()
        for _ in range(500):
            timer.observe("dock", 0.0001)
        self.assertEqual(MIN_HEDGE_S, timer.after_s("dock"))
