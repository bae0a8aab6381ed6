"""The cells that this process owns, given the members known to be alive."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING, Any

from mulberrypass.model.jsonable import jsonable
from mulberrypass.policy.admission.cell import Cell
from mulberrypass.policy.admission.cells import (
    CellKey,
    CellOwners,
    partition_backends,
)
from mulberrypass.policy.messages import WorkClass
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from mulberrypass.model.objects import Configuration
    from mulberrypass.peer.api import Membership
    from mulberrypass.policy.admission.cell import CellDecision
    from mulberrypass.policy.admission.cells import CellLoad
    from mulberrypass.policy.admission.settings import CellSettings

LOG = get_logger(__name__)
HOLDER_PROGRAMS = ("entry", "batch", "control")
OWNER_PROGRAM = "entry"
# A smaller change of an engine's pace isn't logged.
PACE_CHANGE = 1.2


class OwnedCells:
    """Creates and removes owned cells; used on the owner's thread only."""

    def __init__(
        self, me: str, membership: Membership, settings: CellSettings
    ) -> None:
        self._me = me
        self._membership = membership
        self._settings = settings
        self._cells: dict[CellKey, Cell] = {}
        self._live: tuple[str, ...] = ()
        self._owners = CellOwners()
        self._logged_shares: dict[str, float] = {}
        self._logged_refusals: dict[tuple[str, str], int] = {}
        self._logged_limits: dict[str, float] = {}
        self._logged_paces: dict[str, float] = {}
        self.loaded: dict[str, frozenset[str]] = {}

    def __len__(self) -> int:
        return len(self._cells)

    def __iter__(self) -> Iterator[Cell]:
        """Iterate over a copy of the owned cells."""
        return iter(tuple(self._cells.values()))

    def get(self, key: CellKey) -> Cell | None:
        """Return a cell, or ``None`` if it is not owned here."""
        return self._cells.get(key)

    def refresh(
        self, cfg: Configuration, sessions: Mapping[str, object], now: float
    ) -> Iterator[CellDecision]:
        """Update the owned cells from the members and the configuration.

        :param sessions: connected holders by name
        """
        zones: dict[str, str] | None = None
        self._update_live_owners()
        owned: set[CellKey] = set()
        for pool in cfg.pools.values():
            parts = partition_backends(pool.backends)
            for index, names in enumerate(parts):
                key = CellKey(pool.name, index)
                if self._owners.owner(key) == self._me:
                    owned.add(key)
                    zones = zones or self._zones(sessions)
                    yield from self._configure(
                        key, names, len(parts), cfg, zones, now
                    )
        for key in self._cells.keys() - owned:
            yield from self._remove(key)

    def _update_live_owners(self) -> None:
        live = tuple(m.name for m in self._membership.live(OWNER_PROGRAM))
        if live != self._live:
            self._live = live
            self._owners.set_members(live)

    def close(self) -> Iterator[CellDecision]:
        """Close and remove all cells."""
        for key in tuple(self._cells):
            yield from self._remove(key)

    def loads(self, now: float) -> dict[str, CellLoad]:
        """Return the loads of all cells by name."""
        return {key.name: cell.load(now) for key, cell in self._cells.items()}

    def log_limits(self) -> None:
        """Log limits of engines that changed since the last call."""
        limits = {
            name: engine.limit.per_s
            for cell in self._cells.values()
            for name, engine in cell.engines.items()
            if engine.limit is not None
        }
        before, self._logged_limits = self._logged_limits, limits
        for name, per_s in limits.items():
            if before.get(name) != per_s:
                LOG.info("engine limited", engine=name, per_s=per_s)
        for name in before.keys() - limits.keys():
            LOG.info("engine limit ended", engine=name)

    def log_paces(self, now: float) -> None:
        """Log engines whose lasting pace changed since its last line."""
        engines = {name for cell in self for name in cell.engines}
        for name in self._logged_paces.keys() - engines:
            del self._logged_paces[name]
        for cell in self:
            for name in cell.engines:
                pace = cell.paces.lasting.known(name)
                before = self._logged_paces.get(name, 1.0)
                change = (pace or 1.0) / before
                if 1 / PACE_CHANGE < change < PACE_CHANGE:
                    continue
                self._logged_paces[name] = pace or 1.0
                LOG.info(
                    "engine pace",
                    engine=name,
                    lasting=round(pace, 2),
                    moment=round(cell.paces.momentary.pace(name, now), 2),
                )

    def log_health(self) -> None:
        """Log engines whose health score changed since the last call."""
        for cell in self._cells.values():
            for name, state in cell.health.state().items():
                previous = self._logged_shares.get(name, 1.0)
                if state.share == previous:
                    continue
                self._logged_shares[name] = state.share
                LOG.info(
                    "engine judged slower"
                    if state.share < previous
                    else "engine judged faster",
                    engine=name,
                    share=round(state.share, 2),
                    ratio=round(state.ratio, 2),
                    why=state.why,
                    held=state.held_until > 0,
                )

    def log_loads(self) -> None:
        """Log the load of each cell with permits or queued requests."""
        for key, cell in self._cells.items():
            if not len(cell.permits) and not cell.queueing:
                continue
            LOG.info(
                "cell load",
                cell=key.name,
                queued=[len(cell.queued(kind)) for kind in WorkClass],
                engines={
                    name: [e.running, e.batch, e.revoked, e.cap]
                    for name, e in cell.engines.items()
                },
                prefilling=[
                    (permit.ask.ask_id, permit.backend)
                    for permit in cell.permits
                    if permit.prefilling
                ],
            )

    def log_shares(self) -> None:
        """Log customers refused over their shares since the last call."""
        for key, cell in self._cells.items():
            for customer, use in cell.customer_uses().items():
                name = (key.name, customer)
                before = self._logged_refusals.get(name, 0)
                self._logged_refusals[name] = use.refused
                if use.refused <= before:
                    continue
                LOG.info(
                    "customer over its share",
                    cell=key.name,
                    customer=customer,
                    refused=use.refused - before,
                    running=use.running,
                    queued=use.queued,
                    slots=_finite(use.slots),
                )

    def state(self, now: float) -> dict[str, Any]:
        """Return queues, permits and scores of each cell as JSON values."""
        return {
            key.name: _cell_state(cell, now)
            for key, cell in self._cells.items()
        }

    def _configure(
        self,
        key: CellKey,
        names: tuple[str, ...],
        count: int,
        cfg: Configuration,
        zones: Mapping[str, str],
        now: float,
    ) -> list[CellDecision]:
        cell = self._cells.get(key)
        if cell is None:
            LOG.info("cell taken up", cell=key.name)
            cell = self._cells[key] = Cell(self._settings, now)
        return cell.configure(
            [cfg.backends[name] for name in names if name in cfg.backends],
            cfg.customers,
            cfg.quotas,
            self._membership.leaving_backends(),
            zones,
            now,
            cells=count,
            loaded=self.loaded,
        )

    def _remove(self, key: CellKey) -> list[CellDecision]:
        LOG.info("cell given up", cell=key.name)
        for name in [n for n in self._logged_refusals if n[0] == key.name]:
            del self._logged_refusals[name]
        return self._cells.pop(key).close()

    def _zones(self, sessions: Mapping[str, object]) -> dict[str, str]:
        zones = {name: "" for name in sessions}
        for program in HOLDER_PROGRAMS:
            for member in self._membership.members(program):
                zones[member.name] = member.zone
        return zones


