"""Places all pools that this control process is to place."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.model.objects import BackendKind
from mulberrypass.placement.lease import PoolLease
from mulberrypass.placement.pool import PoolPlacer, PoolPorts
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
STEP_S = 1.0
REPORT_THREADS = 8
STOP_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class PlacementPorts:
    """What the placement of pools talks to.

    :param engine: gives the client of an engine
    """

    configuration: ConfigurationSource
    membership: Membership
    table: Table
    weights: WeightStore
    engine: Callable[[Backend], ModelEngine]
    metrics: Metrics


class PlacementRunner:
    """Steps through the pools on a thread of its own.

    :param clock: monotonic seconds
    :param demand: gives requests a second of services, where known
    """

    def __init__(
        self,
        ports: PlacementPorts,
        own: Member,
        clock: Callable[[], float] = time.monotonic,
        demand: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self._ports = ports
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
        """Start to place pools."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more orders; the leases lapse."""
        self._stop.set()
        self._thread.join(STOP_TIMEOUT_S)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def state(self) -> dict[str, PoolState]:
        """Give the pools that this process places."""
        placers = self._placers.copy()
        return {name: placer.state() for name, placer in placers.items()}

    def step(self) -> None:
        """Place each pool that is this process's."""
        cfg = self._ports.configuration.current()
        mine = {pool.name: pool for pool in self._mine(cfg)}
        for gone in self._placers.keys() - mine.keys():
            del self._placers[gone]
        leaving = self._ports.membership.leaving_backends()
        for name, pool in mine.items():
            placer = self._placers.get(name)
            if placer is None:
                placer = self._placers[name] = self._make_placer(name)
            placer.step(cfg, pool, self._demand(), leaving)

    def _run(self) -> None:
        while not self._stop.wait(STEP_S):
            try:
                self.step()
            except Exception:
                LOG.exception("placement failed")

    def _mine(self, cfg: Configuration) -> list[Pool]:
        names = [m.name for m in self._ports.membership.live("control")]
        members = {*names, self._own.name}
        return [
            pool
            for pool in cfg.pools.values()
            if _has_engines(cfg, pool)
            and preferred_member(pool.name, members) == self._own.name
        ]

    def _make_placer(self, pool: str) -> PoolPlacer:
        me = f"{self._own.name}/{self._own.incarnation}"
        lease = PoolLease(self._ports.table, pool, me, self._clock)
        ports = PoolPorts(
            self._ports.engine,
            self._ports.weights,
            self._executor,
            self._ports.metrics,
            self._clock,
        )
        return PoolPlacer(ports, lease)


def _has_engines(cfg: Configuration, pool: Pool) -> bool:
    return any(
        cfg.backends[name].kind is BackendKind.ENGINE for name in pool.backends
    )


__all__ = ["PlacementPorts", "PlacementRunner"]
