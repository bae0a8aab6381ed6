"""Tests of the fault schedule, a short soak run and past failures."""

from __future__ import annotations

from dataclasses import replace
import hashlib
import itertools
from pathlib import Path
from typing import TYPE_CHECKING
import unittest

from mulberrypass.soak.guarantees import DISTURBANCE_MARGIN_S
from mulberrypass.soak.run import Soak, SoakPlan
from mulberrypass.soak.schedule import (
    CALM_S,
    LATER_KINDS,
    PLANNED_KINDS,
    RELOAD_KINDS,
    FaultKind,
    draw_faults,
    draw_run,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.soak.schedule import ScheduledFault

SEEDS = Path(__file__).parent / "seeds.txt"
SEED = 7
SECONDS = 8.0
# Digests of the first stream's faults in 30 s, by seed.
FIRST_STREAMS = {
    1: "be747edf5f127027",
    7: "b54e877a6ecf6405",
    2100: "e9d03ebc1d10d6b9",
}


def digest_of(faults: Iterable[ScheduledFault]) -> str:
    """Return a short digest of a schedule."""
    text = "\n".join(
        f"{fault.at!r} {fault.kind.name} {fault.target} {fault.duration_s!r}"
        for fault in faults
    )
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def failed_seeds() -> list[tuple[int, float]]:
    """Return past failing seeds with the seconds of their runs."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    entries = [line.split() for line in lines if line[:1].isdigit()]
    return [(int(seed), float(seconds)) for seed, seconds, *_ in entries]


class ScheduleTest(unittest.TestCase):
    def test_seed_determines_faults(self) -> None:
        self.assertEqual(draw_run(3, 30.0, 4, 3), draw_run(3, 30.0, 4, 3))
        self.assertNotEqual(draw_run(3, 30.0, 4, 3), draw_run(4, 30.0, 4, 3))

    def test_every_kind_is_drawn(self) -> None:
        kinds = {
            fault.kind
            for seed in range(20)
            for fault in draw_run(seed, 30, 4, 3)
        }
        self.assertEqual(set(FaultKind), kinds)

    def test_first_stream_of_a_seed_never_changes(self) -> None:
        """A seed that once failed must give the same faults again.

        The digests were taken before any kind was added.
        """
        for seed, digest in FIRST_STREAMS.items():
            with self.subTest(seed=seed):
                faults = draw_faults(seed, 30.0, 4, 3)
                self.assertEqual(digest, digest_of(faults))

    def test_run_holds_the_first_stream_after_the_calm(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                first = draw_faults(seed, 30.0, 4, 3)
                drawn = [
                    fault
                    for fault in draw_run(seed, 30.0, 4, 3)
                    if fault.kind not in LATER_KINDS
                ]
                moved = [
                    replace(fault, at=CALM_S + fault.at) for fault in first
                ]
                self.assertEqual(moved, drawn)

    def test_only_planned_work_in_the_calm(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                calm = [
                    fault
                    for fault in draw_run(seed, 30.0, 4, 3)
                    if fault.at < CALM_S
                ]
                self.assertTrue(calm)
                for fault in calm:
                    self.assertIn(fault.kind, PLANNED_KINDS)
                    self.assertGreater(fault.at, DISTURBANCE_MARGIN_S - 0.1)
                    self.assertLess(
                        fault.at, CALM_S - DISTURBANCE_MARGIN_S + 1
                    )

    def test_reloads_come_in_overlapping_series(self) -> None:
        reloads = [
            fault
            for fault in draw_run(3, 30.0, 4, 3)
            if fault.kind in RELOAD_KINDS
        ]
        pairs = itertools.pairwise(reloads)
        self.assertTrue(any(later.at < sooner.end for sooner, later in pairs))

    def test_some_runs_end_with_a_loss_of_all(self) -> None:
        last = [draw_run(seed, 8.0, 4, 3)[-1] for seed in range(20)]
        at_end = [
            fault
            for fault in last
            if fault.kind is FaultKind.LOSS and fault.at == CALM_S + 8.0
        ]
        self.assertTrue(0 < len(at_end) < len(last))

    def test_customer_sends_more_before_and_during_the_faults(self) -> None:
        """A limit that is off isn't seen if no customer goes beyond it."""
        for seed in range(20):
            with self.subTest(seed=seed):
                hot = [
                    fault.at < CALM_S
                    for fault in draw_run(seed, 8.0, 4, 3)
                    if fault.kind is FaultKind.HOT
                ]
                self.assertEqual([True, False], hot)


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
