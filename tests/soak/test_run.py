"""A short run of the soak, and each seed that ever failed."""

from __future__ import annotations

from pathlib import Path
import unittest

from mulberrypass.soak.run import Plan, Soak
from mulberrypass.soak.schedule import FaultKind, draw

SEEDS = Path(__file__).parent / "seeds.txt"
FIRST_SEED = 7
SECONDS = 8.0


def failed_seeds() -> list[tuple[int, float]]:
    """Give the seeds that ever failed, and the length of their runs."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    entries = [line.split() for line in lines if line[:1].isdigit()]
    return [(int(seed), float(seconds)) for seed, seconds, *_ in entries]


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_the_same_faults(self) -> None:
        self.assertEqual(draw(3, 30.0, 4, 3), draw(3, 30.0, 4, 3))
        self.assertNotEqual(draw(3, 30.0, 4, 3), draw(4, 30.0, 4, 3))

    def test_all_kinds_come(self) -> None:
        kinds = {
            fault.kind for seed in range(20) for fault in draw(seed, 30, 4, 3)
        }
        self.assertEqual(set(FaultKind), kinds)


class RunTest(unittest.TestCase):
    def test_a_short_run_breaks_nothing(self) -> None:
        report = Soak(Plan(FIRST_SEED, SECONDS)).run()
        self.assertEqual((), report.broken, report.logs)
        self.assertGreater(report.served, 0)
        self.assertGreater(report.accepted, 0)

    def test_seeds_that_failed_once(self) -> None:
        for seed, seconds in failed_seeds():
            with self.subTest(seed=seed):
                report = Soak(Plan(seed, seconds)).run()
                self.assertEqual((), report.broken, report.logs)
