"""Tests of sharing slots among customers, by replays of scarce capacity."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from typing import ClassVar
import unittest

from mulberrypass.policy.admission.ramps import RampLimits
from mulberrypass.policy.admission.shares import fair_level
from tests.policy.admission.loads import (
    LARGE,
    Excess,
    Load,
    Replay,
    percentile,
    share_in_time,
    shares_by_customer,
    worst_tenth,
)

SEEDS = (1, 2)
# It begins with a pulse, when the others' demand is about to grow.
EXCESS = Excess(LARGE, 5.0, 15.6, 20.6)
SITE = Load(seconds=31.2)
SCARCE = {
    "15 engines": SITE,
    "12 engines": replace(SITE, engines=12),
    "an engine lost": replace(SITE, lost=1, lost_at_s=15.7),
    "two cells": replace(SITE, engines=30, cells=2, per_s=106.6),
}
MAX_RATIO = 1.15
MAX_REFUSAL_S = 0.05


def _others_p95_s(replay: Replay) -> float:
    """Return the others' 95th percentile time to the first event.

    It counts requests that came during the excess, from their first attempt.
    """
    return percentile(
        (
            request.started_s
            for request in replay.online(without=[LARGE])
            if EXCESS.begin_s <= request.arrived < EXCESS.end_s
        ),
        0.95,
    )


class ExcessTest(unittest.TestCase):
    """One customer's excess delays the others or starves somebody."""

    usual: ClassVar[dict[tuple[str, int], Replay]]
    excess: ClassVar[dict[tuple[str, int], Replay]]

    @classmethod
    def setUpClass(cls) -> None:
        cases = [(name, seed) for name in SCARCE for seed in SEEDS]
        cls.usual = {
            (name, seed): Replay(SCARCE[name], seed).run()
            for name, seed in cases
        }
        cls.excess = {
            (name, seed): Replay(
                replace(SCARCE[name], excess=EXCESS), seed
            ).run()
            for name, seed in cases
        }

    def test_others_start_as_soon_as_without_the_excess(self) -> None:
        for name, replay in self.excess.items():
            with self.subTest(name):
                usual = _others_p95_s(self.usual[name])
                got = _others_p95_s(replay)
                self.assertLessEqual(got, MAX_RATIO * usual)

    def test_shares_and_refusals(self) -> None:
        for name, replay in self.excess.items():
            online = replay.online()
            shares = shares_by_customer(online)
            everyone = share_in_time(online)
            with self.subTest(name, check="worst tenth"):
                self.assertGreaterEqual(worst_tenth(shares), everyone - 0.05)
            with self.subTest(name, check="none is starved"):
                self.assertGreaterEqual(min(shares.values()), everyone / 4)
            refused = [r for r, _ in replay.refusals]
            with self.subTest(name, check="the large customer's first"):
                self.assertTrue(refused)
                hot = sum(r.customer == LARGE for r in refused)
                self.assertGreaterEqual(hot, 0.95 * len(refused))

    def test_refusals_come_at_once(self) -> None:
        for name, replay in self.excess.items():
            with self.subTest(name):
                times = [after_s for _, after_s in replay.refusals]
                p99_s = percentile(times, 0.99)
                self.assertLessEqual(p99_s, MAX_REFUSAL_S)

    def test_returns_are_spread(self) -> None:
        for name, replay in self.excess.items():
            with self.subTest(name):
                delays = {round(d, 2) for d in replay.retry_delays}
                self.assertGreater(len(delays), 20)


class UsualLoadTest(unittest.TestCase):
    """Shares refuse work though there are enough slots."""

    def test_large_customer_is_served_at_its_usual_rate(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                online = Replay(SITE, seed).run().online()
                self.assertGreaterEqual(share_in_time(online), 0.999)

    def test_single_customer_uses_all_slots(self) -> None:
        load = Load(seconds=30.0, customers=1, per_s=140.0)
        self.assertEqual(15 * 8, Replay(load, 1).run().most_running)

    def test_nothing_changes_without_customers(self) -> None:
        """Asks by priority are granted and refused as without shares."""
        load = replace(SITE, seconds=20.0, engines=8, named=False)
        runs = []
        for share in (0.0, 1 / 16):
            replay = Replay(load, 1, share_headroom=share).run()
            runs.append([(r.granted_at, r.engine) for r in replay.requests])
        self.assertEqual(runs[0], runs[1])


class FairLevelTest(unittest.TestCase):
    def test_level(self) -> None:
        cases = {
            "enough": ([(3, 1.0), (5, 1.0)], 8, inf),
            "one is over": ([(3, 1.0), (9, 1.0)], 8, 5.0),
            "all are over": ([(9, 1.0), (9, 1.0)], 8, 4.0),
            "by weight": ([(9, 1.0), (9, 0.5)], 9, 6.0),
            "nobody": ([], 8, inf),
        }
        for name, (demands, slots, level) in cases.items():
            with self.subTest(name):
                self.assertAlmostEqual(level, fair_level(demands, slots))


class RampLimitsTest(unittest.TestCase):
    """A customer fills the slots before a pulse of the others."""

    def test_growth_leaves_room_for_the_others_peak(self) -> None:
        ramps = RampLimits()
        others = {f"c{i}": 1 for i in range(60)}
        ramps.update(others, others, 100.0, 10.0, 1.0, 0.0)
        now = 0.0
        running = 10
        reached = {}
        while now < 2.0:
            now += 0.05
            used = {"hot": running, "c1": 1}
            ramps.update(used, {"hot": 99, "c1": 1}, 100.0, 10.0, 1.0, now)
            running = min(100, int(ramps.allowed("hot")))
            reached[round(now, 2)] = running
        self.assertLessEqual(reached[0.05], 53)
        self.assertLessEqual(reached[0.5], 80)
        self.assertEqual(100, reached[2.0])

    def test_customer_that_is_alone_grows_at_will(self) -> None:
        ramps = RampLimits()
        ramps.update({"a": 50}, {"a": 99}, 100.0, 10.0, 1.0, 0.0)
        self.assertEqual(inf, ramps.allowed("a"))
