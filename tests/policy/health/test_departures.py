"""Tests of the starts of engines that are known to leave."""

from __future__ import annotations

import unittest

from mulberrypass.policy.health.departures import (
    MAX_CLOCK_ERROR_MS,
    Departures,
)

BORN_MS = 1_000_000
SAID_MS = BORN_MS + 60_000


class DeparturesTest(unittest.TestCase):
    """A start leaves for good; a later one of its engine is another."""

    def setUp(self) -> None:
        self.departures = Departures(limit=2)

    def test_only_that_engine_leaves(self) -> None:
        self.assertTrue(self.departures.add("e1", BORN_MS))
        self.assertTrue(self.departures.covers("e1", BORN_MS))
        self.assertFalse(self.departures.covers("e2", BORN_MS))

    def test_later_start_is_another_engine(self) -> None:
        self.departures.add("e1", BORN_MS)
        self.assertFalse(self.departures.covers("e1", BORN_MS + 1))

    def test_registry_that_goes_back_in_time(self) -> None:
        self.departures.add("e1", BORN_MS)
        self.assertTrue(self.departures.covers("e1", BORN_MS - 60_000))
        self.assertTrue(self.departures.covers("e1", 0))

    def test_second_word_is_no_news(self) -> None:
        self.assertTrue(self.departures.add_answer("e1", BORN_MS, SAID_MS))
        self.assertFalse(self.departures.add_answer("e1", BORN_MS, SAID_MS))
        self.assertFalse(self.departures.add("e1", BORN_MS))

    def test_start_that_the_registry_lists_late(self) -> None:
        self.departures.add_answer("e1", BORN_MS, SAID_MS)
        running = SAID_MS - MAX_CLOCK_ERROR_MS
        self.assertTrue(self.departures.covers("e1", running))
        self.assertFalse(self.departures.covers("e1", running + 1))

    def test_wrong_clock_brings_no_start_back(self) -> None:
        self.departures.add_answer("e1", BORN_MS, BORN_MS - 60_000)
        self.assertTrue(self.departures.covers("e1", BORN_MS))

    def test_listed_engines_are_not_forgotten(self) -> None:
        for name in ("e1", "e2", "e3", "e4"):
            self.departures.add(name, BORN_MS)
        self.departures.forget({"e1", "e3", "e4"})
        self.assertEqual({"e1", "e3", "e4"}, set(self.departures.starts()))

    def test_engines_that_are_gone_are_kept_up_to_the_limit(self) -> None:
        for name in ("e1", "e2"):
            self.departures.add(name, BORN_MS)
        self.departures.forget(())
        self.assertEqual(2, len(self.departures))
        self.departures.add("e3", BORN_MS)
        self.departures.forget(())
        self.assertEqual({"e2", "e3"}, set(self.departures.starts()))