def _finite(slots: float) -> float | None:
    """Return a number of slots for JSON; ``None`` for no limit."""
    return round(slots, 1) if isfinite(slots) else None


def _cell_state(cell: Cell, now: float) -> dict[str, Any]:
    return {
        "queued": {
            work_class.value: cell.queued(work_class).counts()
            for work_class in WorkClass
        },
        "running": cell.running(),
        "shares": {
            name: {
                "running": use.running,
                "queued": use.queued,
                "slots": _finite(use.slots),
                "refused": use.refused,
            }
            for name, use in cell.customer_uses().items()
        },
        "permits": len(cell.permits),
        "batch_prefill_tokens_per_s": cell.batch_pacer.tokens_per_s,
        "engines": {
            name: {
                "leaving": engine.leaving,
                "limit_per_s": engine.limit.per_s if engine.limit else None,
                "running": engine.running,
                "batch": engine.batch,
                "revoked": engine.revoked,
                "kv_tokens": engine.kv_tokens,
                "prefill_tokens": engine.prefill_tokens,
                "prefixes": len(engine.prefixes),
                "lasting_pace": cell.paces.lasting.known(name),
                "momentary_pace": cell.paces.momentary.pace(name, now),
            }
            for name, engine in list(cell.engines.items())
        },
        "health": jsonable(cell.health.state()),
    }


__all__ = ["OwnedCells"]
