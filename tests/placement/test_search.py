"""Randomized tests of two controllers that race, pause and restart.

MULBERRY_SEEDS sets the number of seeds, MULBERRY_FIRST_SEED the first one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import Executor, Future
from itertools import pairwise, product
import os
import random
from typing import Any
import unittest

from expression import Error, Ok, Result

from mulberrypass.engine import api as engine_api
from mulberrypass.model.objects import (
    Backend,
    BackendKind,
    Configuration,
    Fencing,
    Model,
    Pool,
    Route,
    Service,
    ServiceKind,
    Version,
)
from mulberrypass.model.outcome import Ran
from mulberrypass.placement.lease import PoolLease
from mulberrypass.placement.pool import PoolDependencies, PoolPlacer
from mulberrypass.policy.placement.orders import LEASE_S
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_faults import Faults
from mulberrypass.testing.platform_memory import (
    MemoryTable,
    MemoryWeightStore,
)
from mulberrypass.testing.platform_state import FakePlatform

SEEDS = int(os.environ.get("MULBERRY_SEEDS", "20"))
FIRST_SEED = int(os.environ.get("MULBERRY_FIRST_SEED", "0"))
STEPS = 120
MAX_SETTLE_STEPS = 600
QUIET_STEPS = 90
LOAD_S = 4.0
REPORT_LAG_S = 2.0
ENGINES = ("e1", "e2", "e3", "e4")
WEIGHTS_BYTES = 10**9


def make_configuration(
    fencing: Fencing, *routes: Route, capacity: int = 0
) -> Configuration:
    """Return a configuration with one pool and one service.

    :param capacity: versions that fit into an engine's memory; 0 for no limit
    """
    return Configuration(
        generation=1,
        models={"m": Model("m")},
        versions={
            f"m/{name}": Version(name, "m", f"m/{name}", WEIGHTS_BYTES)
            for name in ("r1", "r2")
        },
        backends={
            name: Backend(
                name,
                BackendKind.ENGINE,
                "z",
                f"10.0.0.{index}:8000",
                4,
                fencing=fencing,
                weights_bytes=capacity * WEIGHTS_BYTES,
            )
            for index, name in enumerate(ENGINES, 1)
        },
        pools={"p": Pool("p", ENGINES)},
        services={"s": Service("s", ServiceKind.MODEL, "p", "m", routes)},
    )


class InlineExecutor(Executor):
    """Runs work immediately, on the submitting thread."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Run the work and return a completed future."""
        fut: Future[Any] = Future()
        fut.set_result(fn(*args, **kwargs))
        return fut


class LaggingEngine(engine_api.ModelEngine):
    """An engine with delayed reports and orders that may fail."""

    def __init__(self, sim: Simulation, fencing: Fencing) -> None:
        self.sim = sim
        self.fencing = fencing
        self.ready_at: dict[str, float] = {"r1": 0.0}
        self.highest_fence = 0
        self.orders_fail = False
        self.orders: list[tuple[float, int, engine_api.Order]] = []
        self.reports: list[tuple[float, tuple[str, ...]]] = [(0.0, ("r1",))]

    def loaded(self) -> tuple[str, ...]:
        """Return the versions that can serve now."""
        now = self.sim.now
        return tuple(v for v, at in sorted(self.ready_at.items()) if at <= now)

    def load(
        self,
    ) -> Result[engine_api.LoadReport, engine_api.EngineFailed]:
        """Report the versions that could serve ``REPORT_LAG_S`` ago."""
        if self.sim.chance(0.05):
            return Error(engine_api.EngineFailed("no answer", Ran.NO))
        now = self.sim.now
        self.reports.append((now, self.loaded()))
        while (
            len(self.reports) > 1 and self.reports[1][0] <= now - REPORT_LAG_S
        ):
            self.reports.pop(0)
        versions = self.reports[0][1]
        report = engine_api.LoadReport(0, 0, 0, False, now, versions)
        return Ok(report)

    def order(
        self, order: engine_api.Order, fence: int
    ) -> Result[None, engine_api.StaleFence | engine_api.EngineFailed]:
        """Apply an order, sometimes long after it was sent."""
        sent_at = self.sim.now
        sender = self.sim.sender_of.setdefault(fence, self.sim.sender)
        if sender != self.sim.sender:
            raise AssertionError(f"two holders with fencing number {fence}")
        self.sim.interrupt()
        if fence < self.highest_fence and self.fencing is Fencing.REFUSED:
            return Error(engine_api.StaleFence(self.highest_fence))
        self.highest_fence = max(self.highest_fence, fence)
        self.orders.append((sent_at, fence, order))
        if self.orders_fail:
            return Error(engine_api.EngineFailed("no such path", Ran.NO))
        match order:
            case engine_api.LoadOrder(version=version):
                self.ready_at.setdefault(version, self.sim.now + LOAD_S)
            case engine_api.UnloadOrder(version=version):
                self.ready_at.pop(version, None)
        if self.sim.chance(0.1):
            return Error(engine_api.EngineFailed("no answer", Ran.MAYBE))
        return Ok(None)

    def generate(
        self, req: engine_api.GenerationRequest, deadline_s: float
    ) -> Iterator[Result[engine_api.StreamEvent, engine_api.EngineFailed]]:
        """Not used."""
        raise NotImplementedError

    def resume(
        self, request_id: str, offset: int, deadline_s: float
    ) -> Iterator[Result[engine_api.StreamEvent, engine_api.EngineFailed]]:
        """Not used."""
        raise NotImplementedError

    def cancel(
        self, request_id: str
    ) -> Result[engine_api.Tokens, engine_api.EngineFailed]:
        """Not used."""
        raise NotImplementedError

    def cache_events(
        self, after: int
    ) -> Result[tuple[engine_api.CacheEvent, ...], engine_api.EngineFailed]:
        """Not used."""
        raise NotImplementedError


