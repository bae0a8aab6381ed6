"""Tests of following a table through outages and lost history."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.storage.follow import TableFollower, TableReader
from mulberrypass.storage.instances import RowInstances
from mulberrypass.storage.rows import RowKey, RowPage, Transaction
from mulberrypass.testing.row_state import RowState

if TYPE_CHECKING:
    from mulberrypass.storage.rows import StoredRow

WAIT_S = 10.0


def put(name: str, value: bytes = b"v") -> Transaction:
    """Give a change of one row."""
    return Transaction(puts=((RowKey("t", "", name), value),))


class Kept(TableReader):
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.wholes = 0
        self.reached: list[bool] = []
        self.changes = threading.Condition()

    def on_all_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take all rows."""
        with self.changes:
            self.wholes += 1
            self.rows = {row.at.key: row.value for row in rows}
            self.changes.notify_all()

    def on_changed_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take changes."""
        with self.changes:
            for row in rows:
                if row.removed:
                    self.rows.pop(row.at.key, None)
                else:
                    self.rows[row.at.key] = row.value
            self.changes.notify_all()

    def on_reachable(self, reachable: bool) -> None:
        """Take what is said of the store."""
        with self.changes:
            self.reached.append(reachable)
            self.changes.notify_all()


class FollowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = RowState()
        self.state.transact(put("a"))
        self.kept = Kept()
        self.follower = TableFollower(self.state, "t", self.kept)
        self.addCleanup(self.follower.stop)
        self.follower.start()

    def until(self, **rows: bytes) -> None:
        """Wait until the reader has just these rows."""
        with self.kept.changes:
            held = self.kept.changes.wait_for(
                lambda: self.kept.rows == rows, WAIT_S
            )
        self.assertTrue(held, self.kept.rows)

    def test_changes_come(self) -> None:
        self.until(a=b"v")
        self.state.transact(put("b", b"w"))
        self.until(a=b"v", b=b"w")
        self.state.transact(Transaction(removes=(RowKey("t", "", "a"),)))
        self.until(b=b"w")

    def test_history_is_dropped(self) -> None:
        self.until(a=b"v")
        self.state.faults.silent = True
        self.state.apply(put("b"))
        self.state.apply(Transaction(removes=(RowKey("t", "", "a"),)))
        self.state.forget_history()
        self.state.faults.silent = False
        self.until(b=b"v")
        self.assertGreaterEqual(self.kept.wholes, 2)

    def test_outage_is_told(self) -> None:
        self.until(a=b"v")
        self.state.faults.down = True
        with self.state.changed:
            self.state.changed.notify_all()
        with self.kept.changes:
            self.assertTrue(
                self.kept.changes.wait_for(
                    lambda: self.kept.reached == [False], WAIT_S
                )
            )
        self.state.faults.down = False
        with self.kept.changes:
            self.assertTrue(
                self.kept.changes.wait_for(
                    lambda: self.kept.reached == [False, True], WAIT_S
                )
            )


class StaleTest(unittest.TestCase):
    def test_an_answer_that_is_behind_is_not_taken(self) -> None:
        state = RowState()
        state.transact(put("a", b"new"))
        kept = Kept()
        follower = TableFollower(state, "t", kept)
        self.assertTrue(follower._step())
        behind = RowPage((), False, 0)
        self.assertFalse(follower._apply_page(behind))
        self.assertEqual({"a": b"new"}, kept.rows)


class InstancesTest(unittest.TestCase):
    def test_list(self) -> None:
        state = RowState()
        listed = RowInstances(state)
        listed.register("i-1", "a", "10.0.0.1")
        listed.register("i-2", "b", "10.0.0.2")
        listed.register("i-1", "a", "10.0.0.9")
        damaged = (RowKey("instances", "", "i-3"), b"\xff")
        state.transact(Transaction(puts=(damaged,)))
        listed.remove("i-2")
        found = listed.listed().ok
        self.assertEqual(
            [("i-1", "a", "10.0.0.9")],
            [(entry.name, entry.zone, entry.address) for entry in found],
        )
