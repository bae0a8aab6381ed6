"""Which cell and owner a holder's asks go to."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.cells import (
    CellKey,
    choose,
    owner,
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
    """Reads the configuration and the members, and picks cells."""

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
        self._parts: dict[str, tuple[tuple[str, ...], ...]] = {}
        self._usual: dict[str, tuple[CellKey, ...]] = {}
        self._owners: dict[CellKey, str] = {}
        self._live: list[str] | None = None
        self.loads: dict[str, CellLoad] = {}

    def cells(self, pool: str) -> tuple[CellKey, ...]:
        """Give the cells of a pool; none where there is no such pool."""
        count = len(self._cut(pool))
        return tuple(CellKey(pool, index) for index in range(count))

    def backends(self, key: CellKey) -> list[Backend]:
        """Give the backend servers of a cell that are not leaving."""
        cfg = self._configuration.current()
        parts = self._cut(key.pool)
        if key.index >= len(parts):
            return []
        leaving = self._membership.leaving_backends()
        return [
            cfg.backends[name]
            for name in parts[key.index]
            if name in cfg.backends and name not in leaving
        ]

    def owner(self, key: CellKey) -> str:
        """Name the live member that owns a cell; empty where none is."""
        if key not in self._owners:
            self._owners[key] = owner(key, self.live_names()) or ""
        return self._owners[key]

    def live_names(self) -> list[str]:
        """Name the live members that may own cells."""
        if self._live is None:
            live = self._membership.live(OWNER_PROGRAM)
            self._live = [member.name for member in live]
        return self._live

    def forget_owners(self) -> None:
        """Look at the members again, as they have changed."""
        self._owners.clear()
        self._live = None

    def choose(
        self, pool: str, answers: Callable[[CellKey], bool], online: bool
    ) -> CellKey | None:
        """Choose one of the few cells that this holder uses of a pool.

        :param answers: whether the owner of a cell answers; others are
            chosen only where none does
        :param online: whether to look further when work would wait there
        """
        few = tuple(filter(answers, self._usual_cells(pool)))
        found = self._choose(few)
        if found is not None and not (online and self._pressed(found)):
            return found
        keys = self.cells(pool)
        wide = self._choose(tuple(filter(answers, keys))) or found
        return wide or self._choose(keys)

    def _choose(self, keys: tuple[CellKey, ...]) -> CellKey | None:
        if not keys:
            return None
        return choose(keys, self.loads, self._near, self._rng.randrange)

    def _pressed(self, key: CellKey) -> bool:
        load = self.loads.get(key.name)
        return load is not None and load.saturated

    def _usual_cells(self, pool: str) -> tuple[CellKey, ...]:
        self._cut(pool)
        if pool not in self._usual:
            self._usual[pool] = preferred_cells(self.cells(pool), self._holder)
        return self._usual[pool]

    def cell_of(self, pool: str, backend: str) -> CellKey | None:
        """Give the cell that a backend server is in now."""
        for index, names in enumerate(self._cut(pool)):
            if backend in names:
                return CellKey(pool, index)
        return None

    def _cut(self, pool: str) -> tuple[tuple[str, ...], ...]:
        """Cut a pool, once for each configuration."""
        cfg = self._configuration.current()
        if cfg is not self._cfg:
            self._cfg = cfg
            self._parts.clear()
            self._usual.clear()
        if pool not in self._parts:
            found = cfg.pools.get(pool)
            self._parts[pool] = (
                partition_backends(found.backends) if found else ()
            )
        return self._parts[pool]

    def _near(self, key: CellKey) -> bool:
        return any(b.zone == self._zone for b in self.backends(key))


__all__ = ["CellRoutes", "OWNER_PROGRAM"]
