"""Interface of a row store with transactions and change feeds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from expression import Result


@value_class
class RowKey:
    """Identifies a row.

    :param part: partition of the table
    """

    table: str
    part: str
    key: str


@value_class
class StoredRow:
    """A row as read from the store.

    :param version: version of the transaction that wrote it; never 0
    :param removed: in a feed, whether the row was removed
    """

    at: RowKey
    value: bytes
    version: int
    removed: bool = False


@value_class
class Expected:
    """Condition on the version of a row; 0 means that there is no row."""

    at: RowKey
    version: int


@value_class
class Transaction:
    """Changes to one part that apply together or not at all."""

    expected: tuple[Expected, ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    removes: tuple[RowKey, ...] = ()


@value_class
class RowsConflict:
    """A condition did not hold, and nothing was written.

    :param found: the existing rows under the expected keys
    """

    found: tuple[StoredRow, ...]


@value_class
class RowPage:
    """Rows as of one point in time.

    A scan returns them in key order, a feed in the order of their changes.

    :param version: newest version of the store
    """

    rows: tuple[StoredRow, ...]
    more: bool
    version: int


@value_class
class Lagged:
    """The history after the requested version is no longer kept."""


RowsError = RowsConflict | Unavailable | Throttled
FeedError = Lagged | Unavailable | Throttled
ReadFailure = Unavailable | Throttled


class RowStore(ABC):
    """A transactional store of rows, in tables that have parts."""

    @abstractmethod
    def transact(self, change: Transaction) -> Result[int, RowsError]:
        """Apply a change, and return the version that it wrote."""

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
