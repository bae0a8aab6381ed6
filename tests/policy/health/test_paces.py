"""Tests of the lasting and momentary paces of engines."""

from __future__ import annotations

import math
import random
import unittest

from mulberrypass.policy.health.lasting_paces import (
    ALIKE,
    HINT_AGE_S,
    HINT_BUCKETS,
    MAX_PACE,
    LastingPaces,
)
from mulberrypass.policy.health.paces import FIGURE_AGE_S, EnginePaces

NAMES = tuple(f"core-{index}" for index in range(6))
ADDRESSES = {name: f"10.0.0.{i}:80" for i, name in enumerate(NAMES)}
EVALUATE_S = 0.1


def samples(
    paces: LastingPaces,
    factors: dict[str, float],
    seconds: float,
    start: float = 0.0,
    every_s: float = 0.25,
) -> float:
    """Record samples of all engines; return the time of the end."""
    now = start
    while now < start + seconds:
        now += every_s
        for name in NAMES:
            factor = factors.get(name, 1.0)
            paces.record_first_token(name, 0.004 * factor, now)
            paces.record_token_time(name, factor, now)
        paces.evaluate(now)
    return now


class LastingPaceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = LastingPaces()
        self.paces.set_engines(ADDRESSES)

    def test_slower_engine_is_known_after_seconds(self) -> None:
        samples(self.paces, {"core-1": 2.2}, 20.0)
        self.assertAlmostEqual(2.2, self.paces.known("core-1"), delta=0.2)
        self.assertEqual(1.0, self.paces.pace("core-0"))

    def test_nothing_is_known_of_a_moment(self) -> None:
        """A new owner took a slow moment for an engine's lasting pace."""
        samples(self.paces, {"core-1": 2.5}, 0.6, every_s=0.02)
        self.assertEqual(0.0, self.paces.known("core-1"))
        samples(self.paces, {}, 20.0, start=0.6)
        self.assertEqual(1.0, self.paces.pace("core-1"))

    def test_slow_moments_at_any_rate_are_not_learned(self) -> None:
        """At a high rate a moment filled a window of a count of samples."""
        for every_s in (0.01, 0.1, 0.5):
            with self.subTest(every_s=every_s):
                paces = LastingPaces()
                paces.set_engines(ADDRESSES)
                now = samples(paces, {}, 12.0, every_s=every_s)
                samples(paces, {"core-1": 2.5}, 0.6, now, every_s)
                self.assertEqual(1.0, paces.pace("core-1"))

    def test_sudden_slowness_is_not_learned_within_seconds(self) -> None:
        now = samples(self.paces, {}, 20.0)
        samples(self.paces, {"core-1": 2.5}, 3.0, start=now)
        self.assertEqual(1.0, self.paces.pace("core-1"))

    def test_engines_that_are_all_slow_are_not_slow(self) -> None:
        now = samples(self.paces, {"core-1": 2.2}, 20.0)
        before = self.paces.known("core-1")
        slow = dict.fromkeys(NAMES, 2.5) | {"core-1": 5.5}
        samples(self.paces, slow, 30.0, start=now)
        self.assertAlmostEqual(before, self.paces.known("core-1"), delta=0.2)
        self.assertEqual(1.0, self.paces.pace("core-0"))

    def test_engine_without_work_keeps_its_pace(self) -> None:
        """An engine too slow for online work got it back when forgotten."""
        samples(self.paces, {"core-1": 2.2}, 20.0)
        before = self.paces.known("core-1")
        self.paces.evaluate(120.0)
        self.assertEqual(before, self.paces.known("core-1"))

    def test_pace_is_bounded(self) -> None:
        """Ten times slower is a fault, and must not be learned away."""
        samples(self.paces, {"core-1": 10.0}, 60.0)
        self.assertEqual(MAX_PACE, self.paces.known("core-1"))

    def test_few_engines_that_are_alike_differ_by_chance(self) -> None:
        """Noise of alike engines must not make them uneven."""
        rng = random.Random(7)
        wrong = 0
        for _ in range(20):
            paces = LastingPaces()
            paces.set_engines(ADDRESSES)
            now = 0.0
            for _ in range(60):
                for name in NAMES:
                    at = now + rng.random() * 0.25
                    noise = rng.lognormvariate(0.0, 0.3)
                    paces.record_first_token(name, 0.004 * noise, at)
                    noise = rng.lognormvariate(0.0, 0.15)
                    paces.record_token_time(name, noise, at)
                now += 0.25
                paces.evaluate(now)
            wrong += sum(paces.pace(name) != 1.0 for name in NAMES)
        self.assertLessEqual(wrong, 2)

    def test_wrong_samples_are_ignored(self) -> None:
        now = samples(self.paces, {}, 10.0)
        for _ in range(100):
            now += 0.25
            self.paces.record_first_token("core-1", 0.0, now)
            self.paces.record_token_time("core-1", -1.0, now)
            self.paces.record_token_time("core-1", math.nan, now)
        self.paces.evaluate(now)
        self.assertEqual(1.0, self.paces.pace("core-1"))


class ReturnedEngineTest(unittest.TestCase):
    """An engine that came back was given the pace of the one before it."""

    def setUp(self) -> None:
        self.paces = LastingPaces()
        self.paces.set_engines(ADDRESSES)
        self.now = samples(self.paces, {"core-1": 2.2}, 20.0)

    def assert_unknown(self) -> None:
        self.assertEqual(0.0, self.paces.known("core-1"))
        self.paces.hint("core-1", 2.2, 1.0, self.now)
        self.assertEqual(0.0, self.paces.known("core-1"))

    def test_after_it_was_gone(self) -> None:
        others = {n: a for n, a in ADDRESSES.items() if n != "core-1"}
        self.paces.set_engines(others)
        self.paces.set_engines(ADDRESSES)
        self.assert_unknown()

    def test_at_another_address(self) -> None:
        self.paces.set_engines(ADDRESSES | {"core-1": "10.0.0.99:80"})
        self.assert_unknown()


class HintTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = LastingPaces()
        self.paces.set_engines(ADDRESSES)

    def test_hint_counts_at_once(self) -> None:
        self.paces.hint("core-1", 2.2, 0.5, 0.0)
        self.assertAlmostEqual(2.2, self.paces.known("core-1"))

    def test_wrong_hints_are_ignored(self) -> None:
        for pace, age_s in (
            (math.nan, 0.0),
            (math.inf, 0.0),
            (0.0, 0.0),
            (-2.0, 0.0),
            (1e9, 0.0),
            (1e-9, 0.0),
            (2.2, math.nan),
            (2.2, -1.0),
            (2.2, HINT_AGE_S),
        ):
            with self.subTest(pace=pace, age_s=age_s):
                self.paces.hint("core-1", pace, age_s, 100.0)
                self.assertEqual(0.0, self.paces.known("core-1"))
        self.paces.hint("unknown", 2.0, 0.0, 100.0)

    def test_latest_hint_counts(self) -> None:
        self.paces.hint("core-1", 2.2, 5.0, 0.0)
        self.paces.hint("core-1", 1.5, 30.0, 0.0)
        self.assertAlmostEqual(2.2, self.paces.known("core-1"))

    def test_old_hint_is_dropped(self) -> None:
        self.paces.hint("core-1", 2.2, 20.0, 0.0)
        self.paces.evaluate(HINT_AGE_S - 20.1)
        self.assertAlmostEqual(2.2, self.paces.known("core-1"))
        self.paces.evaluate(HINT_AGE_S - 19.9)
        self.assertEqual(0.0, self.paces.known("core-1"))

    def test_wrong_hint_yields_to_own_samples(self) -> None:
        self.paces.hint("core-1", 2.2, 0.0, 0.0)
        paces = [self.paces.known("core-1")]
        now = 0.0
        while now < HINT_BUCKETS * 0.25 + 1.0:
            now = samples(self.paces, {}, 1.0, start=now)
            paces.append(self.paces.known("core-1"))
        self.assertEqual(sorted(paces, reverse=True), paces)
        self.assertAlmostEqual(1.0, paces[-1], delta=0.01)


class MomentaryPaceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = EnginePaces()
        self.paces.set_engines(ADDRESSES)

    def moment(self, now: float) -> float:
        return self.paces.momentary.pace("core-1", now)

    def test_figure_says_nothing_after_half_a_second(self) -> None:
        self.paces.momentary.note("core-1", 2.5, 0.0)
        self.assertEqual(2.5, self.moment(FIGURE_AGE_S))
        self.assertEqual(1.0, self.moment(FIGURE_AGE_S + 0.01))

    def test_engine_at_another_address_has_no_figure(self) -> None:
        self.paces.momentary.note("core-1", 2.5, 0.0)
        self.paces.set_engines(ADDRESSES)
        self.assertEqual(2.5, self.moment(0.1))
        self.paces.set_engines(ADDRESSES | {"core-1": "10.0.0.99:80"})
        self.assertEqual(1.0, self.moment(0.1))

    def test_fast_moment_counts_as_usual(self) -> None:
        self.paces.momentary.note("core-1", 0.4, 0.0)
        self.assertEqual(1.0, self.moment(0.0))

    def test_wrong_figures_are_ignored(self) -> None:
        for slowness in (0.0, -1.0, 0.009, 100.1, math.inf, math.nan):
            with self.subTest(slowness):
                self.paces.momentary.note("core-1", slowness, 0.0)
                self.assertEqual(1.0, self.moment(0.0))

    def test_figure_that_never_changes_says_nothing(self) -> None:
        """An engine slower for good would have counted twice."""
        for number in range(20):
            self.paces.momentary.note("core-1", 2.2, number * 0.1)
        self.assertEqual(1.0, self.moment(1.9))

    def test_engines_that_are_all_slow_are_not_slow(self) -> None:
        for name in NAMES:
            self.paces.momentary.note(name, 2.5, 0.0)
        self.paces.evaluate(0.1, {})
        for name in NAMES:
            self.assertEqual(1.0, self.paces.momentary.pace(name, 0.1))

    def test_overdue_work_counts(self) -> None:
        now = samples(self.paces.lasting, {}, 10.0)
        ages = {"core-1": [0.012, 0.016], "core-2": [0.001, 0.001]}
        self.paces.evaluate(now, ages | {"core-3": [0.002]})
        self.assertGreaterEqual(self.moment(now), 3.0)
        self.assertEqual(1.0, self.paces.momentary.pace("core-2", now))
        self.assertEqual(1.0, self.moment(now + FIGURE_AGE_S + 0.01))

    def test_calls_without_events_are_not_overdue(self) -> None:
        """Calls whose answer is read whole report no first event."""
        now = samples(self.paces.lasting, {}, 10.0)
        ages = {name: [0.2, 0.3 + 0.01 * i] for i, name in enumerate(NAMES)}
        self.paces.evaluate(now, ages)
        self.assertEqual(1.0, self.moment(now))

    def test_alike_paces_are_equal(self) -> None:
        samples(self.paces.lasting, {"core-1": ALIKE - 0.05}, 20.0)
        self.assertEqual(1.0, self.paces.online("core-1", 20.0))
        self.assertFalse(self.paces.lasting.uneven())


if __name__ == "__main__":
    unittest.main()
