"""Replays of a load on engines whose lasting speeds differ by 2.2."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from statistics import mean
from typing import TYPE_CHECKING
import unittest

from mulberrypass.peer.owner_reports import OwnerReports
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import Grant, WorkClass
from mulberrypass.programs.site_settings import CELLS
from tests.known_red import known_red
from tests.policy.admission.cases import ask, batch, granted
from tests.policy.admission.uneven import (
    Result,
    Speeds,
    UnevenReplay,
    WithoutPaces,
    spread,
    variants,
)

if TYPE_CHECKING:
    from mulberrypass.policy.admission.cell import Cell

ENGINES = 10
RATIO = 2.2
UNEVEN = spread(ENGINES, RATIO)
VARIANTS = dict(variants(UNEVEN))
# The load of an engine of booking: 103 requests and 12 items per second over
# 29 engines.
ONLINE_PER_S = 3.55 * ENGINES
ITEMS_PER_S = 0.42 * ENGINES
SECONDS = 36.4
SEEDS = (1, 2, 3, 4)
SLOW_AT_S = 15.0
SLOW_S = 30.0
# Share of the 95th percentile without paces, as a target.
TARGET_P95 = 0.95


def replay(speeds: Speeds, seed: int) -> UnevenReplay:
    """Replay the load."""
    made = UnevenReplay(speeds, seed)
    made.run(SECONDS, ONLINE_PER_S, ITEMS_PER_S)
    return made


@cache
def played(speeds: Speeds, seed: int) -> UnevenReplay:
    """Replay the load once for all tests that only read the result."""
    return replay(speeds, seed)


@cache
def without_paces(speeds: Speeds, seed: int) -> Result:
    """Replay the load once as a reference."""
    with WithoutPaces():
        return replay(speeds, seed).result


class UnevenEnginesTest(unittest.TestCase):
    """Engines were chosen as if they were alike."""

    def compare(self, speeds: Speeds) -> None:
        # Figures that nobody uses change nothing.
        unused = replace(speeds, names_percent=True)
        before = [without_paces(unused, seed) for seed in SEEDS]
        after = [played(speeds, seed).result for seed in SEEDS]
        self.assertEqual([r.items for r in after], [r.ended for r in after])
        self.assertLessEqual(
            mean(r.first_ms(0.95) for r in after),
            TARGET_P95 * mean(r.first_ms(0.95) for r in before),
        )
        self.assertGreaterEqual(
            mean(r.in_time() for r in after),
            mean(r.in_time() for r in before),
        )

    def test_first_events_come_sooner_and_in_time(self) -> None:
        for name in ("lasting", "moments", "both"):
            with self.subTest(name):
                self.compare(VARIANTS[name])

    @known_red(48)
    def test_so_do_they_if_engines_name_no_figure(self) -> None:
        self.compare(VARIANTS["both, not named"])

    def test_engines_that_are_alike_are_served_as_before(self) -> None:
        alike = Speeds((1.0,) * ENGINES)
        for seed in SEEDS[:2]:
            with self.subTest(seed):
                after = replay(alike, seed).result
                self.assertEqual(without_paces(alike, seed), after)

    def test_no_engine_is_taken_out(self) -> None:
        for seed in SEEDS[:2]:
            with self.subTest(seed):
                made = played(Speeds(UNEVEN), seed)
                self.assertEqual(set(), made.reduced)
                used = {name for _, name in made.result.chosen}
                self.assertEqual(set(made.names), used)

    def test_batch_goes_to_the_slowest(self) -> None:
        chosen = played(Speeds(UNEVEN), 1).result.chosen
        batch_class, online = WorkClass.BATCH, WorkClass.ONLINE
        slowest = [f"core-{i}" for i in range(ENGINES - 3, ENGINES)]
        fastest = [f"core-{i}" for i in range(3)]
        self.assertGreater(
            sum(chosen[batch_class, n] for n in slowest),
            sum(chosen[batch_class, n] for n in fastest),
        )
        self.assertLess(
            sum(chosen[online, n] for n in slowest),
            sum(chosen[online, n] for n in fastest),
        )


class ItemNearItsEndTest(unittest.TestCase):
    def test_it_goes_to_an_engine_on_which_it_ends_in_time(self) -> None:
        played = replay(Speeds(UNEVEN), 1)
        cell, now = played.cell, played.now
        item = batch("late", output_tokens=300, budget_s=2.2)
        name = granted(cell.handle(item, now))[0][1]
        self.assertLess(cell.paces.lasting.known(name), 1.2)
        item = batch("early", output_tokens=300, budget_s=18.0)
        name = granted(cell.handle(item, now))[0][1]
        self.assertGreater(cell.paces.lasting.known(name), 1.2)


class SlowedEngineTest(unittest.TestCase):
    """An engine that becomes slow must not pass for one that always was."""

    def play(
        self, slow: set[str], factor: float, settings: CellSettings = CELLS
    ) -> UnevenReplay:
        played = UnevenReplay(
            Speeds(UNEVEN),
            1,
            lambda name, now: (
                factor if name in slow and now >= SLOW_AT_S else 1.0
            ),
            settings,
        )
        played.run(SLOW_S, ONLINE_PER_S)
        return played

    def test_it_is_taken_out(self) -> None:
        for factor, settings in ((2.5, CellSettings()), (3.5, CELLS)):
            # Online work avoids the slowest ones, which have few samples.
            for name in ("core-0", "core-4", "core-6"):
                with self.subTest(name=name, factor=factor):
                    played = self.play({name}, factor, settings)
                    self.assertEqual({name}, played.reduced)

    def test_the_slowest_is_avoided_if_it_becomes_slow(self) -> None:
        """It has too few samples to be taken out."""
        played = self.play({"core-9"}, 3.5)
        chosen = played.result.chosen
        share = chosen[WorkClass.ONLINE, "core-9"] / sum(chosen.values())
        self.assertLess(share, 0.5 / ENGINES)

    def test_engines_that_are_all_slow_stay(self) -> None:
        names = {f"core-{i}" for i in range(ENGINES)}
        played = self.play(names, 2.5)
        self.assertEqual(set(), played.reduced)
        paces = [played.cell.paces.lasting.known(n) for n in played.names]
        self.assertEqual(sorted(paces), paces)


class ChangeOfOwnerTest(unittest.TestCase):
    """A new owner began without knowing which engines are slower for good."""

    def setUp(self) -> None:
        played = replay(Speeds(UNEVEN), 1)
        self.names = played.names
        self.old = played.cell
        self.new = played.new_cell(played.now)
        self.now = played.now
        self.reports = OwnerReports()
        for name in self.names:
            others = tuple(set(self.names) - {name})
            for decision in self.old.handle(
                ask(f"on-{name}", avoid=others), self.now
            ):
                if isinstance(decision.message, Grant):
                    found = self.reports.on_grant(
                        "old", decision.message, self.now
                    )
                    self.assertEqual([], list(found))

    def order(self, cell: Cell) -> list[str]:
        return sorted(self.names, key=cell.paces.lasting.known)

    def test_order_of_engines_is_kept(self) -> None:
        later = self.now + 5.0
        for report in self.reports.for_new_owner(later):
            self.new.handle(report, later)
        self.assertEqual(self.order(self.old), self.order(self.new))
        for name in self.names:
            self.assertAlmostEqual(
                self.old.paces.lasting.known(name),
                self.new.paces.lasting.known(name),
            )
        first = granted(self.new.handle(ask("first"), later))[0][1]
        self.assertEqual(self.order(self.old)[0], first)

    def test_old_hints_are_dropped(self) -> None:
        later = self.now + 61.0
        self.assertEqual([], list(self.reports.for_new_owner(later)))

    def test_owner_of_an_older_version_tells_nothing(self) -> None:
        for name in self.names:
            grant = Grant(f"x-{name}", name)
            list(OwnerReports().on_grant("older", grant, self.now))
        self.assertEqual(
            [0.0] * ENGINES,
            [self.new.paces.lasting.known(n) for n in self.names],
        )


if __name__ == "__main__":
    unittest.main()
