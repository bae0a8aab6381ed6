"""Tests of the removal of expired jobs."""

from __future__ import annotations

import unittest

from mulberrypass.jobs.expiry import ExpirySweeper
from mulberrypass.jobs.reading import JobReader
from mulberrypass.testing.platform_faults import CallFault
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from tests.jobs.simulation import Simulation

EXPIRED = 10_000.0


class TestExpirySweeper(unittest.TestCase):
    """An interrupted removal is completed by a later sweep."""

    def setUp(self) -> None:
        """Run a simulation until its jobs have ended."""
        self.simulation = Simulation(4)
        self.simulation.run()
        self.platform = self.simulation.platform
        self.assertTrue(self.platform.object_keys())

    def sweeper(self, wall: float, own: str = "a") -> ExpirySweeper:
        """Return the sweeper of one of two processes."""
        table = MemoryTable(self.platform)
        objects = MemoryObjects(self.platform)
        return ExpirySweeper(
            own,
            table,
            objects,
            JobReader(table, objects),
            lambda: ("a", "b"),
            lambda: wall,
        )

    def rows(self) -> list[str]:
        """Return the keys of all rows of jobs."""
        return [row.key for row in self.platform.all_rows("jobs")]

    def test_jobs_that_have_not_expired_stay(self) -> None:
        before = (self.rows(), self.platform.object_keys())
        self.assertEqual(0, self.sweeper(self.simulation.now).sweep())
        self.assertEqual(before, (self.rows(), self.platform.object_keys()))

    def test_each_job_is_removed_by_one_process(self) -> None:
        jobs = len([key for key in self.rows() if key.startswith("job/")])
        removed = [self.sweeper(EXPIRED, own).sweep() for own in ("a", "b")]
        self.assertEqual(jobs, sum(removed))
        self.assertEqual([], self.rows())

    def test_crash_at_each_write(self) -> None:
        for failing in range(40):
            with self.subTest(failing=failing):
                self.setUp()
                faults = [CallFault.PASS] * failing + [CallFault.REFUSE]
                self.platform.script_writes(faults)
                for own in ("a", "b", "a", "b"):
                    self.sweeper(EXPIRED, own).sweep()
                self.assertEqual([], self.rows())
