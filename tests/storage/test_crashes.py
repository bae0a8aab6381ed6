"""Tests of crashes in the row store."""

from __future__ import annotations

from dataclasses import replace
import json
import time
import unittest
from unittest.mock import patch

from mulberrypass.policy.health.crashes import Crash
from mulberrypass.storage import crashes as module
from mulberrypass.storage.crashes import CRASHES_TABLE, RowCrashes
from mulberrypass.storage.follow import scan_all
from mulberrypass.storage.rows import RowKey, StoredRow, Transaction
from mulberrypass.testing.row_state import RowState
from tests.quiet import quiet_logs

WAIT_S = 5.0
CRASH = Crash(
    "i-1@7",
    "rackmind",
    5,
    frozenset((1, 2**64 - 1)),
    frozenset((1,)),
    requests=frozenset((3, 2**64 - 2)),
    cleared_requests=frozenset((3,)),
)


class RowCrashesTest(unittest.TestCase):
    def setUp(self) -> None:
        quiet_logs()
        self.state = RowState()
        self.learnt: list[Crash] = []
        self.kept: set[str] = set()
        self.crashes = RowCrashes(
            self.state,
            "entry@a",
            self.learnt.append,
            self.kept.__contains__,
        )
        self.crashes.start()
        self.addCleanup(self.crashes.stop)

    def rows(self) -> tuple[StoredRow, ...]:
        read = scan_all(self.state, CRASHES_TABLE, all_parts=False)
        return read.ok[0]

    def wait_for(self, count: int) -> None:
        end = time.monotonic() + WAIT_S
        while len(self.rows()) != count:
            self.assertLess(time.monotonic(), end)
            time.sleep(0.01)

    def test_crash_is_read_as_it_was_written(self) -> None:
        self.crashes.save(CRASH)
        self.wait_for(1)
        self.crashes.on_all_rows(self.rows())
        self.assertEqual([CRASH], self.learnt)

    def test_crash_of_a_build_that_judges_no_requests_is_read(self) -> None:
        self.crashes.save(CRASH)
        self.wait_for(1)
        (row,) = self.rows()
        doc = json.loads(row.value)
        del doc["requests"], doc["cleared_requests"]
        row = replace(row, value=json.dumps(doc).encode())
        self.crashes.on_all_rows((row,))
        none = frozenset[int]()
        older = replace(CRASH, requests=none, cleared_requests=none)
        self.assertEqual([older], self.learnt)

    def test_crash_is_written_when_the_store_is_back(self) -> None:
        self.state.faults.down = True
        with patch.object(module, "RETRY_S", 0.01):
            self.crashes.save(CRASH)
            time.sleep(0.1)
            self.state.faults.down = False
            self.wait_for(1)

    def test_rows_are_bounded(self) -> None:
        with patch.object(module, "MAX_ROWS", 3):
            for number in range(8):
                self.crashes.save(Crash(f"i-{number}", "s", 0, frozenset()))
                time.sleep(0.02)
                self.crashes.on_changed_rows(self.rows()[-1:])
            self.assertLessEqual(len(self.rows()), 5)

    def test_row_that_holds_a_request_is_removed(self) -> None:
        """After a loss of all instances the request crashed engines again."""
        self.kept.add("i-0")
        with patch.object(module, "MAX_ROWS", 3):
            for number in range(8):
                self.crashes.save(Crash(f"i-{number}", "s", 0, frozenset()))
                self.wait_for_row(f"i-{number}/entry@a")
                self.crashes.on_all_rows(self.rows())
        names = [row.at.key for row in self.rows()]
        self.assertIn("i-0/entry@a", names)
        self.assertLessEqual(len(names), 5)

    def wait_for_row(self, name: str) -> None:
        end = time.monotonic() + WAIT_S
        while name not in [row.at.key for row in self.rows()]:
            self.assertLess(time.monotonic(), end)
            time.sleep(0.01)

    def test_damaged_row_is_passed_over(self) -> None:
        for number, value in enumerate((b"", b"[]", b"{}", b"\xff")):
            key = RowKey(CRASHES_TABLE, "", f"row-{number}")
            self.state.apply(Transaction(puts=((key, value),)))
        self.crashes.save(CRASH)
        self.wait_for(5)
        self.crashes.on_all_rows(self.rows())
        self.assertEqual([CRASH], self.learnt)
