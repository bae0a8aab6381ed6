"""Controllers that race, pause and restart over a pool of engines.

MULBERRY_SEEDS sets how many seeds are tried, MULBERRY_FIRST_SEED the first.
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
MAX_HEALED_STEPS = 600
QUIET_STEPS = 90
LOAD_S = 4.0
LAG_S = 2.0
ENGINES = ("e1", "e2", "e3", "e4")
SIZE = 10**9


def make_configuration(
    fencing: Fencing, *routes: Route, room: int = 0
) -> Configuration:
    """Give a set with one pool and one service."""
    return Configuration(
        generation=1,
        models={"m": Model("m")},
        versions={
            f"m/{name}": Version(name, "m", f"m/{name}", SIZE)
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
                weights_bytes=room * SIZE,
            )
            for index, name in enumerate(ENGINES, 1)
        },
        pools={"p": Pool("p", ENGINES)},
        services={"s": Service("s", ServiceKind.MODEL, "p", "m", routes)},
    )


class HereExecutor(Executor):
    """Runs work at once, on the thread that submits it."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Run the work."""
        fut: Future[Any] = Future()
        fut.set_result(fn(*args, **kwargs))
        return fut


class LaggingEngine(engine_api.ModelEngine):
    """An engine whose reports are late, and whose orders may fail."""

    def __init__(self, world: World, fencing: Fencing) -> None:
        self.world = world
        self.fencing = fencing
        self.ready_at: dict[str, float] = {"r1": 0.0}
        self.highest = 0
        self.broken = False
        self.orders: list[tuple[float, int, engine_api.Order]] = []
        self.reports: list[tuple[float, tuple[str, ...]]] = [(0.0, ("r1",))]

    def loaded(self) -> tuple[str, ...]:
        """Give what can serve now."""
        now = self.world.now
        return tuple(v for v, at in sorted(self.ready_at.items()) if at <= now)

    def load(
        self,
    ) -> Result[engine_api.LoadReport, engine_api.EngineFailed]:
        """Give what could serve some seconds ago."""
        if self.world.happens(0.05):
            return Error(engine_api.EngineFailed("no answer", Ran.NO))
        now = self.world.now
        self.reports.append((now, self.loaded()))
        while len(self.reports) > 1 and self.reports[1][0] <= now - LAG_S:
            self.reports.pop(0)
        versions = self.reports[0][1]
        report = engine_api.LoadReport(0, 0, 0, False, now, versions)
        return Ok(report)

    def order(
        self, order: engine_api.Order, fence: int
    ) -> Result[None, engine_api.StaleFence | engine_api.EngineFailed]:
        """Take an order, sometimes long after it was sent."""
        sent_at = self.world.now
        sender = self.world.sender_of.setdefault(fence, self.world.sender)
        if sender != self.world.sender:
            raise AssertionError(f"two holders with fencing number {fence}")
        self.world.interrupt()
        if fence < self.highest and self.fencing is Fencing.REFUSED:
            return Error(engine_api.StaleFence(self.highest))
        self.highest = max(self.highest, fence)
        self.orders.append((sent_at, fence, order))
        if self.broken:
            return Error(engine_api.EngineFailed("no such path", Ran.NO))
        match order:
            case engine_api.LoadOrder(version=version):
                self.ready_at.setdefault(version, self.world.now + LOAD_S)
            case engine_api.UnloadOrder(version=version):
                self.ready_at.pop(version, None)
        if self.world.happens(0.1):
            return Error(engine_api.EngineFailed("no answer", Ran.MAYBE))
        return Ok(None)

    def generate(
        self, req: engine_api.Generation, deadline_s: float
    ) -> Iterator[Result[engine_api.StreamEvent, engine_api.EngineFailed]]:
        """Generate nothing."""
        raise NotImplementedError

    def resume(
        self, request_id: str, offset: int, deadline_s: float
    ) -> Iterator[Result[engine_api.StreamEvent, engine_api.EngineFailed]]:
        """Resume nothing."""
        raise NotImplementedError

    def cancel(
        self, request_id: str
    ) -> Result[engine_api.Tokens, engine_api.EngineFailed]:
        """Cancel nothing."""
        raise NotImplementedError

    def cache_events(
        self, after: int
    ) -> Result[tuple[engine_api.CacheEvent, ...], engine_api.EngineFailed]:
        """Tell of nothing."""
        raise NotImplementedError


