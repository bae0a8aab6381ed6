"""Tests of cells and their owners."""

from __future__ import annotations

from collections import Counter
import random
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.policy import rendezvous
from mulberrypass.policy.admission.cells import (
    CellKey,
    CellLoad,
    CellOwners,
    choose_cell,
    owner,
    parse_cell_name,
    partition_backends,
    preferred_cells,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MEMBERS = [f"entry@{index}" for index in range(10)]
KEYS = [CellKey("rackmind", index) for index in range(400)]


def _fixed_draws(*values: int) -> Callable[[int], int]:
    """Return a fake random source that yields fixed numbers."""
    left = iter(values)
    return lambda _below: next(left)


class CellsTest(unittest.TestCase):
    def test_partition(self) -> None:
        for count, sizes in ((0, []), (5, [5]), (16, [16]), (17, [8, 9])):
            with self.subTest(count=count):
                names = [f"core-{index:03}" for index in range(count)]
                parts = partition_backends(reversed(names))
                self.assertEqual(sizes, [len(part) for part in parts])
                self.assertEqual(names, [n for part in parts for n in part])

    def test_name_round_trip(self) -> None:
        for key in (CellKey("rackmind", 0), CellKey("a#b", 12)):
            self.assertEqual(key, parse_cell_name(key.name))
        for name in ("rackmind", "rackmind#", "rackmind#x", "r#-1"):
            self.assertIsNone(parse_cell_name(name))

    def test_owner_moves_only_from_a_lost_member(self) -> None:
        before = {key: owner(key, MEMBERS) for key in KEYS}
        after = {key: owner(key, MEMBERS[1:]) for key in KEYS}
        for key in KEYS:
            if before[key] != MEMBERS[0]:
                self.assertEqual(before[key], after[key])
        counts = Counter(before.values())
        self.assertEqual(set(MEMBERS), set(counts))
        self.assertLess(max(counts.values()), 2 * len(KEYS) / len(MEMBERS))

    def test_preferred_cells_are_few_and_spread(self) -> None:
        counts: Counter[CellKey] = Counter()
        for index in range(800):
            preferred = preferred_cells(KEYS[:38], f"entry@{index}")
            self.assertEqual(4, len(set(preferred)))
            counts.update(preferred)
        self.assertEqual(38, len(counts))
        self.assertLess(max(counts.values()), 1.5 * 800 * 4 / 38)
        self.assertEqual(tuple(KEYS[:3]), preferred_cells(KEYS[:3], "entry@0"))

    def test_owner_of_no_members(self) -> None:
        self.assertIsNone(owner(KEYS[0], []))

    def test_power_of_two_choices(self) -> None:
        left, right = CellKey("p", 0), CellKey("p", 1)
        cases = {
            "fewer queued": (CellLoad(0, 5), CellLoad(0, 1), right),
            "more free": (CellLoad(9), CellLoad(3), left),
            "zone": (CellLoad(3), CellLoad(3), right),
            "unseen is taken": (CellLoad(0, 1), None, right),
        }
        for name, (one, other, expected) in cases.items():
            with self.subTest(name):
                loads = {left.name: one}
                if other is not None:
                    loads[right.name] = other
                for start in (0, 1):
                    got = choose_cell(
                        (left, right),
                        loads,
                        lambda key: key is right,
                        _fixed_draws(start, 0),
                    )
                    self.assertEqual(expected, got)


class CellOwnersTest(unittest.TestCase):
    """A large site whose instances are rolled in turn."""

    def setUp(self) -> None:
        self.members = [f"entry@{index}" for index in range(200)]
        self.owners = CellOwners()
        self.owners.set_members(self.members)

    def test_equal_to_those_worked_out_from_all_members(self) -> None:
        rng = random.Random(1)
        keys = KEYS[:8]
        for _ in range(200):
            chosen = rng.sample(self.members, rng.choice((0, 1, 150, 199)))
            self.owners.set_members(chosen)
            for key in rng.sample(keys, 4):
                self.assertEqual(owner(key, chosen), self.owners.owner(key))

    def test_one_that_comes_or_goes_is_compared_with_the_owners(self) -> None:
        keys = KEYS[:2]
        owning = {self.owners.owner(key) for key in keys}
        leaver = next(m for m in self.members if m not in owning)
        left = [member for member in self.members if member != leaver]
        weight = rendezvous.weight
        with patch.object(rendezvous, "weight", side_effect=weight) as weighed:
            self.owners.set_members(left)
            self.assertEqual(owning, {self.owners.owner(k) for k in keys})
            self.assertEqual(0, weighed.call_count)
            self.owners.set_members(self.members)
            self.assertEqual(owning, {self.owners.owner(k) for k in keys})
            # Each cell's owner and the one that came.
            self.assertEqual(2 * len(keys), weighed.call_count)
