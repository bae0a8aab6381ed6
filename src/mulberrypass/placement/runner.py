"""Runs the placement of the pools that this process is in charge of."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.model.objects import BackendKind
from mulberrypass.model.value_class import value_class
from mulberrypass.placement.lease import PoolLease
from mulberrypass.placement.pool import PoolDependencies, PoolPlacer
from mulberrypass.policy.placement.orders import preferred_member
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from mulberrypass.engine.api import ModelEngine
    from mulberrypass.model.member import Member
    from mulberrypass.model.objects import Backend, Configuration, Pool
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.model.store import Table, WeightStore
    from mulberrypass.peer.api import Membership
    from mulberrypass.placement.engines import PoolState
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
STEP_INTERVAL_S = 1.0
REPORT_THREADS = 8
STOP_TIMEOUT_S = 5.0


@value_class
class PlacementDependencies:
    """Objects that the placement of pools uses.

    :param engine: returns the client of an engine
    """

    configuration: ConfigurationSource
    membership: Membership
    table: Table
    weights: WeightStore
    engine: Callable[[Backend], ModelEngine]
    metrics: Metrics


class PlacementRunner:
    """Places pools periodically, on its own thread.

    :param clock: returns monotonic time in seconds
    :param demand: returns requests per second by service, where known
    """

    def __init__(
        self,
        deps: PlacementDependencies,
        own: Member,
        clock: Callable[[], float] = time.monotonic,
        demand: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self._deps = deps
        self._own = own
        self._clock = clock
        self._demand = demand
        self._executor = ThreadPoolExecutor(REPORT_THREADS, "reports")
        self._placers: dict[str, PoolPlacer] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="placement", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending orders; the leases expire."""
        self._stop.set()
        self._thread.join(STOP_TIMEOUT_S)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def state(self) -> dict[str, PoolState]:
        """Return the state of the pools that this process places."""
        placers = self._placers.copy()
        return {name: placer.state() for name, placer in placers.items()}

    def step(self) -> None:
        """Run one placement step for each of this process's pools."""
        cfg = self._deps.configuration.current()
        own_pools = {pool.name: pool for pool in self._own_pools(cfg)}
        for gone in self._placers.keys() - own_pools.keys():
            del self._placers[gone]
        leaving = self._deps.membership.leaving_backends()
        for name, pool in own_pools.items():
            placer = self._placers.get(name)
            if placer is None:
                placer = self._placers[name] = self._make_placer(name)
            placer.step(cfg, pool, self._demand(), leaving)

    def _run(self) -> None:
        while not self._stop.wait(STEP_INTERVAL_S):
            try:
                self.step()
            except Exception:
                LOG.exception("placement step failed")

    def _own_pools(self, cfg: Configuration) -> list[Pool]:
        names = [m.name for m in self._deps.membership.live("control")]
        members = {*names, self._own.name}
        return [
            pool
            for pool in cfg.pools.values()
            if _has_engines(cfg, pool)
            and preferred_member(pool.name, members) == self._own.name
        ]

    def _make_placer(self, pool: str) -> PoolPlacer:
        holder_id = f"{self._own.name}/{self._own.incarnation}"
        lease = PoolLease(self._deps.table, pool, holder_id, self._clock)
        deps = PoolDependencies(
            self._deps.engine,
            self._deps.weights,
            self._executor,
            self._deps.metrics,
            self._clock,
        )
        return PoolPlacer(deps, lease)


def _has_engines(cfg: Configuration, pool: Pool) -> bool:
    return any(
        cfg.backends[name].kind is BackendKind.ENGINE for name in pool.backends
    )


__all__ = ["PlacementDependencies", "PlacementRunner"]
