"""Sends the orders that place a pool's versions on its engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from mulberrypass.engine.api import (
    EngineFailed,
    LoadOrder,
    RoleOrder,
    StaleFence,
    UnloadOrder,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.placement.engines import (
    MAX_REPORT_LAG_S,
    EngineState,
    EngineTracker,
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
ROUTE_SETTLE_S = 60.0


@value_class
class PoolDependencies:
    """Objects that the placement of a pool uses.

    :param engine: returns the client of an engine
    :param executor: reads the reports of several engines in parallel
    :param clock: returns monotonic time in seconds
    """

    engine: Callable[[Backend], ModelEngine]
    weights: WeightStore
    executor: Executor
    metrics: Metrics
    clock: Callable[[], float]


class PoolPlacer:
    """Brings a pool's engines to their target; used by one thread."""

    def __init__(self, deps: PoolDependencies, lease: PoolLease) -> None:
        self._deps = deps
        self._lease = lease
        self._trackers: dict[str, EngineTracker] = {}
        self._target = placement.PoolTarget({}, {})
        self._routed: frozenset[str] = frozenset()
        self._routed_since = deps.clock()
        self._steps: tuple[placement.Step, ...] = ()
        self._epoch = 0
        self._all_fenced_since: float | None = None

    def step(
        self,
        cfg: Configuration,
        pool: Pool,
        demand: Mapping[str, float],
        leaving: frozenset[str],
    ) -> None:
        """Read the engines' reports and send the orders that are due."""
        backends = [cfg.backends[name] for name in pool.backends]
        self._read_reports(backends)
        now = self._deps.clock()
        views = [
            self._trackers[b.name].view(b, b.name in leaving, now)
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
            self._may_unload(views),
        )
        if not self._needs_lease(views):
            return
        held = self._lease.acquire_or_renew()
        if held is None:
            return
        if held.epoch != self._epoch:
            self._on_new_epoch(held.epoch)
            return
        for step in self._steps:
            self._execute(cfg, cfg.backends[step.engine], step)

    def state(self) -> PoolState:
        """Return the state for the dump and the status report."""
        held = self._lease.held
        return PoolState(
            epoch=0 if held is None else held.epoch,
            steps=tuple(_describe(step) for step in self._steps),
            engines={
                name: EngineState(
                    loaded=() if t.report is None else t.report.versions,
                    ordered=tuple(sorted(t.ordered)),
                    goal=tuple(sorted(self._target.engines.get(name, ()))),
                    error=t.error,
                )
                for name, t in sorted(self._trackers.copy().items())
            },
        )

    def _needs_lease(self, views: list[placement.EngineView]) -> bool:
        """Return whether orders remain to be sent or confirmed."""
        return bool(self._steps) or any(view.ordered for view in views)

    def _on_new_epoch(self, epoch: int) -> None:
        """Start a new epoch, in which nothing is known of earlier orders."""
        self._epoch = epoch
        self._all_fenced_since = None
        for tracker in self._trackers.values():
            tracker.forget_orders()

    def _may_unload(self, views: list[placement.EngineView]) -> bool:
        """Return whether the reports show all orders that can take effect.

        That holds once each engine has accepted an order of this holder, so
        that it refuses orders of earlier holders, and its reports have had
        time to show those that it accepted before.
        """
        now = self._deps.clock()
        usable = [view for view in views if view.usable]
        if not all(view.ordered_role is view.role for view in usable):
            self._all_fenced_since = None
        elif self._all_fenced_since is None:
            self._all_fenced_since = now
        since = self._all_fenced_since
        return since is not None and now - since >= MAX_REPORT_LAG_S

    def _read_reports(self, backends: list[Backend]) -> None:
        named = {backend.name for backend in backends}
        for gone in self._trackers.keys() - named:
            del self._trackers[gone]
        for added in named - self._trackers.keys():
            self._trackers[added] = EngineTracker(self._deps.clock())
        reports = self._deps.executor.map(self._read_report, backends)
        now = self._deps.clock()
        for backend, (report, error) in zip(backends, reports, strict=True):
            self._trackers[backend.name].record_report(report, error, now)

    def _read_report(self, backend: Backend) -> tuple[LoadReport | None, str]:
        match self._deps.engine(backend).load():
            case Result(tag="ok", ok=report):
                return report, ""
            case Result(error=failed):
                return None, failed.reason

    def _is_settled(self, wanted: tuple[placement.RoutedVersion, ...]) -> bool:
        """Return whether requests routed to other versions have ended."""
        routed = frozenset(version.version for version in wanted)
        now = self._deps.clock()
        if routed != self._routed:
            self._routed, self._routed_since = routed, now
        return now - self._routed_since >= ROUTE_SETTLE_S

    def _execute(
        self, cfg: Configuration, backend: Backend, step: placement.Step
    ) -> None:
        tracker = self._trackers[backend.name]
        if self._deps.clock() < tracker.retry_at:
            return
        if isinstance(step, placement.Load):
            if not self._may_fetch(cfg, tracker, step.wanted):
                return
        now = self._deps.clock()
        held = self._lease.held
        if held is None or not orders.may_order(
            held, backend.fencing, tracker.last_order_at, now
        ):
            return
        tracker.last_order_at = now
        order = _order_for(step)
        match self._deps.engine(backend).order(order, held.epoch):
            case Result(tag="ok"):
                self._deps.metrics.count(Decision.ORDER_SENT)
                LOG.info("order sent", backend=backend.name, order=order)
                tracker.order_accepted()
                _record_step(tracker, step, now)
            case Result(error=StaleFence(highest=highest)):
                self._deps.metrics.count(Decision.ORDER_FENCED)
                LOG.warning(
                    "order refused for a stale fencing number",
                    backend=backend.name,
                )
                self._lease.on_stale_fence(highest)
            case Result(error=EngineFailed(reason=reason)):
                tracker.order_failed(reason, now)
                LOG.warning(
                    "order failed", backend=backend.name, reason=reason
                )

    def _may_fetch(
        self,
        cfg: Configuration,
        tracker: EngineTracker,
        wanted: placement.RoutedVersion,
    ) -> bool:
        """Return whether the weight store lets a fetch start now."""
        now = self._deps.clock()
        report = tracker.report
        if report is not None and wanted.version in report.versions:
            return True
        start_at = tracker.fetch_at.get(wanted.version)
        if start_at is not None:
            return now >= start_at
        weights = placement.weights_key(cfg, wanted)
        match self._deps.weights.reserve(weights, wanted.size_bytes):
            case Result(tag="ok", ok=wait_s):
                tracker.fetch_at[wanted.version] = now + wait_s
                return wait_s <= 0
            case _:
                return False


