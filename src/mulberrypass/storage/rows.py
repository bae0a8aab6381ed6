"""Rows in parts of tables, with transactions on a part and change feeds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.store import Throttled, Unavailable

if TYPE_CHECKING:
    from expression import Result


@dataclass(frozen=True, slots=True)
class RowKey:
    """Names one row."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row.

    :param version: of the transaction that wrote it; never 0
    :param removed: in a feed, that the row is gone
    """

    at: RowKey
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Expected:
    """Holds while a row has a version; 0 stands for no row."""

    at: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes of one part that happen together or not at all."""

    expected: tuple[Expected, ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    removes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, slots=True)
class RowsConflict:
    """An expectation did not hold, and nothing was written.

    :param found: the rows that stand where something was expected
    """

    found: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one moment, by key.

    :param version: newest version of the store
    """

    rows: tuple[StoredRow, ...]
    more: bool
    version: int


@dataclass(frozen=True, slots=True)
class Lagged:
    """The history that a feed asked for is no longer kept."""


RowsError = RowsConflict | Unavailable | Throttled
FeedError = Lagged | Unavailable | Throttled
ReadFailure = Unavailable | Throttled


class RowStore(ABC):
    """The transactional table service in its form with parts."""

    @abstractmethod
    def transact(self, change: Transaction) -> Result[int, RowsError]:
        """Apply a change; gives the version of what it wrote."""

    @abstractmethod
    def scan(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowPage, ReadFailure]:
        """Read rows whose key is in ``[first, end)``."""

    @abstractmethod
    def parts(self, table: str) -> Result[tuple[str, ...], ReadFailure]:
        """List the parts of a table."""

    @abstractmethod
    def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowPage, FeedError]:
        """Wait for rows that change after a version."""


__all__ = [
    "Expected",
    "FeedError",
    "Lagged",
    "ReadFailure",
    "RowKey",
    "RowPage",
    "RowStore",
    "RowsConflict",
    "RowsError",
    "StoredRow",
    "Transaction",
]
