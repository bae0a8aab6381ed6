"""Tests of the retry rules and the retry budget."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.model.outcome import Ran
from mulberrypass.policy.online.retry import Failure, RetryBudget, may_retry

FAILURE = Failure(
    Ran.NO, permanent=False, output_sent=False, idempotent=False, left_s=1.0
)


class RetryTest(unittest.TestCase):
    def test_may_retry(self) -> None:
        cases = (
            (replace(FAILURE), True),
            (replace(FAILURE, ran=Ran.MAYBE), False),
            (replace(FAILURE, ran=Ran.YES), False),
            (replace(FAILURE, ran=Ran.MAYBE, idempotent=True), True),
            (replace(FAILURE, ran=Ran.YES, idempotent=True), True),
            (replace(FAILURE, output_sent=True, idempotent=True), False),
            (replace(FAILURE, permanent=True, idempotent=True), False),
            (replace(FAILURE, left_s=0.0), False),
        )
        for failure, expected in cases:
            with self.subTest(failure=failure):
                self.assertIs(expected, may_retry(failure))

    def test_budget_is_a_share_of_the_requests(self) -> None:
        budget = RetryBudget(share=0.1, burst=10.0)
        while budget.take():
            pass
        taken = 0
        for _ in range(1_000):
            budget.earn()
            taken += budget.take()
        self.assertAlmostEqual(100, taken, delta=1)

    def test_budget_does_not_grow_beyond_its_burst(self) -> None:
        budget = RetryBudget(share=0.1, burst=3.0)
        for _ in range(1_000):
            budget.earn()
        self.assertEqual(3, sum(budget.take() for _ in range(10)))