def _order_for(step: placement.Step) -> Order:
    match step:
        case placement.Load(wanted=wanted):
            return LoadOrder(wanted.model, wanted.version, wanted.adapters)
        case placement.Unload(model=model, version=version):
            return UnloadOrder(model, version)
        case placement.SetRole(role=role):
            return RoleOrder(role)


def _record_step(
    tracker: EngineTracker, step: placement.Step, now: float
) -> None:
    match step:
        case placement.Load(wanted=wanted):
            tracker.adapters[wanted.version] = wanted.adapters
            tracker.fetch_at.pop(wanted.version, None)
            report = tracker.report
            if report is None or wanted.version not in report.versions:
                tracker.ordered[wanted.version] = now
        case placement.Unload(version=version):
            tracker.adapters.pop(version, None)
            tracker.unloaded[version] = now
        case placement.SetRole(role=role):
            tracker.role = role


def _describe(step: placement.Step) -> str:
    match step:
        case placement.Load(engine=engine, wanted=wanted):
            return f"load {wanted.version} of {wanted.model} on {engine}"
        case placement.Unload(engine=engine, version=version):
            return f"drop {version} from {engine}"
        case placement.SetRole(engine=engine, role=role):
            return f"make {engine} serve {role}"


__all__ = ["PoolPlacer", "PoolDependencies"]
