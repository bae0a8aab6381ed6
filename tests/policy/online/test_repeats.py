"""Tests of the rules for second runs of late requests."""

from __future__ import annotations

from collections import deque
import random
import unittest

from mulberrypass.policy.online.hedging import INITIAL_HEDGE_S
from mulberrypass.policy.online.repeats import (
    MIN_FIRST_DELAY_S,
    MIN_PAUSE_S,
    SAVED_RUNS,
    WINDOW_S,
    LateRun,
    NoRepeat,
    RepeatBudget,
    RepeatPolicy,
    RepeatShares,
    check_share,
    reason_against,
)

SERVICE = "chat"


class ReasonTest(unittest.TestCase):
    """Work ran twice that may run once, or that no run could help."""

    def test_each_reason(self) -> None:
        cases = (
            (LateRun(), None),
            (LateRun(repeatable=False), NoRepeat.NOT_REPEATABLE),
            (LateRun(in_doubt=True), NoRepeat.IN_DOUBT),
            (LateRun(attempts_left=False), NoRepeat.ATTEMPTS),
            (LateRun(ended=True), NoRepeat.ENDED),
            (LateRun(left=True), NoRepeat.LEFT),
            (LateRun(may_end=False), NoRepeat.STOPPING),
            (LateRun(left_s=0.01), NoRepeat.LATE),
            (LateRun(left_s=0.03), None),
            (LateRun(repeatable=False, left=True), NoRepeat.NOT_REPEATABLE),
        )
        for late, reason in cases:
            with self.subTest(late=late):
                self.assertEqual(reason, reason_against(late))

    def test_refused_run_uses_no_budget(self) -> None:
        policy = RepeatPolicy()
        for late, reason in (
            (LateRun(left=True), NoRepeat.LEFT),
            (LateRun(), None),
            (LateRun(), NoRepeat.BUDGET),
        ):
            found = policy.start(SERVICE, 0.05, late, 0.0)
            self.assertEqual(reason, found)

    def test_share_0_starts_none(self) -> None:
        policy = RepeatPolicy()
        policy.note_run(SERVICE, 0.0, 0.0)
        found = policy.start(SERVICE, 0.0, LateRun(), 0.0)
        self.assertIs(NoRepeat.OFF, found)
        self.assertEqual({}, policy.state(0.0))


class DelayTest(unittest.TestCase):
    """Second runs that start too early cost more than they help."""

    def test_first_event(self) -> None:
        cases = (
            # name: learned latency, target, expected range
            ("quick service", 0.01, 0.3, (MIN_FIRST_DELAY_S,) * 2),
            ("learned", 0.1, 0.3, (0.08, 0.125)),
            ("upper bound", 0.4, 0.308, (0.154, 0.154)),
            ("upper bound wins", 0.01, 0.06, (0.03, 0.03)),
            ("no target", 0.4, None, (0.3, 0.5)),
        )
        for name, latency_s, target_s, (low, high) in cases:
            with self.subTest(name):
                policy = RepeatPolicy()
                for _ in range(100):
                    policy.observe(SERVICE, latency_s, whole=False)
                found = policy.first_delay_s(SERVICE, False, target_s)
                self.assertGreaterEqual(found, low)
                self.assertLessEqual(found, high)

    def test_nothing_is_learned_yet(self) -> None:
        policy = RepeatPolicy()
        self.assertEqual(
            INITIAL_HEDGE_S, policy.first_delay_s(SERVICE, False, None)
        )
        self.assertEqual(0.15, policy.first_delay_s(SERVICE, False, 0.3))
        self.assertEqual(0.15, policy.pause_delay_s(SERVICE, 0.3))

    def test_answers_and_first_events_are_learned_apart(self) -> None:
        policy = RepeatPolicy()
        for _ in range(100):
            policy.observe(SERVICE, 0.05, whole=False)
            policy.observe(SERVICE, 0.5, whole=True)
        first_s = policy.first_delay_s(SERVICE, False, None)
        whole_s = policy.first_delay_s(SERVICE, True, None)
        self.assertLess(first_s, 0.1)
        self.assertGreater(whole_s, 0.4)

    def test_pause(self) -> None:
        cases = (
            ("steady stream", 0.01, 0.3, (MIN_PAUSE_S, MIN_PAUSE_S)),
            ("four times", 0.04, 0.4, (0.13, 0.2)),
            ("upper bound", 0.1, 0.3, (0.15, 0.15)),
            ("upper bound wins", 0.01, 0.2, (0.1, 0.1)),
            ("no target", 0.1, None, (0.3, 0.5)),
        )
        for name, pause_s, target_s, (low, high) in cases:
            with self.subTest(name):
                policy = RepeatPolicy()
                for _ in range(100):
                    policy.observe_pause(SERVICE, pause_s)
                found = policy.pause_delay_s(SERVICE, target_s)
                self.assertGreaterEqual(found, low)
                self.assertLessEqual(found, high)

    def test_delay_is_near_the_95th_percentile(self) -> None:
        rng = random.Random(1)
        policy = RepeatPolicy()
        late = 0
        for number in range(4_000):
            latency_s = rng.lognormvariate(-2.5, 0.4)
            delay_s = policy.first_delay_s(SERVICE, False, None)
            if number >= 1_000:
                late += latency_s > delay_s
            policy.observe(SERVICE, latency_s, whole=False)
        self.assertGreater(late / 3_000, 0.02)
        self.assertLess(late / 3_000, 0.1)


