"""Tests of version routing and of canary decisions."""

from __future__ import annotations

from collections import Counter
import unittest

from mulberrypass.model.objects import Customer, Route, Service, ServiceKind
from mulberrypass.policy.placement.canary import (
    Advance,
    RolloutDecision,
    Stage,
    Stay,
    StopRollout,
    VersionCounts,
    compare_versions,
    route_version,
    routes_at,
)
from tests.policy.placement.canary_simulation import BEHAVIOURS, roll_out

GENERAL = Customer("firm", ())
PILOT = Customer("pilot-firm", (), group="pilot")
HASHES = [number * 0x9E3779B97F4A7C15 % 2**64 for number in range(4_000)]


def choose(routes: tuple[Route, ...], customer: Customer) -> list[str]:
    """Return the version of each request."""
    service = Service("s", ServiceKind.MODEL, "p", "m", routes)
    chosen = [route_version(service, customer, h) for h in HASHES]
    return ["" if route is None else route.version for route in chosen]


class RouteVersionTest(unittest.TestCase):
    """Requests follow weights and groups, and keep their version."""

    def test_weights(self) -> None:
        counts = Counter(choose((Route("r1", 9), Route("r2", 1)), GENERAL))
        self.assertAlmostEqual(0.1, counts["r2"] / len(HASHES), delta=0.02)

    def test_groups(self) -> None:
        routes = (Route("r1", 1), Route("r2", 1, ("pilot",)))
        self.assertEqual({"r1"}, set(choose(routes, GENERAL)))
        self.assertEqual({"r1", "r2"}, set(choose(routes, PILOT)))
        only_pilot = (Route("r2", 1, ("pilot",)),)
        self.assertEqual({""}, set(choose(only_pilot, GENERAL)))

    def test_weight_0_gets_nothing(self) -> None:
        routes = (Route("r1", 0), Route("r2", 1))
        self.assertEqual({"r2"}, set(choose(routes, GENERAL)))

    def test_raised_weight_moves_requests_one_way(self) -> None:
        before = choose((Route("r1", 95), Route("r2", 5)), GENERAL)
        after = choose((Route("r1", 75), Route("r2", 25)), GENERAL)
        moves = Counter(zip(before, after, strict=True))
        self.assertEqual(0, moves["r2", "r1"])
        self.assertGreater(moves["r1", "r2"], 0)

    def test_stages(self) -> None:
        old, new = Route("r1"), Route("r2", adapter="x")
        cases = (
            (Stage(0.05, ("pilot",)), GENERAL, {"r1"}),
            (Stage(0.05, ("pilot",)), PILOT, {"r1", "r2"}),
            (Stage(1.0, ("pilot",)), GENERAL, {"r1"}),
            (Stage(1.0, ("pilot",)), PILOT, {"r2"}),
            (Stage(0.25), GENERAL, {"r1", "r2"}),
            (Stage(1.0), GENERAL, {"r2"}),
        )
        for stage, customer, expected in cases:
            with self.subTest(stage=stage, customer=customer.name):
                routes = routes_at(stage, old, new)
                self.assertEqual(expected, set(choose(routes, customer)))
                self.assertEqual(["r1", "r2"], [r.version for r in routes])


class CompareVersionsTest(unittest.TestCase):
    """A worse version is stopped; a good one advances on evidence."""

    def test_decisions(self) -> None:
        old = VersionCounts(10_000, 50, 500)
        cases: tuple[tuple[str, VersionCounts, type[RolloutDecision]], ...] = (
            ("nothing yet", VersionCounts(0, 0, 0), Stay),
            ("too few", VersionCounts(100, 0, 5), Stay),
            ("as good", VersionCounts(1_000, 5, 50), Advance),
            ("better", VersionCounts(1_000, 0, 10), Advance),
            ("somewhat worse", VersionCounts(1_000, 12, 60), Stay),
            ("fails", VersionCounts(200, 8, 10), StopRollout),
            ("all fail at once", VersionCounts(5, 5, 0), StopRollout),
            ("slow", VersionCounts(300, 1, 60), StopRollout),
        )
        for name, new, expected in cases:
            with self.subTest(name):
                self.assertIsInstance(compare_versions(old, new), expected)

    def test_simulated_rollouts(self) -> None:
        good, *worse = BEHAVIOURS
        runs = [roll_out(seed, good, 20.0, False) for seed in range(60)]
        self.assertLessEqual(sum(run.stopped for run in runs), 1)
        for new in worse:
            with self.subTest(new.name):
                runs = [roll_out(seed, new, 20.0, False) for seed in range(60)]
                self.assertLessEqual(sum(run.completed for run in runs), 1)


if __name__ == "__main__":
    unittest.main()
