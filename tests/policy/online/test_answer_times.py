"""Tests of the estimate of how long an answer takes."""

from __future__ import annotations

import random
import unittest

from mulberrypass.policy.online.answer_times import (
    AnswerTime,
    expected_s,
    may_finish,
)

ROUNDING_S = 1e-9


class ExpectedTest(unittest.TestCase):
    def test_grows_with_the_tokens(self) -> None:
        times = [AnswerTime(n, 0.1 + 0.01 * n) for n in (10, 50, 100)]
        for tokens in (0, 20, 400):
            wanted = 0.1 + 0.01 * tokens
            self.assertAlmostEqual(wanted, expected_s(times, tokens))

    def test_covers_nine_of_ten(self) -> None:
        rng = random.Random(1)
        for _ in range(20):
            times = []
            for _ in range(64):
                tokens = rng.randrange(10, 400)
                seconds = 0.1 + tokens * rng.uniform(0.005, 0.015)
                times.append(AnswerTime(tokens, seconds))
            covered = [
                t.seconds <= expected_s(times, t.tokens) + ROUNDING_S
                for t in times
            ]
            self.assertGreaterEqual(sum(covered), 0.9 * len(times))
            self.assertLess(expected_s(times, 200), 0.1 + 200 * 0.02)

    def test_one_length_is_proportional(self) -> None:
        times = [AnswerTime(100, 2.0)] * 3
        self.assertAlmostEqual(4.0, expected_s(times, 200))

    def test_answers_without_tokens(self) -> None:
        times = [AnswerTime(0, 0.2), AnswerTime(0, 0.4)]
        self.assertGreaterEqual(expected_s(times, 50), 0.3)
        self.assertLessEqual(expected_s(times, 50), 0.4)

    def test_longer_answers_never_take_less(self) -> None:
        times = [AnswerTime(10, 2.0), AnswerTime(100, 1.0)]
        self.assertLessEqual(expected_s(times, 10), expected_s(times, 1_000))
        self.assertGreaterEqual(expected_s(times, 1_000), 1.5)


class MayFinishTest(unittest.TestCase):
    def test_nothing_is_refused_without_experience(self) -> None:
        self.assertTrue(may_finish((), 10_000, 0.1))

    def test_nothing_may_finish_after_the_end(self) -> None:
        self.assertFalse(may_finish((), 0, 0.0))
        self.assertFalse(may_finish((AnswerTime(0, 0.0),), 0, -1.0))

    def test_by_the_time_left(self) -> None:
        times = [AnswerTime(n, 0.01 * n) for n in (10, 100)]
        self.assertTrue(may_finish(times, 100, 1.1))
        self.assertFalse(may_finish(times, 200, 1.1))
