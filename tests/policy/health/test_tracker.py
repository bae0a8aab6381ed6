"""Tests of the gradual removal of slow and failing engines."""

from __future__ import annotations

import unittest

from mulberrypass.policy.admission.settings import HealthSettings
from mulberrypass.policy.health.holder_baselines import HolderBaselines
from mulberrypass.policy.health.tracker import HealthTracker

NAMES = tuple(f"core-{index}" for index in range(6))
SETTINGS = HealthSettings()
STEP_S = 0.1


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = HealthTracker(SETTINGS)
        self.tracker.set_engines(NAMES)
        self.now = 0.0

    def observe(self, times: dict[str, float], rounds: int = 1) -> None:
        """Record first token times, slower by a factor per engine."""
        for _ in range(rounds):
            self.now += STEP_S
            for name in NAMES:
                for _ in range(3):
                    value = 0.015 * times.get(name, 1.0)
                    self.tracker.record_first_token(name, value, self.now)
            self.tracker.evaluate(self.now, {})

    def test_slow_engines_are_removed_within_a_second(self) -> None:
        self.observe({"core-1": 10.0, "core-4": 10.0})
        self.assertEqual(["core-1", "core-4"], self.tracker.reduced())
        self.assertEqual(25, self.tracker.cap("core-1", 64, self.now))
        self.observe({"core-1": 10.0, "core-4": 10.0}, rounds=9)
        self.assertLessEqual(self.tracker.cap("core-1", 64, self.now), 1)
        self.assertEqual(64, self.tracker.cap("core-0", 64, self.now))

    def test_overdue_first_tokens_count(self) -> None:
        self.observe({})
        self.now += STEP_S
        self.tracker.evaluate(self.now, {"core-2": [0.3, 0.4]})
        self.assertEqual(["core-2"], self.tracker.reduced())

    def test_at_most_half_are_reduced(self) -> None:
        slow = {name: 10.0 + index for index, name in enumerate(NAMES)}
        slow["core-0"] = 1.0
        self.observe(slow, rounds=30)
        self.assertLessEqual(len(self.tracker.reduced()), 3)
        for name in NAMES:
            for _ in range(5):
                self.tracker.record_failure(name, self.now)
        self.assertEqual(3, len(self.tracker.reduced()))
        self.tracker.set_engines(NAMES[:2])
        self.assertLessEqual(len(self.tracker.reduced()), 1)

    def test_recovered_engine_is_restored(self) -> None:
        self.observe({"core-1": 10.0}, rounds=10)
        self.assertTrue(self.tracker.probe_due("core-1", self.now + 5))
        self.observe({}, rounds=8)
        self.assertEqual([], self.tracker.reduced())

    def test_slight_differences_are_ignored(self) -> None:
        times = {name: 1 + index / 6 for index, name in enumerate(NAMES)}
        self.observe(times, rounds=20)
        self.assertEqual([], self.tracker.reduced())

    def test_hold_time_doubles(self) -> None:
        held = []
        for _ in range(3):
            for _ in range(SETTINGS.failures):
                self.tracker.record_failure("core-3", self.now)
            until = self.tracker.state()["core-3"].held_until
            self.assertEqual(0, self.tracker.cap("core-3", 64, until - 0.01))
            self.assertEqual(1, self.tracker.cap("core-3", 64, until))
            held.append(until - self.now)
            self.now = until
        self.assertEqual([0.5, 1.0, 2.0], held)

    def test_success_resets_failures(self) -> None:
        for _ in range(10):
            self.tracker.record_failure("core-3", self.now)
            self.tracker.record_failure("core-3", self.now)
            self.tracker.record_token_time("core-3", 0.02, self.now)
        self.assertEqual([], self.tracker.reduced())

    def test_probe_interval_doubles(self) -> None:
        self.observe({"core-1": 10.0}, rounds=10)
        for wait_s in (0.5, 1.0, 2.0, 4.0, 4.0):
            self.tracker.record_probe("core-1", self.now)
            early, due = self.now + wait_s - 0.01, self.now + wait_s + 0.01
            self.assertFalse(self.tracker.probe_due("core-1", early))
            self.assertTrue(self.tracker.probe_due("core-1", due))
            self.now = due


class CallsAndStreamsTest(unittest.TestCase):
    """Calls without tokens must not be compared with streams.

    In a bench run, short calls next to streams gave a ratio of 225.
    """

    def setUp(self) -> None:
        self.tracker = HealthTracker(SETTINGS)
        self.tracker.set_engines(NAMES)

    def test_calls_do_not_count_against_streaming_engines(self) -> None:
        for name in NAMES:
            for _ in range(4):
                self.tracker.record_call(name, 0.004, 0.05)
        for _ in range(4):
            self.tracker.record_token_time("core-1", 1.0, 0.05)
            self.tracker.record_token_time("core-2", 1.1, 0.05)
        self.tracker.evaluate(STEP_S, {})
        self.assertEqual([], self.tracker.reduced())

    def test_plain_service_is_compared_by_calls(self) -> None:
        for name in NAMES:
            for _ in range(4):
                seconds = 0.05 if name == "core-1" else 0.004
                self.tracker.record_call(name, seconds, 0.05)
        self.tracker.evaluate(STEP_S, {})
        self.assertEqual(["core-1"], self.tracker.reduced())


class HolderBaselinesTest(unittest.TestCase):
    def test_slow_holder_does_not_count_against_engines(self) -> None:
        record_token_time = HolderBaselines()
        for _ in range(5):
            record_token_time.normalize("entry@a", 0.004)
        self.assertAlmostEqual(
            1.0, record_token_time.normalize("entry@a", 0.004)
        )
        for _ in range(12):
            record_token_time.normalize("entry@b", 0.02)
        self.assertAlmostEqual(
            1.0, record_token_time.normalize("entry@b", 0.02)
        )

    def test_first_answers_of_a_holder_are_neutral(self) -> None:
        """A tiny first sample must not make later ones look slow.

        In a bench run, it led to a ratio of 123.
        """
        record_token_time = HolderBaselines()
        for token_s in (0.00003, 0.004, 0.02, 0.004):
            self.assertEqual(
                1.0, record_token_time.normalize("entry@a", token_s)
            )

    def test_ratio_is_capped(self) -> None:
        record_token_time = HolderBaselines()
        for _ in range(9):
            record_token_time.normalize("entry@a", 0.004)
        self.assertEqual(10.0, record_token_time.normalize("entry@a", 4.0))

    def test_slow_engine_stands_out(self) -> None:
        record_token_time = HolderBaselines()
        for _ in range(8):
            record_token_time.normalize("entry@a", 0.004)
        self.assertAlmostEqual(
            5.0, record_token_time.normalize("entry@a", 0.02)
        )
