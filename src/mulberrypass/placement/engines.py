"""State that a controller keeps of a pool's engines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.placement.placement import EngineView

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.engine.api import LoadReport
    from mulberrypass.model.objects import Backend, Role

MAX_REPORT_LAG_S = 6.0
LOAD_TIMEOUT_S = 600.0
SILENCE_TIMEOUT_S = 60.0
FIRST_RETRY_S = 2.0
MAX_RETRY_S = 64.0


@dataclass(slots=True)
class EngineTracker:
    """Tracks one engine's last report and the orders sent to it.

    :param known_at: time of the last report; before the first one, time at
        which tracking began
    :param fresh: whether the last report request was answered
    :param ordered: order times of loads that no report confirms yet, by
        version
    :param unloaded: order times of unloads, by version, while a late report
        may still list the version
    :param adapters: adapters last ordered, by version
    :param fetch_at: when the weight store lets a fetch start, by version
    :param role: role last ordered; ``None`` if unknown
    :param failures: number of consecutive failed orders
    :param retry_at: earliest time of the next order
    """

    known_at: float
    report: LoadReport | None = None
    fresh: bool = False
    ordered: dict[str, float] = field(default_factory=dict)
    unloaded: dict[str, float] = field(default_factory=dict)
    adapters: dict[str, tuple[str, ...]] = field(default_factory=dict)
    fetch_at: dict[str, float] = field(default_factory=dict)
    role: Role | None = None
    last_order_at: float | None = None
    failures: int = 0
    retry_at: float = 0.0
    error: str = ""

    def record_report(
        self, report: LoadReport | None, error: str, now: float
    ) -> None:
        """Record a report, or the error if there is none."""
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
        self.unloaded = {
            version: at
            for version, at in self.unloaded.items()
            if now - at < MAX_REPORT_LAG_S
        }

    def order_failed(self, reason: str, now: float) -> None:
        """Record a failed order and back off exponentially."""
        wait_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self.failures)
        self.failures += 1
        self.retry_at = now + wait_s
        self.error = reason

    def order_accepted(self) -> None:
        """Record an accepted order and reset the backoff."""
        self.failures = 0

    def forget_orders(self) -> None:
        """Forget sent orders; another holder may have sent newer ones."""
        self.ordered.clear()
        self.unloaded.clear()
        self.adapters.clear()
        self.role = None

    def view(self, backend: Backend, leaving: bool, now: float) -> EngineView:
        """Return the engine's state as input for the placement policy."""
        report = self.report
        leaving = leaving or (report is not None and report.leaving)
        loaded = frozenset() if report is None else frozenset(report.versions)
        return EngineView(
            name=backend.name,
            usable=not leaving and now - self.known_at < SILENCE_TIMEOUT_S,
            fresh=self.fresh,
            loaded=loaded - frozenset(self.unloaded),
            ordered=frozenset(self.ordered),
            adapters=dict(self.adapters),
            role=backend.role,
            ordered_role=self.role,
            weights_bytes=backend.weights_bytes,
        )


@value_class
class EngineState:
    """State of an engine for the dump and the status report."""

    loaded: tuple[str, ...]
    ordered: tuple[str, ...]
    goal: tuple[str, ...]
    error: str


@value_class
class PoolState:
    """State of a pool for the dump and the status report.

    :param epoch: fencing number of the lease; 0 if it isn't held
    :param steps: descriptions of the orders that remain to be sent
    """

    epoch: int
    steps: tuple[str, ...]
    engines: Mapping[str, EngineState]


__all__ = ["EngineState", "EngineTracker", "PoolState"]
