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
    from expression import Result

    from mulberrypass.storage.rows import ReadFailure, StoredRow

WAIT_S = 10.0


def put(name: str, value: bytes = b"v") -> Transaction:
    """Return a change that writes one row."""
    return Transaction(puts=((RowKey("t", "", name), value),))


class RecordingReader(TableReader):
    """Records the calls of the follower."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.full_reads = 0
        self.reachability: list[bool] = []
        self.changes = threading.Condition()

    def on_all_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Replace all rows."""
        with self.changes:
            self.full_reads += 1
            self.rows = {row.at.key: row.value for row in rows}
            self.changes.notify_all()

    def on_changed_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changes."""
        with self.changes:
            for row in rows:
                if row.removed:
                    self.rows.pop(row.at.key, None)
                else:
                    self.rows[row.at.key] = row.value
            self.changes.notify_all()

    def on_reachable(self, reachable: bool) -> None:
        """Record the loss or recovery of the store."""
        with self.changes:
            self.reachability.append(reachable)
            self.changes.notify_all()


class TableFollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = RowState()
        self.state.transact(put("a"))
        self.reader = RecordingReader()
        self.follower = TableFollower(self.state, "t", self.reader)
        self.addCleanup(self.follower.stop)
        self.follower.start()

    def wait_for_rows(self, **rows: bytes) -> None:
        """Wait until the reader has exactly these rows."""
        with self.reader.changes:
            matched = self.reader.changes.wait_for(
                lambda: self.reader.rows == rows, WAIT_S
            )
        self.assertTrue(matched, self.reader.rows)

    def test_changes_are_reported(self) -> None:
        self.wait_for_rows(a=b"v")
        self.state.transact(put("b", b"w"))
        self.wait_for_rows(a=b"v", b=b"w")
        self.state.transact(Transaction(removes=(RowKey("t", "", "a"),)))
        self.wait_for_rows(b=b"w")

    def test_lost_history_causes_a_full_read(self) -> None:
        self.wait_for_rows(a=b"v")
        self.state.faults.silent = True
        self.state.apply(put("b"))
        self.state.apply(Transaction(removes=(RowKey("t", "", "a"),)))
        self.state.forget_history()
        self.state.faults.silent = False
        self.wait_for_rows(b=b"v")
        self.assertGreaterEqual(self.reader.full_reads, 2)

    def test_outage_is_reported(self) -> None:
        self.wait_for_rows(a=b"v")
        self.state.faults.down = True
        with self.state.changed:
            self.state.changed.notify_all()
        with self.reader.changes:
            self.assertTrue(
                self.reader.changes.wait_for(
                    lambda: self.reader.reachability == [False], WAIT_S
                )
            )
        self.state.faults.down = False
        with self.reader.changes:
            self.assertTrue(
                self.reader.changes.wait_for(
                    lambda: self.reader.reachability == [False, True], WAIT_S
                )
            )


class NewPartRows(RowState):
    """Writes the first row of a part right after the parts were listed."""

    def parts(self, table: str) -> Result[tuple[str, ...], ReadFailure]:
        """List the parts of a table, then write a row of a new part."""
        listed = RowState.parts(self, table)
        first = (RowKey(table, "new", f"b{self.version}"), b"v")
        self.apply(Transaction(puts=(first,)))
        return listed


class NewPartTest(unittest.TestCase):
    def test_first_row_of_a_part_written_during_a_full_read(self) -> None:
        """The full read or the feed returns a row of a part that is new."""
        for known_parts in (False, True):
            with self.subTest(known_parts=known_parts):
                state = NewPartRows(on_wait=lambda: None)
                if known_parts:
                    state.apply(put("a"))
                reader = RecordingReader()
                follower = TableFollower(state, "t", reader, all_parts=True)
                self.assertTrue(follower._step())
                self.assertTrue(follower._step())
                keys = {at.key for at in state.rows}
                self.assertEqual(keys, set(reader.rows))


class StaleAnswerTest(unittest.TestCase):
    def test_a_stale_answer_is_dropped(self) -> None:
        state = RowState()
        state.transact(put("a", b"new"))
        reader = RecordingReader()
        follower = TableFollower(state, "t", reader)
        self.assertTrue(follower._step())
        stale = RowPage((), False, 0)
        self.assertFalse(follower._apply_page(stale))
        self.assertEqual({"a": b"new"}, reader.rows)


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
