"""Cells: the parts of a pool, each with one owner that admits work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

MAX_CELL_BACKENDS = 16
MAX_PREFERRED_CELLS = 4
SEPARATOR = "#"


@value_class
class CellKey:
    """Identifies one cell of a pool."""

    pool: str
    index: int

    @property
    def name(self) -> str:
        """The name of the cell in messages between processes."""
        return f"{self.pool}{SEPARATOR}{self.index}"


@value_class
class CellLoad:
    """Load of a cell, as last reported by its owner.

    :param free_slots: slots available to online work
    """

    free_slots: int = 0
    queued_online: int = 0
    queued_batch: int = 0

    @property
    def saturated(self) -> bool:
        """Whether online work may have to wait."""
        return self.queued_online > 0 or self.free_slots == 0


def parse_cell_name(name: str) -> CellKey | None:
    """Parse the name of a cell; ``None`` if it is invalid."""
    pool, separator, index = name.rpartition(SEPARATOR)
    if not separator or not (index.isascii() and index.isdigit()):
        return None
    return CellKey(pool, int(index))


def partition_backends(
    backends: Iterable[str], limit: int = MAX_CELL_BACKENDS
) -> tuple[tuple[str, ...], ...]:
    """Partition a pool's backend servers, by name, into even cells."""
    names = sorted(set(backends))
    if not names:
        return ()
    count = -(-len(names) // limit)
    bounds = [len(names) * i // count for i in range(count + 1)]
    return tuple(
        tuple(names[low:high])
        for low, high in zip(bounds, bounds[1:], strict=False)
    )


def owner(key: CellKey, members: Iterable[str]) -> str | None:
    """Return the live member that owns a cell; ``None`` without members."""
    return rendezvous.pick(key.name, members)


class CellOwners:
    """The owners of cells, kept up to date change by change.

    While the instances of a large site are rolled in turn, a member comes or
    goes several times a second. Only the cells of one that has gone are
    worked out anew from all members; one that has come is compared with the
    owners.
    """

    def __init__(self) -> None:
        self._members: frozenset[str] = frozenset()
        self._owners: dict[CellKey, str | None] = {}

    def set_members(self, names: Iterable[str]) -> None:
        """Set the live members that may own cells."""
        members = frozenset(names)
        added = members - self._members
        for key, known in tuple(self._owners.items()):
            if known is None or known not in members:
                del self._owners[key]
            elif added:
                self._owners[key] = owner(key, (known, *added))
        self._members = members

    def owner(self, key: CellKey) -> str | None:
        """Return the owner of a cell; ``None`` without members."""
        if key not in self._owners:
            self._owners[key] = owner(key, self._members)
        return self._owners[key]


def preferred_cells(
    cells: Sequence[CellKey], holder: str, limit: int = MAX_PREFERRED_CELLS
) -> tuple[CellKey, ...]:
    """Return the few cells that a holder uses while they have capacity.

    Holders prefer different cells, so that each cell is preferred by few
    holders and there are few streams between holders and owners.
    """
    if len(cells) <= limit:
        return tuple(cells)
    ranked = sorted(cells, key=lambda key: rendezvous.weight(key.name, holder))
    return tuple(ranked[-limit:])


def choose_cell(
    cells: Sequence[CellKey],
    loads: Mapping[str, CellLoad],
    is_local: Callable[[CellKey], bool],
    randbelow: Callable[[int], int],
) -> CellKey:
    """Choose a cell by the power of two choices over the last known loads.

    :param cells: must not be empty
    :param is_local: returns whether a cell has engines in the holder's zone
    :param randbelow: returns a random number below its argument
    """
    if len(cells) == 1:
        return cells[0]
    first = randbelow(len(cells))
    second = (first + 1 + randbelow(len(cells) - 1)) % len(cells)
    pair = (cells[first], cells[second])
    return min(pair, key=lambda key: _load_rank(key, loads, is_local))


def _load_rank(
    key: CellKey,
    loads: Mapping[str, CellLoad],
    is_local: Callable[[CellKey], bool],
) -> tuple[int, int, bool]:
    load = loads.get(key.name, CellLoad())
    queued = load.queued_online + load.queued_batch
    return queued, -load.free_slots, not is_local(key)


__all__ = [
    "CellKey",
    "CellLoad",
    "CellOwners",
    "MAX_CELL_BACKENDS",
    "MAX_PREFERRED_CELLS",
    "choose_cell",
    "partition_backends",
    "owner",
    "parse_cell_name",
    "preferred_cells",
]
