"""What a controller knows of the engines of a pool."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mulberrypass.policy.placement.placement import EngineView

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.engine.api import LoadReport
    from mulberrypass.model.objects import Backend, Role

REPORT_LAG_S = 6.0
LOAD_TIMEOUT_S = 600.0
SILENT_S = 60.0
RETRY_S = 2.0
MAX_RETRY_S = 64.0


@dataclass(slots=True)
class EngineTracker:
    """One engine: its last report, and the orders that were sent.

    :param known_at: when it was last heard, or first asked
    :param fresh: whether it answered when it was last asked
    :param ordered: when a load of a version was ordered that no report has
        shown yet
    :param dropped: when a version was ordered out that a late report may
        still show
    :param failures: orders that have failed in a row
    :param retry_at: no order is sent before
    :param fetch_at: when the weight store lets a fetch start, by version
    """

    known_at: float
    report: LoadReport | None = None
    fresh: bool = False
    ordered: dict[str, float] = field(default_factory=dict)
    dropped: dict[str, float] = field(default_factory=dict)
    adapters: dict[str, tuple[str, ...]] = field(default_factory=dict)
    fetch_at: dict[str, float] = field(default_factory=dict)
    role: Role | None = None
    last_order_at: float | None = None
    failures: int = 0
    retry_at: float = 0.0
    error: str = ""

    def hear(self, report: LoadReport | None, error: str, now: float) -> None:
        """Take a report, or the reason why there is none."""
        self.fresh = report is not None
        if error or not self.failures:
            self.error = error
        if report is not None:
            self.report, self.known_at = report, now
        loaded = frozenset() if report is None else frozenset(report.versions)
        self.ordered = {
            version: at
            for version, at in self.ordered.items()
            if version not in loaded and now - at < LOAD_TIMEOUT_S
        }
        self.dropped = {
            version: at
            for version, at in self.dropped.items()
            if now - at < REPORT_LAG_S
        }

    def order_failed(self, reason: str, now: float) -> None:
        """Wait longer before each next order while orders fail."""
        wait_s = min(MAX_RETRY_S, RETRY_S * 2**self.failures)
        self.failures += 1
        self.retry_at = now + wait_s
        self.error = reason

    def order_taken(self) -> None:
        """Hear that the engine took an order."""
        self.failures = 0

    def forget_orders(self) -> None:
        """Know nothing of orders, since another holder may have sent some."""
        self.ordered.clear()
        self.dropped.clear()
        self.adapters.clear()
        self.role = None

    def view(self, backend: Backend, leaving: bool, now: float) -> EngineView:
        """Give the engine as the placement sees it."""
        report = self.report
        leaving = leaving or (report is not None and report.leaving)
        loaded = frozenset() if report is None else frozenset(report.versions)
        return EngineView(
            name=backend.name,
            usable=not leaving and now - self.known_at < SILENT_S,
            fresh=self.fresh,
            loaded=loaded - frozenset(self.dropped),
            ordered=frozenset(self.ordered),
            adapters=dict(self.adapters),
            role=backend.role,
            ordered_role=self.role,
            weights_bytes=backend.weights_bytes,
        )


@dataclass(frozen=True, slots=True)
class EngineState:
    """One engine for the dump and the status."""

    loaded: tuple[str, ...]
    ordered: tuple[str, ...]
    goal: tuple[str, ...]
    error: str


@dataclass(frozen=True, slots=True)
class PoolState:
    """One pool for the dump and the status.

    :param epoch: fencing number of the lease; 0 while none is held
    :param steps: orders that are still to be sent
    """

    epoch: int
    steps: tuple[str, ...]
    engines: Mapping[str, EngineState]


__all__ = ["EngineTracker", "EngineState", "PoolState"]