class Simulation:
    """Two controllers that both place one pool, with seeded random faults."""

    def __init__(self, seed: int, cfg: Configuration) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faulty = True
        self.interrupting = False
        self.cfg = cfg
        self.incarnations = 0
        self.platform = FakePlatform(
            clock=lambda: self.now, sleep=lambda _: None, seed=seed
        )
        fencing = cfg.backends["e1"].fencing
        self.engines = {name: LaggingEngine(self, fencing) for name in ENGINES}
        self.placers = [self.start(), self.start()]
        self.incarnation_of = [1, 2]
        self.active = self.placers[0]
        self.sender = 0
        self.sender_of: dict[int, int] = {}

    def chance(self, probability: float) -> bool:
        """Return true with a probability; always false once faults ended."""
        return self.faulty and self.rng.random() < probability

    def start(self) -> PoolPlacer:
        """Return the placer of a new incarnation of a controller."""
        self.incarnations += 1
        clock: Callable[[], float] = lambda: self.now  # noqa: E731
        lease = PoolLease(
            MemoryTable(self.platform), "p", f"c/{self.incarnations}", clock
        )
        deps = PoolDependencies(
            lambda backend: self.engines[backend.name],
            MemoryWeightStore(self.platform),
            InlineExecutor(),
            Metrics("test"),
            clock,
        )
        return PoolPlacer(deps, lease)

    def interrupt(self) -> None:
        """Pause a controller within an order while the other one continues."""
        if self.interrupting or not self.chance(0.1):
            return
        self.interrupting = True
        sender = self.sender
        other = 1 - self.placers.index(self.active)
        for _ in range(self.rng.choice((1, 20, 60))):
            self.now += 1.0
            self.step_placer(other)
        self.sender, self.active = sender, self.placers[1 - other]
        self.interrupting = False

    def step_placer(self, index: int) -> None:
        """Run one step of a controller."""
        self.active = self.placers[index]
        self.sender = self.incarnation_of[index]
        self.active.step(self.cfg, self.cfg.pools["p"], {}, frozenset())

    def step(self, pause: float = 0.05) -> None:
        """Advance the time; each controller may step, pause or restart."""
        self.now += 1.0
        for index in range(2):
            if self.chance(pause):
                self.now += self.rng.choice((2.0, 18.0))
            elif self.chance(0.02):
                self.placers[index] = self.start()
                self.incarnation_of[index] = self.incarnations
            elif not self.chance(0.3):
                self.step_placer(index)
        if self.chance(0.1):
            self.platform.set_faults(
                Faults(
                    outage=self.chance(0.3),
                    lose_replies=self.rng.choice((0.0, 0.5)),
                )
            )

    def end_faults(self) -> None:
        """Disable all faults."""
        self.faulty = False
        self.platform.set_faults(Faults())

    def serving(self, version: str) -> int:
        """Return the number of engines that can serve a version now."""
        return sum(version in e.loaded() for e in self.engines.values())

    def orders(self) -> int:
        """Return the number of orders that engines have received."""
        return sum(len(engine.orders) for engine in self.engines.values())

    def settle(self) -> None:
        """Step until no order has been sent for ``QUIET_STEPS``."""
        quiet_steps = 0
        for _ in range(MAX_SETTLE_STEPS):
            before = self.orders()
            self.step()
            quiet_steps = quiet_steps + 1 if self.orders() == before else 0
            if quiet_steps >= QUIET_STEPS:
                return
        raise AssertionError("orders don't stop")


class PlacementSearchTest(unittest.TestCase):
    """Under faults a pool reaches its target and doesn't flap."""

    def run_seed(self, seed: int, fencing: Fencing, capacity: int) -> None:
        """Move a pool from one version to another under faults."""
        sim = Simulation(
            seed,
            make_configuration(
                fencing, Route("r1", 9), Route("r2", 1), capacity=capacity
            ),
        )
        min_serving = len(ENGINES) - (1 if capacity else 0)
        for _ in range(STEPS):
            sim.step()
            self.assertGreaterEqual(sim.serving("r1"), min_serving)
        sim.cfg = make_configuration(fencing, Route("r2"), capacity=capacity)
        reached = sim.serving("r2")
        for _ in range(STEPS):
            sim.step()
            self.assertGreaterEqual(sim.serving("r2"), reached)
            reached = sim.serving("r2")
        sim.end_faults()
        sim.settle()
        self.assertEqual(len(ENGINES), sim.serving("r2"))
        self.assertEqual(0, sim.serving("r1"))
        for engine in sim.engines.values():
            self.check_orders(engine)

    def check_orders(self, engine: LaggingEngine) -> None:
        """Check fencing numbers, or the spacing where they are ignored."""
        fences = [fence for _, fence, _ in engine.orders]
        if engine.fencing is Fencing.REFUSED:
            self.assertEqual(sorted(fences), fences)
            return
        in_order = sorted(engine.orders, key=lambda order: order[0])
        for (before, _, _), (after, _, _) in pairwise(in_order):
            self.assertGreater(after - before, LEASE_S)

    def test_seeds(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            for fencing, capacity in product(Fencing, (0, 1)):
                with self.subTest(
                    fencing=fencing, capacity=capacity, seed=seed
                ):
                    self.run_seed(seed, fencing, capacity)


if __name__ == "__main__":
    unittest.main()
