"""Tests of the order of batch items under overload."""

from __future__ import annotations

import unittest

from mulberrypass.policy.batches.order import (
    LATE_BUDGET_S,
    ItemPace,
    order_item,
)


class OrderTest(unittest.TestCase):
    def test_an_item_in_time_is_ordered_by_its_due_time(self) -> None:
        order = order_item(due_in_s=18.0, remaining_s=5.0)
        self.assertEqual(18.0, order.budget_s)
        self.assertEqual(12.0, order.start_within_s)

    def test_a_late_item_goes_last(self) -> None:
        for due_in_s in (5.5, 0.0, -30.0):
            with self.subTest(due_in_s):
                order = order_item(due_in_s, remaining_s=5.0)
                self.assertEqual(LATE_BUDGET_S, order.budget_s)
                self.assertIsNone(order.start_within_s)

    def test_only_the_remaining_run_time_counts(self) -> None:
        self.assertIsNone(order_item(5.0, remaining_s=5.0).start_within_s)
        self.assertIsNotNone(order_item(5.0, remaining_s=1.0).start_within_s)


class PaceTest(unittest.TestCase):
    def test_average_follows_the_runs(self) -> None:
        pace = ItemPace()
        for _ in range(60):
            pace.observe(tokens=1_000, seconds=8.0)
        self.assertAlmostEqual(0.008, pace.token_s, places=4)

    def test_a_run_without_an_estimate_is_ignored(self) -> None:
        pace = ItemPace()
        before = pace.token_s
        pace.observe(tokens=0, seconds=9.0)
        self.assertEqual(before, pace.token_s)
