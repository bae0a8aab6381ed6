"""Tests of the list of a site's instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, TypeVar
import unittest
from unittest.mock import patch

from expression import Ok

from mulberrypass.storage.instances import TABLE, RowInstances
from mulberrypass.storage.rows import RowKey, RowPage, Transaction
from mulberrypass.testing.row_state import RowState

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.storage.rows import FeedError, ReadFailure

T = TypeVar("T")
INSTANCES = 200


class CountingRows(RowState):
    """Counts the rows that are read."""

    read = 0

    def scan(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowPage, ReadFailure]:
        """Read rows by key."""
        return self._count(super().scan(table, part, first, end))

    def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowPage, FeedError]:
        """Read rows that changed."""
        return self._count(super().feed(table, after, wait_s))

    def _count(self, result: Result[RowPage, T]) -> Result[RowPage, T]:
        if result.is_ok():
            self.read += len(result.ok.rows)
        return result


def names(instances: RowInstances) -> list[str]:
    listed = instances.listed()
    return sorted(entry.name for entry in listed.ok)


class RowInstancesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rows = CountingRows()
        self.instances = RowInstances(self.rows)

    def register(self, *numbers: int) -> None:
        for number in numbers:
            self.instances.register(
                f"i-{number:03}", "z", f"10.0.0.{number % 250}"
            )

    def drop_history(self) -> None:
        self.rows.history.clear()
        self.rows.oldest_version = self.rows.version + 1

    def test_large_site_reads_only_what_changed(self) -> None:
        self.register(*range(INSTANCES))
        self.assertEqual(INSTANCES, len(names(self.instances)))
        self.rows.read = 0
        for _ in range(10):
            self.assertEqual(INSTANCES, len(names(self.instances)))
        self.assertEqual(0, self.rows.read)
        self.instances.remove("i-007")
        self.register(INSTANCES)
        listed = names(self.instances)
        self.assertNotIn("i-007", listed)
        self.assertIn(f"i-{INSTANCES}", listed)
        self.assertLessEqual(self.rows.read, 2)

    def test_reads_everything_when_history_was_dropped(self) -> None:
        self.register(*range(5))
        names(self.instances)
        self.instances.remove("i-002")
        self.register(9)
        self.drop_history()
        self.register(10)
        expected = ["i-000", "i-001", "i-003", "i-004", "i-009", "i-010"]
        self.assertEqual(expected, names(self.instances))
        self.instances.remove("i-000")
        self.assertEqual(expected[1:], names(self.instances))

    def test_failed_read_is_told_and_repeated(self) -> None:
        self.register(1)
        names(self.instances)
        self.register(2)
        self.rows.faults.down = True
        self.assertTrue(self.instances.listed().is_error())
        self.rows.faults.down = False
        self.assertEqual(["i-001", "i-002"], names(self.instances))

    def test_damaged_row_takes_its_instance_off_the_list(self) -> None:
        self.register(1, 2)
        names(self.instances)
        damaged = (RowKey(TABLE, "", "i-001"), b"{")
        self.rows.transact(Transaction(puts=(damaged,)))
        self.assertEqual(["i-002"], names(self.instances))
        self.register(1)
        self.assertEqual(["i-001", "i-002"], names(self.instances))

    def test_changes_that_come_in_pages(self) -> None:
        self.register(0)
        names(self.instances)
        self.register(1, 2, 3, 2)
        whole = self.rows.feed(TABLE, 0, 0.0).ok

        def one_row(
            _table: str, after: int, _wait_s: float
        ) -> Result[RowPage, FeedError]:
            newer = [row for row in whole.rows if row.version > after]
            more = len(newer) > 1
            return Ok(RowPage(tuple(newer[:1]), more, whole.version))

        with patch.object(self.rows, "feed", side_effect=one_row):
            found = names(self.instances)
        self.assertEqual(["i-000", "i-001", "i-002", "i-003"], found)

    def test_older_answers_change_nothing(self) -> None:
        self.register(1)
        old = self.rows.scan(TABLE, "").ok
        self.register(2)
        names(self.instances)
        with patch.object(self.rows, "feed", return_value=Ok(old)):
            self.assertEqual(["i-001", "i-002"], names(self.instances))
        self.register(3)
        self.drop_history()
        with patch.object(self.rows, "scan", return_value=Ok(old)):
            self.assertTrue(self.instances.listed().is_error())
        self.assertEqual(["i-001", "i-002", "i-003"], names(self.instances))

    def test_random_changes_equal_a_full_read(self) -> None:
        for seed in range(30):
            self.check_random_changes(random.Random(seed))

    def check_random_changes(self, rng: random.Random) -> None:
        self.rows = CountingRows()
        self.instances = RowInstances(self.rows)
        for _ in range(60):
            match rng.randrange(6):
                case 0 | 1:
                    self.register(rng.randrange(9))
                case 2:
                    self.instances.remove(f"i-{rng.randrange(9):03}")
                case 3:
                    self.drop_history()
                    self.register(rng.randrange(9))
                case _:
                    whole = names(RowInstances(self.rows))
                    self.assertEqual(whole, names(self.instances))
