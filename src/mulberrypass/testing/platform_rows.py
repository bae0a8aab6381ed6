"""Table rows of the platform stand-in."""

from __future__ import annotations

from bisect import bisect_right, insort
from typing import TYPE_CHECKING

from mulberrypass.model.store import (
    Absent,
    Always,
    Check,
    Committed,
    Conflict,
    Delete,
    Page,
    Put,
    Row,
    VersionIs,
)

if TYPE_CHECKING:
    from mulberrypass.model.store import Condition, Op


class Rows:
    """Rows in memory. Not thread-safe.

    :param keep_history: whether to keep all versions of each row
    """

    def __init__(self, keep_history: bool = False) -> None:
        self._tables: dict[str, dict[str, Row]] = {}
        self._keys: dict[str, list[str]] = {}
        self._version = 0
        self._history: dict[tuple[str, str], list[Row | None]] | None = None
        if keep_history:
            self._history = {}

    def transact(self, ops: tuple[Op, ...]) -> Committed | Conflict:
        """Apply all operations or none."""
        for index, op in enumerate(ops):
            found = self.read(op.table, op.key)
            if not _condition_holds(op.condition, found):
                return Conflict(index, found)
        return Committed(tuple(self._apply(op) for op in ops))

    def read(self, table: str, key: str) -> Row | None:
        """Read one row."""
        return self._tables.get(table, {}).get(key)

    def scan(self, table: str, prefix: str, after: str, limit: int) -> Page:
        """Read the rows with a key prefix, after a key."""
        keys = self._keys.get(table, [])
        rows = self._tables.get(table, {})
        found: list[Row] = []
        start = bisect_right(keys, after) if after else 0
        if prefix > after:
            start = bisect_right(keys, prefix)
            start -= 1 if start and keys[start - 1] == prefix else 0
        for index in range(start, len(keys)):
            if not keys[index].startswith(prefix):
                break
            if len(found) == limit:
                return Page(tuple(found), found[-1].key)
            found.append(rows[keys[index]])
        return Page(tuple(found), None)

    def history(self, table: str, key: str) -> tuple[Row | None, ...]:
        """Return all versions of a row; ``None`` for a removal."""
        return tuple((self._history or {}).get((table, key), ()))

    def _apply(self, op: Op) -> int:
        match op:
            case Put(table=table, key=key, row=row):
                self._version += 1
                stored = Row(key, self._version, dict(row))
                self._store(table, key, stored)
                return self._version
            case Delete(table=table, key=key):
                self._remove(table, key)
                return 0
            case Check(table=table, key=key):
                current = self.read(table, key)
                return current.version if current else 0

    def _store(self, table: str, key: str, row: Row) -> None:
        rows = self._tables.setdefault(table, {})
        if key not in rows:
            insort(self._keys.setdefault(table, []), key)
        rows[key] = row
        if self._history is not None:
            self._history.setdefault((table, key), []).append(row)

    def _remove(self, table: str, key: str) -> None:
        if self._tables.get(table, {}).pop(key, None) is None:
            return
        keys = self._keys[table]
        del keys[bisect_right(keys, key) - 1]
        if self._history is not None:
            self._history.setdefault((table, key), []).append(None)


def _condition_holds(condition: Condition, found: Row | None) -> bool:
    match condition:
        case Absent():
            return found is None
        case VersionIs(version=version):
            return found is not None and found.version == version
        case Always():
            return True


__all__ = ["Rows"]