class World:
    """Two controllers that both place one pool; choices are seeded."""

    def __init__(self, seed: int, cfg: Configuration) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.unlucky = True
        self.nested = False
        self.cfg = cfg
        self.lives = 0
        self.platform = FakePlatform(
            clock=lambda: self.now, sleep=lambda _: None, seed=seed
        )
        fencing = cfg.backends["e1"].fencing
        self.engines = {name: LaggingEngine(self, fencing) for name in ENGINES}
        self.placers = [self.start(), self.start()]
        self.lives_of = [1, 2]
        self.active = self.placers[0]
        self.sender = 0
        self.sender_of: dict[int, int] = {}

    def happens(self, probability: float) -> bool:
        """Draw whether something happens, while things go wrong."""
        return self.unlucky and self.rng.random() < probability

    def start(self) -> PoolPlacer:
        """Give the placement of a process that has just started."""
        self.lives += 1
        clock: Callable[[], float] = lambda: self.now  # noqa: E731
        lease = PoolLease(
            MemoryTable(self.platform), "p", f"c/{self.lives}", clock
        )
        ports = PoolDependencies(
            lambda backend: self.engines[backend.name],
            MemoryWeightStore(self.platform),
            HereExecutor(),
            Metrics("test"),
            clock,
        )
        return PoolPlacer(ports, lease)

    def interrupt(self) -> None:
        """Pause a controller inside an order, and let the other go on."""
        if self.nested or not self.happens(0.1):
            return
        self.nested = True
        sender = self.sender
        other = 1 - self.placers.index(self.active)
        for _ in range(self.rng.choice((1, 20, 60))):
            self.now += 1.0
            self.place(other)
        self.sender, self.active = sender, self.placers[1 - other]
        self.nested = False

    def place(self, index: int) -> None:
        """Let one controller take a step."""
        self.active = self.placers[index]
        self.sender = self.lives_of[index]
        self.active.step(self.cfg, self.cfg.pools["p"], {}, frozenset())

    def step(self, pause: float = 0.05) -> None:
        """Let time pass and each controller take a step, or neither."""
        self.now += 1.0
        for index in range(2):
            if self.happens(pause):
                self.now += self.rng.choice((2.0, 18.0))
            elif self.happens(0.02):
                self.placers[index] = self.start()
                self.lives_of[index] = self.lives
            elif not self.happens(0.3):
                self.place(index)
        if self.happens(0.1):
            self.platform.set_faults(
                Faults(
                    outage=self.happens(0.3),
                    lose_replies=self.rng.choice((0.0, 0.5)),
                )
            )

    def heal(self) -> None:
        """End all faults."""
        self.unlucky = False
        self.platform.set_faults(Faults())

    def serving(self, version: str) -> int:
        """Count the engines that can serve a version now."""
        return sum(version in e.loaded() for e in self.engines.values())

    def orders(self) -> int:
        """Count all orders that engines have taken."""
        return sum(len(engine.orders) for engine in self.engines.values())

    def settle(self) -> None:
        """Go on without faults until no order comes for a while."""
        quiet = 0
        for _ in range(MAX_HEALED_STEPS):
            before = self.orders()
            self.step()
            quiet = quiet + 1 if self.orders() == before else 0
            if quiet >= QUIET_STEPS:
                return
        raise AssertionError("orders go on and on")


class PlacementSearchTest(unittest.TestCase):
    """No seed leaves a pool short of its target, or flapping."""

    def run_seed(self, seed: int, fencing: Fencing, room: int) -> None:
        """Move a pool from one version to another, under faults."""
        world = World(
            seed,
            make_configuration(
                fencing, Route("r1", 9), Route("r2", 1), room=room
            ),
        )
        needed = len(ENGINES) - (1 if room else 0)
        for _ in range(STEPS):
            world.step()
            self.assertGreaterEqual(world.serving("r1"), needed)
        world.cfg = make_configuration(fencing, Route("r2"), room=room)
        reached = world.serving("r2")
        for _ in range(STEPS):
            world.step()
            self.assertGreaterEqual(world.serving("r2"), reached)
            reached = world.serving("r2")
        world.heal()
        world.settle()
        self.assertEqual(len(ENGINES), world.serving("r2"))
        self.assertEqual(0, world.serving("r1"))
        for engine in world.engines.values():
            self.check_orders(engine)

    def check_orders(self, engine: LaggingEngine) -> None:
        """Compare the orders of an engine, each with the one before."""
        fences = [fence for _, fence, _ in engine.orders]
        if engine.fencing is Fencing.REFUSED:
            self.assertEqual(sorted(fences), fences)
            return
        in_order = sorted(engine.orders, key=lambda order: order[0])
        for (before, _, _), (after, _, _) in pairwise(in_order):
            self.assertGreater(after - before, LEASE_S)

    def test_seeds(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            for fencing, room in product(Fencing, (0, 1)):
                with self.subTest(fencing=fencing, room=room, seed=seed):
                    self.run_seed(seed, fencing, room)


if __name__ == "__main__":
    unittest.main()
