"""Tests of the customers of a run and of calls with others' keys."""

from __future__ import annotations

import random
from typing import Any
import unittest
from unittest.mock import Mock

from mulberrypass.platform.stand_in.caller import CallFailedError
from mulberrypass.soak.customers import Customers, draw_setup
from mulberrypass.soak.records import JobRecord
from mulberrypass.soak.strangers import intrude

SEEDS = range(40)


class SetupTest(unittest.TestCase):
    """Runs of all seeds are alike, or one seed gives different runs."""

    def test_some_seeds_have_each_part_and_some_none(self) -> None:
        setups = [draw_setup(seed) for seed in SEEDS]
        for found in (
            {setup.customers is None for setup in setups},
            {setup.repeats for setup in setups},
            {setup.uneven for setup in setups},
        ):
            self.assertEqual({True, False}, found)

    def test_seed_determines_keys(self) -> None:
        first, second, other = Customers(1), Customers(1), Customers(2)
        for customers in (first, second):
            customers.rotate()
        self.assertEqual(first.documents(), second.documents())
        self.assertNotEqual(first.documents(), other.documents())


class KeysTest(unittest.TestCase):
    """A key passes from one customer to another, or is never withdrawn."""

    def test_each_version_withdraws_one_key_and_adds_one(self) -> None:
        customers = Customers(1)
        ever: dict[str, str] = {}
        for _ in range(30):
            before = self.holders(customers)
            customers.rotate()
            after = self.holders(customers)
            self.assertEqual(1, len(before.keys() - after.keys()))
            (added,) = after.keys() - before.keys()
            self.assertNotIn(added, ever)
            ever |= before | after

    def holders(self, customers: Customers) -> dict[str, str]:
        """Return the holder of each key."""
        return {
            key: doc["Name"]
            for doc in customers.documents()
            for key in doc["ApiKeys"]
        }

    def test_drawn_identities(self) -> None:
        customers = Customers(1)
        rng = random.Random(1)
        holders = self.holders(customers)
        drawn = [customers.draw("customer-1", rng) for _ in range(200)]
        for identity in drawn:
            holder = holders.get(identity.key, "")
            self.assertEqual(identity.customer, holder)
            self.assertEqual(identity.held, bool(holder))
        self.assertEqual({True, False}, {i.held for i in drawn})
        self.assertTrue(any(i.held and i.claimed for i in drawn))


class IntruderTest(unittest.TestCase):
    """A call that may not use a job and succeeds isn't noted."""

    def intrude(self, **calls: Any) -> set[str]:
        """Return what is noted of all kinds of calls."""
        job = JobRecord("j1", ("i1",), customer="c1")
        rng = random.Random(1)
        for _ in range(30):
            intrude(Mock(**calls), job, rng)
        return set(job.strangers)

    def test_refused(self) -> None:
        refusing = {
            "results": Mock(return_value=None),
            "cancel": Mock(return_value=404),
            "submit": Mock(return_value=409),
        }
        self.assertEqual(set(), self.intrude(**refusing))
        failing = dict.fromkeys(refusing, Mock(side_effect=CallFailedError))
        self.assertEqual(set(), self.intrude(**failing))

    def test_not_refused(self) -> None:
        noted = self.intrude(
            results=Mock(),
            cancel=Mock(return_value=200),
            submit=Mock(return_value=202),
        )
        self.assertEqual(
            {
                "read with another key",
                "ended with another key",
                "resent with another key",
            },
            noted,
        )


if __name__ == "__main__":
    unittest.main()
