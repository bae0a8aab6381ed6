"""Tests of the orders that one controller sends to a pool."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from mulberrypass.engine.api import LoadOrder, RoleOrder, UnloadOrder
from mulberrypass.model.objects import Fencing, Role, Route
from mulberrypass.placement.engines import MAX_REPORT_LAG_S, EngineTracker
from mulberrypass.placement.pool import ROUTE_SETTLE_S
from mulberrypass.policy.placement.orders import LEASE_S
from mulberrypass.testing.platform_state import FakePlatform
from tests.placement.test_search import (
    ENGINES,
    LOAD_S,
    REPORT_LAG_S,
    WEIGHTS_BYTES,
    Simulation,
    make_configuration,
)

BOTH = (Route("r1"), Route("r2"))
ROLE = RoleOrder(Role.BOTH)
LOAD = LoadOrder("m", "r2")
UNLOAD = UnloadOrder("m", "r1")


class PoolPlacerTest(unittest.TestCase):
    """Orders are sent in a safe sequence, and each is confirmed."""

    def setUp(self) -> None:
        self.enterContext(capture_logs())
        self.reset(Fencing.REFUSED, *BOTH)

    def reset(self, fencing: Fencing, *routes: Route) -> None:
        """Start a new simulation without faults."""
        self.sim = Simulation(0, make_configuration(fencing, *routes))
        self.sim.end_faults()

    def run_for(self, seconds: float, index: int = 0) -> None:
        """Step one controller every second."""
        end = self.sim.now + seconds
        while self.sim.now < end:
            self.sim.step_placer(index)
            self.sim.now += 1.0

    def orders(self, name: str = "e1") -> list[object]:
        """Return the orders that an engine has received."""
        return [order for _, _, order in self.sim.engines[name].orders]

    def test_role_first_then_loads_a_few_at_a_time(self) -> None:
        self.run_for(4.0)
        loading = [n for n in ENGINES if LOAD in self.orders(n)]
        self.assertEqual(1, len(loading))
        self.run_for(len(ENGINES) * (LOAD_S + REPORT_LAG_S + 4.0))
        for name in ENGINES:
            self.assertEqual([ROLE, LOAD], self.orders(name))

    def test_unrouted_version_is_unloaded_after_settling(self) -> None:
        self.run_for(60.0)
        self.sim.cfg = make_configuration(Fencing.REFUSED, Route("r2"))
        self.run_for(ROUTE_SETTLE_S - 1.0)
        self.assertNotIn(UNLOAD, self.orders())
        self.run_for(3 * LEASE_S)
        self.assertEqual([UNLOAD], self.orders()[-1:])
        self.assertEqual(1, self.orders().count(UNLOAD))

    def test_new_holder_fences_before_it_unloads(self) -> None:
        self.run_for(60.0)
        self.run_for(60.0, index=1)
        self.sim.cfg = make_configuration(Fencing.REFUSED, Route("r2"))
        self.run_for(ROUTE_SETTLE_S + 3 * LEASE_S)
        self.assertEqual([ROLE, LOAD, ROLE, ROLE, UNLOAD], self.orders())
        taken = self.sim.engines["e1"].orders
        (role_at, first, _), (unload_at, second, _) = taken[-2:]
        self.assertEqual((3, 3), (first, second))
        self.assertGreaterEqual(unload_at - role_at, MAX_REPORT_LAG_S)

    def test_weight_store_limits_the_rate_of_loads(self) -> None:
        pace = WEIGHTS_BYTES / 30.0
        self.sim.platform = FakePlatform(
            clock=lambda: self.sim.now,
            sleep=lambda _: None,
            weights_bytes_per_s=pace,
        )
        self.sim.placers[0] = self.sim.start()
        self.run_for(130.0)
        starts = sorted(
            at
            for engine in self.sim.engines.values()
            for at, _, order in engine.orders
            if order == LOAD
        )
        gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        self.assertEqual(len(ENGINES), len(starts))
        self.assertTrue(all(gap >= 20.0 for gap in gaps), gaps)

    def test_fenced_holder_takes_a_higher_number(self) -> None:
        for engine in self.sim.engines.values():
            engine.highest_fence = 7
        self.run_for(2.0)
        self.assertEqual([], self.orders())
        self.run_for(2 * LEASE_S)
        self.assertEqual(8, self.sim.engines["e1"].orders[0][1])

    def test_failed_orders_back_off_exponentially(self) -> None:
        failing = self.sim.engines["e1"]
        failing.orders_fail = True
        self.run_for(130.0)
        sent = [at for at, _, _ in failing.orders]
        self.assertEqual([1.0, 3.0, 7.0, 15.0, 31.0, 63.0, 127.0], sent)
        self.assertEqual([ROLE, LOAD], self.orders("e2"))
        failing.orders_fail = False
        self.run_for(90.0)
        self.assertEqual([ROLE, LOAD], self.orders()[-2:])

    def test_lease_is_not_renewed_without_work(self) -> None:
        self.run_for(120.0)
        writes = self.sim.platform.counters().writes
        self.run_for(120.0)
        self.assertEqual(writes, self.sim.platform.counters().writes)


class EngineTrackerTest(unittest.TestCase):
    """A late report doesn't override a newer order."""

    def test_unloaded_version_is_ignored_in_late_reports(self) -> None:
        sim = Simulation(0, make_configuration(Fencing.REFUSED, *BOTH))
        sim.end_faults()
        backend = sim.cfg.backends["e1"]
        report = sim.engines["e1"].load().default_with(self.fail)
        tracker = EngineTracker(0.0)
        tracker.record_report(report, "", 0.0)
        tracker.unloaded["r1"] = 0.0
        for now, loaded in ((1.0, set()), (MAX_REPORT_LAG_S, {"r1"})):
            with self.subTest(now=now):
                tracker.record_report(report, "", now)
                view = tracker.view(backend, False, now)
                self.assertEqual(loaded, view.loaded)


if __name__ == "__main__":
    unittest.main()
