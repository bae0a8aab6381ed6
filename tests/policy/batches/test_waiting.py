"""Tests of the order of waiting items."""

from __future__ import annotations

import unittest

from mulberrypass.policy.batches.waiting import WaitingItems


class WaitingItemsTest(unittest.TestCase):
    """Items of one service waited behind those of another."""

    def setUp(self) -> None:
        self.waiting: WaitingItems[str] = WaitingItems()

    def test_each_service_has_its_own_order(self) -> None:
        self.waiting.add("a", 3.0, "a3")
        self.waiting.add("a", 1.0, "a1")
        self.waiting.add("b", 2.0, "b2")
        self.assertEqual("b2", self.waiting.pop("b"))
        self.assertEqual(["a1", "a3"], [self.waiting.pop("a") for _ in "12"])
        self.assertIsNone(self.waiting.pop("a"))
        self.assertEqual((), self.waiting.services)

    def test_equal_due_times_keep_the_order_of_arrival(self) -> None:
        for name in ("first", "second", "third"):
            self.waiting.add("a", 1.0, name)
        found = [self.waiting.pop("a") for _ in range(3)]
        self.assertEqual(["first", "second", "third"], found)

    def test_paused_items_resume_in_time(self) -> None:
        self.waiting.pause(5.0, 1.0, "late")
        self.waiting.pause(2.0, 9.0, "soon")
        self.assertEqual(2.0, self.waiting.resume_at)
        self.assertEqual([], list(self.waiting.resumed(1.9)))
        self.assertEqual([(9.0, "soon")], list(self.waiting.resumed(2.0)))
        self.assertEqual(5.0, self.waiting.resume_at)

    def test_dropped_items_are_forgotten(self) -> None:
        self.waiting.add("a", 1.0, "a1")
        self.waiting.add("a", 0.0, "a0")
        self.waiting.add("b", 0.0, "b0")
        self.waiting.pause(1.0, 1.0, "p1")
        self.waiting.keep(lambda item: item == "a1")
        self.assertEqual(("a",), self.waiting.services)
        self.assertEqual("a1", self.waiting.pop("a"))
        self.assertEqual(float("inf"), self.waiting.resume_at)


if __name__ == "__main__":
    unittest.main()
