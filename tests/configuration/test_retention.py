"""Tests of the removal of old generations."""

from __future__ import annotations

import unittest

from mulberrypass.configuration.retention import Retention
from mulberrypass.configuration.rows import HISTORY_PREFIX, TABLE, HistoryRow
from mulberrypass.configuration.store import ConfigurationStore, Submission
from mulberrypass.testing.platform_faults import CallFault, Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.configuration.test_store import make_configuration

GENERATIONS = 30
KEPT = 5


class RetentionTest(unittest.TestCase):
    """Only generations that are far behind the head are removed."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        table = MemoryTable(self.platform)
        objects = MemoryObjects(self.platform)
        store = ConfigurationStore(table, objects, sleep=lambda _: None)
        for number in range(GENERATIONS):
            sub = Submission(
                make_configuration(f"m{number}"), number, str(number), "a"
            )
            self.assertTrue(store.submit(sub).is_ok())
        self.retention = Retention(table, objects, lambda: True, KEPT)

    def kept(self) -> list[int]:
        """Return the generations in the history, oldest first."""
        return sorted(
            HistoryRow.model_validate(row.row).generation
            for row in self.platform.all_rows(TABLE)
            if row.key.startswith(HISTORY_PREFIX)
        )

    def test_old_generations_are_removed_in_batches(self) -> None:
        removed = [self.retention.step() for _ in range(3)]
        self.assertEqual([20, 5, 0], removed)
        newest = list(range(GENERATIONS - KEPT + 1, GENERATIONS + 1))
        self.assertEqual(newest, self.kept())
        self.assertEqual(KEPT, len(self.platform.object_keys()))
        left = [row.key for row in self.platform.all_rows(TABLE)]
        self.assertEqual(1 + 2 * KEPT, len(left))

    def test_faults_leave_nothing_behind(self) -> None:
        self.platform.set_faults(Faults(outage=True))
        self.assertEqual(0, self.retention.step())
        self.platform.set_faults(Faults())
        faults = (CallFault.LOSE_REPLY, CallFault.REFUSE, CallFault.PASS)
        self.platform.script_writes(faults * 8)
        for _ in range(4):
            self.retention.step()
        self.assertEqual(KEPT, len(self.kept()))
        self.assertEqual(KEPT, len(self.platform.object_keys()))


if __name__ == "__main__":
    unittest.main()
