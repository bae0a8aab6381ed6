"""Tests of which answer yields when too many bytes are held."""

from __future__ import annotations

import random
import unittest

from mulberrypass.policy.held_bytes import ByteLimits, HeldBytes, Holding

LIMITS = ByteLimits(total=100, source=60, free=10)
SOURCES = ("a", "b", "c")
ROUNDS = 3_000
SEEDS = range(20)


class YieldTest(unittest.TestCase):
    """Each answer had its bound, and their sum had none."""

    def setUp(self) -> None:
        self.held = HeldBytes(LIMITS)

    def hold(self, source: str, count: int) -> Holding:
        holding = self.held.open(source)
        self.assertEqual((), self.held.add(holding, count))
        return holding

    def test_longest_of_a_source_yields_at_its_bound(self) -> None:
        other = self.hold("b", 50)
        longest = self.hold("a", 45)
        short = self.hold("a", 20)
        self.assertEqual((longest,), self.held.add(short, 16))
        self.assertEqual(50 + 36, self.held.total)
        self.assertEqual((), self.held.add(other, 1))

    def test_the_source_with_most_bytes_yields_at_the_bound(self) -> None:
        lone = self.hold("c", 50)
        self.hold("a", 36)
        longer = self.hold("a", 37)
        self.assertEqual((longer,), self.held.add(lone, 10))

    def test_answer_that_grows_may_yield_itself(self) -> None:
        grows = self.hold("a", 70)
        self.assertEqual((grows,), self.held.add(grows, 1))
        self.assertEqual((), self.held.add(grows, 1))
        self.assertEqual(0, self.held.total)

    def test_whole_answer_never_yields(self) -> None:
        whole = self.hold("a", 65)
        whole.may_yield = False
        grows = self.hold("a", 12)
        self.assertEqual((grows,), self.held.add(grows, 10))

    def test_whole_answers_leave_half_to_others(self) -> None:
        self.hold("b", 60)
        self.hold("a", 25)
        self.hold("a", 30).may_yield = False
        self.assertTrue(self.held.has_room("a"))
        small = self.hold("a", 1)
        small.may_yield = False
        self.assertFalse(self.held.has_room("a"))
        self.held.close(small)
        self.assertTrue(self.held.has_room("a"))

    def test_bytes_that_were_handed_on_make_room(self) -> None:
        whole = self.hold("a", 65)
        whole.may_yield = False
        self.assertEqual((), self.held.add(whole, -40))
        self.hold("a", 45)

    def test_small_answers_always_fit(self) -> None:
        self.hold("a", 70)
        self.hold("b", 50)
        for _ in range(1_000):
            self.hold("a", 10)

    def test_one_long_answer_yields_before_many_short_ones(self) -> None:
        many = [self.hold("a", 12) for _ in range(30)]
        yielding = self.held.add(self.held.open("a"), 69)
        self.assertEqual(1, len(yielding))
        self.assertNotIn(yielding[0], many)


class RandomTest(unittest.TestCase):
    """Plays random reads, ends and hand-overs."""

    def play(self, seed: int) -> None:
        rng = random.Random(seed)
        held = HeldBytes(LIMITS)
        opened: list[Holding] = []
        for _ in range(ROUNDS):
            step = rng.random()
            if step < 0.2:
                opened.append(held.open(rng.choice(SOURCES)))
            elif opened and step < 0.9:
                grows = rng.choice(opened)
                count = rng.randrange(25) if grows.may_yield else 0
                for each in held.add(grows, count):
                    self.assertTrue(each.may_yield)
                    opened.remove(each)
            elif opened and step < 0.95:
                rng.choice(opened).may_yield = False
            elif opened:
                done = opened.pop(rng.randrange(len(opened)))
                held.close(done)
            self.check(held, opened)
        for each in opened:
            held.close(each)
        self.assertEqual(0, held.total)

    def check(self, held: HeldBytes, opened: list[Holding]) -> None:
        self.assertEqual(sum(h.size for h in opened), held.total)
        counted = {
            source: sum(
                max(0, h.size - LIMITS.free)
                for h in opened
                if h.source == source
            )
            for source in SOURCES
        }
        self.assertLessEqual(sum(counted.values()), LIMITS.total)
        self.assertLessEqual(max(counted.values()), LIMITS.source)

    def test_bounds_hold_at_any_time(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                self.play(seed)


if __name__ == "__main__":
    unittest.main()
