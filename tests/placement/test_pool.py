"""One controller's orders to a pool, step by step."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from mulberrypass.engine.api import LoadOrder, RoleOrder, UnloadOrder
from mulberrypass.model.objects import Fencing, Role, Route
from mulberrypass.placement.engines import REPORT_LAG_S, EngineTracker
from mulberrypass.placement.pool import SETTLE_S
from mulberrypass.policy.placement.orders import LEASE_S
from mulberrypass.testing.platform_state import FakePlatform
from tests.placement.test_search import (
    ENGINES,
    LAG_S,
    LOAD_S,
    SIZE,
    World,
    make_configuration,
)

BOTH = (Route("r1"), Route("r2"))
ROLE = RoleOrder(Role.BOTH)
LOAD = LoadOrder("m", "r2")
DROP = UnloadOrder("m", "r1")


class PoolPlacerTest(unittest.TestCase):
    """Orders come in a safe order, and each is read back."""

    def setUp(self) -> None:
        self.enterContext(capture_logs())
        self.use(Fencing.REFUSED, *BOTH)

    def use(self, fencing: Fencing, *routes: Route) -> None:
        """Begin anew with a configuration."""
        self.world = World(0, make_configuration(fencing, *routes))
        self.world.heal()

    def run_for(self, seconds: float, index: int = 0) -> None:
        """Let one controller go on alone."""
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.place(index)
            self.world.now += 1.0

    def orders(self, name: str = "e1") -> list[object]:
        """Give the orders that an engine has taken."""
        return [order for _, _, order in self.world.engines[name].orders]

    def test_role_then_load_few_at_once(self) -> None:
        self.run_for(4.0)
        loading = [n for n in ENGINES if LOAD in self.orders(n)]
        self.assertEqual(1, len(loading))
        self.run_for(len(ENGINES) * (LOAD_S + LAG_S + 4.0))
        for name in ENGINES:
            self.assertEqual([ROLE, LOAD], self.orders(name))

    def test_version_of_no_route_goes_last(self) -> None:
        self.run_for(60.0)
        self.world.cfg = make_configuration(Fencing.REFUSED, Route("r2"))
        self.run_for(SETTLE_S - 1.0)
        self.assertNotIn(DROP, self.orders())
        self.run_for(3 * LEASE_S)
        self.assertEqual([DROP], self.orders()[-1:])
        self.assertEqual(1, self.orders().count(DROP))

    def test_a_new_tenure_fences_before_it_drops(self) -> None:
        self.run_for(60.0)
        self.run_for(60.0, index=1)
        self.world.cfg = make_configuration(Fencing.REFUSED, Route("r2"))
        self.run_for(SETTLE_S + 3 * LEASE_S)
        self.assertEqual([ROLE, LOAD, ROLE, ROLE, DROP], self.orders())
        taken = self.world.engines["e1"].orders
        (roled, first, _), (dropped, second, _) = taken[-2:]
        self.assertEqual((3, 3), (first, second))
        self.assertGreaterEqual(dropped - roled, REPORT_LAG_S)

    def test_loads_are_paced_by_the_weight_store(self) -> None:
        pace = SIZE / 30.0
        self.world.platform = FakePlatform(
            clock=lambda: self.world.now,
            sleep=lambda _: None,
            weights_bytes_per_s=pace,
        )
        self.world.placers[0] = self.world.start()
        self.run_for(130.0)
        starts = sorted(
            at
            for engine in self.world.engines.values()
            for at, _, order in engine.orders
            if order == LOAD
        )
        gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        self.assertEqual(len(ENGINES), len(starts))
        self.assertTrue(all(gap >= 20.0 for gap in gaps), gaps)

    def test_fenced_off_holder_takes_a_higher_number(self) -> None:
        for engine in self.world.engines.values():
            engine.highest = 7
        self.run_for(2.0)
        self.assertEqual([], self.orders())
        self.run_for(2 * LEASE_S)
        self.assertEqual(8, self.world.engines["e1"].orders[0][1])

    def test_failed_orders_are_spaced_more_and_more(self) -> None:
        failing = self.world.engines["e1"]
        failing.broken = True
        self.run_for(130.0)
        sent = [at for at, _, _ in failing.orders]
        self.assertEqual([1.0, 3.0, 7.0, 15.0, 31.0, 63.0, 127.0], sent)
        self.assertEqual([ROLE, LOAD], self.orders("e2"))
        failing.broken = False
        self.run_for(90.0)
        self.assertEqual([ROLE, LOAD], self.orders()[-2:])

    def test_no_lease_is_kept_where_nothing_is_to_do(self) -> None:
        self.run_for(120.0)
        writes = self.world.platform.counters().writes
        self.run_for(120.0)
        self.assertEqual(writes, self.world.platform.counters().writes)


class EngineMemoryTest(unittest.TestCase):
    """A late report does not undo what was ordered since."""

    def test_dropped_version_is_not_seen_again(self) -> None:
        world = World(0, make_configuration(Fencing.REFUSED, *BOTH))
        world.heal()
        backend = world.cfg.backends["e1"]
        report = world.engines["e1"].load().default_with(self.fail)
        memory = EngineTracker(0.0)
        memory.hear(report, "", 0.0)
        memory.dropped["r1"] = 0.0
        for now, loaded in ((1.0, set()), (REPORT_LAG_S, {"r1"})):
            with self.subTest(now=now):
                memory.hear(report, "", now)
                view = memory.view(backend, False, now)
                self.assertEqual(loaded, view.loaded)


if __name__ == "__main__":
    unittest.main()