class BudgetTest(unittest.TestCase):
    """Without a bound, a slow minute doubles the load of all engines."""

    def test_one_is_saved_at_first_and_two_at_most(self) -> None:
        budget = RepeatBudget()
        self.assertEqual(1.0, budget.saved)
        self.assertTrue(budget.take(0.0))
        self.assertFalse(budget.take(0.0))
        for _ in range(1_000):
            budget.note_run(0.05, 0.0)
        self.assertEqual(SAVED_RUNS, budget.saved)
        self.assertEqual(
            [True, True, False], [budget.take(0.0) for _ in range(3)]
        )

    def test_returned_run_may_start_later(self) -> None:
        budget = RepeatBudget()
        self.assertTrue(budget.take(0.0))
        budget.give_back(0.0)
        self.assertEqual((0, 0), budget.counts(0.0))
        self.assertTrue(budget.take(0.1))

    def test_counts_of_the_window(self) -> None:
        budget = RepeatBudget()
        for second in range(20):
            budget.note_run(0.5, float(second))
        budget.take(19.5)
        runs, repeats = budget.counts(19.5)
        self.assertEqual(1, repeats)
        self.assertIn(runs, (9, 10))
        self.assertEqual((0, 0), budget.counts(19.5 + WINDOW_S + 1.0))

    def test_bound_holds_in_every_window(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            share = rng.choice((0.01, 0.05, 0.3, 1.0))
            budget = RepeatBudget()
            runs: deque[float] = deque()
            repeats: deque[float] = deque()
            now = 0.0
            for _ in range(2_000):
                # Pulses: many requests at once, then few.
                rate = 20.0 if int(now / 3.0) % 2 else 0.5
                now += rng.expovariate(rate)
                budget.note_run(share, now)
                runs.append(now)
                if rng.random() < 0.6 and budget.take(now):
                    repeats.append(now)
                for times in (runs, repeats):
                    while times and times[0] <= now - WINDOW_S:
                        times.popleft()
                most = share * len(runs) + SAVED_RUNS
                self.assertLessEqual(len(repeats), most + 1e-6)

    def test_services_have_their_own(self) -> None:
        policy = RepeatPolicy()
        for service in ("a", "b"):
            found = policy.start(service, 0.05, LateRun(), 0.0)
            self.assertIsNone(found)


class SharesTest(unittest.TestCase):
    """A limit for one service was taken for that of another."""

    def test_service_takes_precedence(self) -> None:
        shares = RepeatShares(0.05, {"a": 0.0, "b": 0.5})
        found = [shares.of(name) for name in ("a", "b", "c")]
        self.assertEqual([0.0, 0.5, 0.05], found)
        self.assertTrue(shares.any)
        self.assertFalse(RepeatShares(0.0, {"a": 0.0}).any)
        self.assertTrue(RepeatShares(0.0, {"a": 0.1}).any)

    def test_only_shares_are_allowed(self) -> None:
        for share in (0.0, 0.05, 1.0):
            check_share(share)
        for share in (-0.01, 1.01, float("nan"), float("inf")):
            with self.assertRaises(ValueError, msg=str(share)):
                check_share(share)
            with self.assertRaises(ValueError, msg=str(share)):
                RepeatShares(share)
            with self.assertRaises(ValueError, msg=str(share)):
                RepeatShares(0.05, {"a": share})
