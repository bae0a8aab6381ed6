"""Places the versions of one pool by orders to its engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Result

from mulberrypass.engine.api import (
    EngineFailed,
    LoadOrder,
    RoleOrder,
    StaleFence,
    UnloadOrder,
)
from mulberrypass.placement.engines import (
    REPORT_LAG_S,
    EngineMemory,
    EngineState,
    PoolState,
)
from mulberrypass.policy.placement import orders, placement
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from concurrent.futures import Executor

    from mulberrypass.engine.api import LoadReport, ModelEngine, Order
    from mulberrypass.model.objects import Backend, Configuration, Pool
    from mulberrypass.model.store import WeightStore
    from mulberrypass.placement.lease import PoolLease
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
SETTLE_S = 60.0


@dataclass(frozen=True, slots=True)
class PoolPorts:
    """What a pool's placement talks to.

    :param engine: gives the client of an engine
    :param executor: reads the reports of several engines at once
    :param clock: monotonic seconds
    """

    engine: Callable[[Backend], ModelEngine]
    weights: WeightStore
    executor: Executor
    metrics: Metrics
    clock: Callable[[], float]


class PoolPlacer:
    """Brings the engines of one pool to their target. For one thread."""

    def __init__(self, ports: PoolPorts, lease: PoolLease) -> None:
        self._ports = ports
        self._lease = lease
        self._memory: dict[str, EngineMemory] = {}
        self._target = placement.PoolTarget({}, {})
        self._routed: frozenset[str] = frozenset()
        self._routed_since = ports.clock()
        self._steps: tuple[placement.Step, ...] = ()
        self._epoch = 0
        self._fenced_since: float | None = None

    def step(
        self,
        cfg: Configuration,
        pool: Pool,
        demand: Mapping[str, float],
        leaving: frozenset[str],
    ) -> None:
        """Read the engines, and send the orders that may be sent now."""
        backends = [cfg.backends[name] for name in pool.backends]
        self._read(backends)
        now = self._ports.clock()
        views = [
            self._memory[b.name].view(b, b.name in leaving, now)
            for b in backends
        ]
        wanted = placement.routed_versions(cfg, pool, demand)
        self._target = placement.place(wanted, views)
        known = placement.known_versions(cfg, wanted)
        self._steps = placement.next_steps(
            self._target,
            views,
            known,
            self._is_settled(wanted),
            self._may_drop(views),
        )
        if not self._needs_lease(views):
            return
        held = self._lease.keep()
        if held is None:
            return
        if held.epoch != self._epoch:
            self._begin(held.epoch)
            return
        for step in self._steps:
            self._carry_out(cfg, cfg.backends[step.engine], step)

    def state(self) -> PoolState:
        """Give the pool for the dump and the status."""
        held = self._lease.held
        return PoolState(
            epoch=0 if held is None else held.epoch,
            steps=tuple(_describe(step) for step in self._steps),
            engines={
                name: EngineState(
                    loaded=() if m.report is None else m.report.versions,
                    ordered=tuple(sorted(m.ordered)),
                    goal=tuple(sorted(self._target.engines.get(name, ()))),
                    error=m.error,
                )
                for name, m in sorted(self._memory.copy().items())
            },
        )

    def _needs_lease(self, views: list[placement.EngineView]) -> bool:
        """Say whether there are orders to send or to see through."""
        return bool(self._steps) or any(view.ordered for view in views)

    def _begin(self, epoch: int) -> None:
        """Begin to hold the lease; the engines are seen anew."""
        self._epoch = epoch
        self._fenced_since = None
        for memory in self._memory.values():
            memory.forget_orders()

    def _may_drop(self, views: list[placement.EngineView]) -> bool:
        """Say whether what reports show is all that will take effect.

        Each engine has had an order of this holder, so that it refuses those
        of earlier ones, and its reports have had time to show them.
        """
        now = self._ports.clock()
        usable = [view for view in views if view.usable]
        if not all(view.ordered_role is view.role for view in usable):
            self._fenced_since = None
        elif self._fenced_since is None:
            self._fenced_since = now
        since = self._fenced_since
        return since is not None and now - since >= REPORT_LAG_S

    def _read(self, backends: list[Backend]) -> None:
        named = {backend.name for backend in backends}
        for gone in self._memory.keys() - named:
            del self._memory[gone]
        for added in named - self._memory.keys():
            self._memory[added] = EngineMemory(self._ports.clock())
        reports = self._ports.executor.map(self._report, backends)
        now = self._ports.clock()
        for backend, (report, error) in zip(backends, reports, strict=True):
            self._memory[backend.name].hear(report, error, now)

    def _report(self, backend: Backend) -> tuple[LoadReport | None, str]:
        match self._ports.engine(backend).load():
            case Result(tag="ok", ok=report):
                return report, ""
            case Result(error=failed):
                return None, failed.reason

    def _is_settled(self, wanted: tuple[placement.RoutedVersion, ...]) -> bool:
        """Say whether requests routed to other versions have ended."""
        routed = frozenset(version.version for version in wanted)
        now = self._ports.clock()
        if routed != self._routed:
            self._routed, self._routed_since = routed, now
        return now - self._routed_since >= SETTLE_S

    def _carry_out(
        self, cfg: Configuration, backend: Backend, step: placement.Step
    ) -> None:
        memory = self._memory[backend.name]
        if self._ports.clock() < memory.retry_at:
            return
        if isinstance(step, placement.Load):
            if not self._may_fetch(cfg, memory, step.wanted):
                return
        now = self._ports.clock()
        held = self._lease.held
        if held is None or not orders.may_order(
            held, backend.fencing, memory.last_order_at, now
        ):
            return
        memory.last_order_at = now
        order = _order(step)
        match self._ports.engine(backend).order(order, held.epoch):
            case Result(tag="ok"):
                self._ports.metrics.count(Decision.ORDER_SENT)
                LOG.info("order sent", backend=backend.name, order=order)
                memory.order_taken()
                _remember(memory, step, now)
            case Result(error=StaleFence(highest=highest)):
                self._ports.metrics.count(Decision.ORDER_FENCED)
                LOG.warning("order fenced off", backend=backend.name)
                self._lease.fenced(highest)
            case Result(error=EngineFailed(reason=reason)):
                memory.order_failed(reason, now)
                LOG.warning(
                    "order failed", backend=backend.name, reason=reason
                )

    def _may_fetch(
        self,
        cfg: Configuration,
        memory: EngineMemory,
        wanted: placement.RoutedVersion,
    ) -> bool:
        """Say whether the weight store lets a fetch start now."""
        now = self._ports.clock()
        report = memory.report
        if report is not None and wanted.version in report.versions:
            return True
        start_at = memory.fetch_at.get(wanted.version)
        if start_at is not None:
            return now >= start_at
        weights = placement.weights_key(cfg, wanted)
        match self._ports.weights.reserve(weights, wanted.size_bytes):
            case Result(tag="ok", ok=wait_s):
                memory.fetch_at[wanted.version] = now + wait_s
                return wait_s <= 0
            case _:
                return False


def _order(step: placement.Step) -> Order:
    match step:
        case placement.Load(wanted=wanted):
            return LoadOrder(wanted.model, wanted.version, wanted.adapters)
        case placement.Unload(model=model, version=version):
            return UnloadOrder(model, version)
        case placement.SetRole(role=role):
            return RoleOrder(role)


def _remember(memory: EngineMemory, step: placement.Step, now: float) -> None:
    match step:
        case placement.Load(wanted=wanted):
            memory.adapters[wanted.version] = wanted.adapters
            memory.fetch_at.pop(wanted.version, None)
            report = memory.report
            if report is None or wanted.version not in report.versions:
                memory.ordered[wanted.version] = now
        case placement.Unload(version=version):
            memory.adapters.pop(version, None)
            memory.dropped[version] = now
        case placement.SetRole(role=role):
            memory.role = role


def _describe(step: placement.Step) -> str:
    match step:
        case placement.Load(engine=engine, wanted=wanted):
            return f"load {wanted.version} of {wanted.model} on {engine}"
        case placement.Unload(engine=engine, version=version):
            return f"drop {version} from {engine}"
        case placement.SetRole(engine=engine, role=role):
            return f"make {engine} serve {role}"


__all__ = ["PoolPlacer", "PoolPorts"]
