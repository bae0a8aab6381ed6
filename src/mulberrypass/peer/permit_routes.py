"""Routing of a holder's permit requests to cells and their owners."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.cells import (
    CellKey,
    CellOwners,
    choose_cell,
    partition_backends,
    preferred_cells,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.member import Member
    from mulberrypass.model.objects import Backend, Configuration
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.api import Membership
    from mulberrypass.policy.admission.cells import CellLoad

OWNER_PROGRAM = "entry"


class CellRoutes:
    """Chooses cells by the configuration, the members and the loads."""

    def __init__(
        self,
        me: Member,
        membership: Membership,
        configuration: ConfigurationSource,
        rng: random.Random | None = None,
    ) -> None:
        self._holder = me.name
        self._zone = me.zone
        self._membership = membership
        self._configuration = configuration
        self._rng = rng or random.Random()
        self._cfg: Configuration | None = None
        self._cell_backends: dict[str, tuple[tuple[str, ...], ...]] = {}
        self._preferred: dict[str, tuple[CellKey, ...]] = {}
        self._owners = CellOwners()
        self._live: list[str] | None = None
        self.loads: dict[str, CellLoad] = {}

    def cells(self, pool: str) -> tuple[CellKey, ...]:
        """Return the cells of a pool; empty if the pool does not exist."""
        count = len(self._split(pool))
        return tuple(CellKey(pool, index) for index in range(count))

    def backends(self, key: CellKey) -> list[Backend]:
        """Return the backend servers of a cell that are not leaving."""
        cfg = self._configuration.current()
        cell_backends = self._split(key.pool)
        if key.index >= len(cell_backends):
            return []
        leaving = self._membership.leaving_backends()
        return [
            cfg.backends[name]
            for name in cell_backends[key.index]
            if name in cfg.backends and name not in leaving
        ]

    def owner(self, key: CellKey) -> str:
        """Return the name of the live member that owns a cell, or empty."""
        self.live_names()
        return self._owners.owner(key) or ""

    def live_names(self) -> list[str]:
        """Return the names of the live members that may own cells."""
        if self._live is None:
            live = self._membership.live(OWNER_PROGRAM)
            self._live = [member.name for member in live]
            self._owners.set_members(self._live)
        return self._live

    def invalidate_members(self) -> None:
        """Read the members anew, after a change of them."""
        self._live = None

    def choose(
        self, pool: str, is_responsive: Callable[[CellKey], bool], online: bool
    ) -> CellKey | None:
        """Return one of the pool's cells that this holder prefers.

        :param is_responsive: whether the owner of a cell responds; other
            cells are chosen only if no owner does
        :param online: whether to try other cells if work would queue
        :returns: ``None`` if the pool has no cells
        """
        preferred = tuple(filter(is_responsive, self._preferred_cells(pool)))
        found = self._choose_from(preferred)
        if found is not None and not (online and self._is_saturated(found)):
            return found
        keys = self.cells(pool)
        wider = self._choose_from(tuple(filter(is_responsive, keys))) or found
        return wider or self._choose_from(keys)

    def _choose_from(self, keys: tuple[CellKey, ...]) -> CellKey | None:
        if not keys:
            return None
        return choose_cell(
            keys, self.loads, self._is_in_zone, self._rng.randrange
        )

    def _is_saturated(self, key: CellKey) -> bool:
        load = self.loads.get(key.name)
        return load is not None and load.saturated

    def _preferred_cells(self, pool: str) -> tuple[CellKey, ...]:
        self._split(pool)
        if pool not in self._preferred:
            self._preferred[pool] = preferred_cells(
                self.cells(pool), self._holder
            )
        return self._preferred[pool]

    def cell_of(self, pool: str, backend: str) -> CellKey | None:
        """Return the cell that contains a backend server, if any."""
        for index, names in enumerate(self._split(pool)):
            if backend in names:
                return CellKey(pool, index)
        return None

    def _split(self, pool: str) -> tuple[tuple[str, ...], ...]:
        """Split a pool into cells, cached for each configuration."""
        cfg = self._configuration.current()
        if cfg is not self._cfg:
            self._cfg = cfg
            self._cell_backends.clear()
            self._preferred.clear()
        if pool not in self._cell_backends:
            found = cfg.pools.get(pool)
            self._cell_backends[pool] = (
                partition_backends(found.backends) if found else ()
            )
        return self._cell_backends[pool]

    def _is_in_zone(self, key: CellKey) -> bool:
        return any(b.zone == self._zone for b in self.backends(key))


__all__ = ["CellRoutes", "OWNER_PROGRAM"]
