"""In-process clients of the platform stand-in for unit tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.store import (
    MAX_SCAN_ROWS,
    InstanceList,
    Objects,
    Table,
    WeightStore,
)

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.model.store import (
        Committed,
        ListedMachine,
        ObjectError,
        Op,
        Page,
        ReadError,
        Row,
        TableError,
    )
    from mulberrypass.testing.platform_state import FakePlatform


class MemoryTable(Table):
    """Table of a stand-in."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none."""
        return self._platform.transact(ops)

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""
        return self._platform.read(table, key)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read the rows with a key prefix, after a key."""
        return self._platform.scan(table, prefix, after, limit)


class MemoryObjects(Objects):
    """Object store of a stand-in."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform

    def put(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Write an object."""
        return self._platform.put_object(key, data)

    def get(self, key: str) -> Result[bytes, ObjectError]:
        """Read a whole object."""
        return self._platform.get_object(key)

    def delete(self, key: str) -> Result[None, ObjectError]:
        """Remove an object."""
        return self._platform.delete_object(key)


class MemoryInstanceList(InstanceList):
    """Eventually consistent instance list of a stand-in."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform

    def listed(self) -> Result[tuple[ListedMachine, ...], ReadError]:
        """Read the instance list."""
        return self._platform.listed()


class MemoryWeightStore(WeightStore):
    """Weight store of a stand-in."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform

    def reserve(
        self, weights: str, size_bytes: int
    ) -> Result[float, ReadError]:
        """Reserve a fetch of weights; return seconds until it may start."""
        return self._platform.reserve(weights, size_bytes)


__all__ = [
    "MemoryInstanceList",
    "MemoryObjects",
    "MemoryTable",
    "MemoryWeightStore",
]
