"""Tests of the fault schedule, a short soak run and past failures."""

from __future__ import annotations

from pathlib import Path
import unittest

from mulberrypass.soak.run import Soak, SoakPlan
from mulberrypass.soak.schedule import FaultKind, draw_faults

SEEDS = Path(__file__).parent / "seeds.txt"
SEED = 7
SECONDS = 8.0


def failed_seeds() -> list[tuple[int, float]]:
    """Return past failing seeds with the seconds of their runs."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    entries = [line.split() for line in lines if line[:1].isdigit()]
    return [(int(seed), float(seconds)) for seed, seconds, *_ in entries]


class ScheduleTest(unittest.TestCase):
    def test_seed_determines_faults(self) -> None:
        self.assertEqual(
            draw_faults(3, 30.0, 4, 3), draw_faults(3, 30.0, 4, 3)
        )
        self.assertNotEqual(
            draw_faults(3, 30.0, 4, 3), draw_faults(4, 30.0, 4, 3)
        )

    def test_every_kind_is_drawn(self) -> None:
        kinds = {
            fault.kind
            for seed in range(20)
            for fault in draw_faults(seed, 30, 4, 3)
        }
        self.assertEqual(set(FaultKind), kinds)


class RunTest(unittest.TestCase):
    def test_short_run_has_no_violations(self) -> None:
        report = Soak(SoakPlan(SEED, SECONDS)).run()
        self.assertEqual((), report.broken, report.logs)
        self.assertGreater(report.served, 0)
        self.assertGreater(report.accepted, 0)

    def test_seeds_that_failed_before(self) -> None:
        for seed, seconds in failed_seeds():
            with self.subTest(seed=seed):
                report = Soak(SoakPlan(seed, seconds)).run()
                self.assertEqual((), report.broken, report.logs)
