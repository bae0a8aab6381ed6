"""Interfaces of the platform services, and their errors."""

from __future__ import annotations

from abc import ABC, abstractmethod
import enum
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result

MAX_TRANSACTION_OPS = 100
MAX_TRANSACTION_BYTES = 1_048_576
MAX_SCAN_ROWS = 1_000


@value_class
class Absent:
    """Condition: there is no row with the key."""


@value_class
class VersionIs:
    """Condition: the row has this version."""

    version: int


@value_class
class Always:
    """Condition that is always met."""


Condition = Absent | VersionIs | Always


@value_class
class Put:
    """Write one row, replacing all its fields."""

    table: str
    key: str
    row: Mapping[str, Any]
    condition: Condition


@value_class
class Delete:
    """Delete one row."""

    table: str
    key: str
    condition: Condition


@value_class
class Check:
    """Make a transaction conditional on a row that it does not write."""

    table: str
    key: str
    condition: Condition


Op = Put | Delete | Check


@value_class
class Row:
    """One stored row.

    :param version: rises with each write; never 0
    """

    key: str
    version: int
    row: Mapping[str, Any]


@value_class
class Page:
    """One page of a scan, ordered by key.

    :param next_after: ``after`` for the next page; ``None`` at the end
    """

    rows: tuple[Row, ...]
    next_after: str | None


@value_class
class Committed:
    """A transaction took effect.

    :param versions: new row version for each operation; 0 if it has none
    """

    versions: tuple[int, ...]


@value_class
class Conflict:
    """A condition was not met, and nothing was written.

    :param index: index of the first operation whose condition failed
    :param found: the current row; ``None`` if there is none
    """

    index: int
    found: Row | None


@value_class
class Unavailable:
    """The platform did not answer.

    :param maybe_applied: whether the call may have taken effect
    """

    reason: str
    maybe_applied: bool


@value_class
class Throttled:
    """The platform refused the call by its rate limit; nothing was done."""

    retry_after_s: float


@value_class
class Missing:
    """There is no object with the key."""

    key: str


@value_class
class Exists:
    """An object with the key exists already and is unchanged."""

    key: str


TableError = Conflict | Unavailable | Throttled
ReadError = Unavailable | Throttled
ObjectError = Missing | Exists | Unavailable | Throttled


class Table(ABC):
    """The transactional table service."""

    @abstractmethod
    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none.

        :param ops: at most ``MAX_TRANSACTION_OPS``
        """

    @abstractmethod
    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""

    @abstractmethod
    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows whose keys have the prefix and sort after ``after``."""


class Objects(ABC):
    """The object store. Objects are immutable once written."""

    @abstractmethod
    def put(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Write an object; ``Exists`` if the key is taken."""

    @abstractmethod
    def get(self, key: str) -> Result[bytes, ObjectError]:
        """Read an object."""

    @abstractmethod
    def delete(self, key: str) -> Result[None, ObjectError]:
        """Delete an object; ``Missing`` if there is none."""


class ListedState(enum.StrEnum):
    """The state in which the platform lists a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedKind(enum.StrEnum):
    """Kind of a listed machine."""

    INSTANCE = "instance"
    BACKEND = "backend"


@value_class
class ListedMachine:
    """One machine in the platform's list.

    :param address: IP address; the programs use fixed ports
    """

    name: str
    kind: ListedKind
    zone: str
    address: str
    state: ListedState


class InstanceList(ABC):
    """The platform's list of machines; it lags by some seconds."""

    @abstractmethod
    def listed(self) -> Result[tuple[ListedMachine, ...], ReadError]:
        """Read the list."""


class WeightStore(ABC):
    """The rate-limited store of model weights."""

    @abstractmethod
    def reserve(
        self, weights: str, size_bytes: int
    ) -> Result[float, ReadError]:
        """Reserve a fetch of weights.

        :returns: seconds until the fetch may start
        """


__all__ = [
    "Absent",
    "Always",
    "Check",
    "Committed",
    "Condition",
    "Conflict",
    "Delete",
    "Exists",
    "InstanceList",
    "ListedMachine",
    "ListedKind",
    "ListedState",
    "MAX_SCAN_ROWS",
    "MAX_TRANSACTION_BYTES",
    "MAX_TRANSACTION_OPS",
    "Missing",
    "ObjectError",
    "Objects",
    "Op",
    "Page",
    "Put",
    "ReadError",
    "Row",
    "Table",
    "TableError",
    "Throttled",
    "Unavailable",
    "VersionIs",
    "WeightStore",
]
