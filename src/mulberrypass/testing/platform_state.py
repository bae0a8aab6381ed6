"""State of the platform stand-in, with fault injection."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import field
import random
import threading
import time
from typing import TYPE_CHECKING, Any, TypeVar

from expression import Error, Ok

from mulberrypass.model.store import (
    MAX_TRANSACTION_OPS,
    Committed,
    Conflict,
    Exists,
    Missing,
    Page,
    Put,
    Throttled,
    Unavailable,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.testing.platform_faults import CallFault, Faults, RateLimit
from mulberrypass.testing.platform_rows import Rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from expression import Result

    from mulberrypass.model.store import (
        ListedMachine,
        ObjectError,
        Op,
        ReadError,
        Row,
        TableError,
    )

T = TypeVar("T")
DEFAULT_WEIGHTS_BYTES_PER_S = 1_000_000_000.0


@value_class
class PlatformCounters:
    """Counters of the stand-in.

    :param writes: applied transactions and changes of objects
    :param reads: reads of rows, pages, objects and lists, and reservations
        of weights
    :param rows_by_table: rows written, by table
    :param writes_by_table: transactions that wrote to each table
    """

    writes: int = 0
    reads: int = 0
    conflicts: int = 0
    throttled: int = 0
    refused: int = 0
    replies_lost: int = 0
    requests_lost: int = 0
    rows_by_table: dict[str, int] = field(default_factory=dict)
    writes_by_table: dict[str, int] = field(default_factory=dict)


class FakePlatform:
    """Table, objects, instance list and weights in memory. Thread-safe.

    :param clock: returns monotonic seconds
    :param sleep: waits for the latency of a call
    :param seed: seed of the random losses
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        seed: int = 0,
        keep_history: bool = False,
        weights_bytes_per_s: float = DEFAULT_WEIGHTS_BYTES_PER_S,
    ) -> None:
        self.rows = Rows(keep_history)
        self._clock = clock
        self._sleep = sleep
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._faults = Faults()
        self._next_writes: deque[CallFault] = deque()
        self._write_limit = RateLimit()
        self._read_limit = RateLimit()
        self._objects: dict[str, bytes] = {}
        self._published_lists: list[
            tuple[float, tuple[ListedMachine, ...]]
        ] = []
        self._weights_bytes_per_s = weights_bytes_per_s
        self._weights_free_at = 0.0
        self._counts: Counter[str] = Counter()
        self._table_rows: Counter[str] = Counter()
        self._table_writes: Counter[str] = Counter()

    @property
    def faults(self) -> Faults:
        """The current faults."""
        with self._lock:
            return self._faults

    def set_faults(self, faults: Faults) -> None:
        """Replace the current faults."""
        with self._lock:
            self._faults = faults

    def script_writes(self, faults: Iterable[CallFault]) -> None:
        """Append outcomes of the next writes, in order."""
        with self._lock:
            self._next_writes.extend(faults)

    def counters(self) -> PlatformCounters:
        """Return a snapshot of the counters."""
        with self._lock:
            return PlatformCounters(
                writes=self._counts["writes"],
                reads=self._counts["reads"],
                conflicts=self._counts["conflicts"],
                throttled=self._counts["throttled"],
                refused=self._counts["refused"],
                replies_lost=self._counts["replies_lost"],
                requests_lost=self._counts["requests_lost"],
                rows_by_table=dict(self._table_rows),
                writes_by_table=dict(self._table_writes),
            )

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none."""
        if not 0 < len(ops) <= MAX_TRANSACTION_OPS:
            raise ValueError(f"{len(ops)} operations in a transaction")
        result: Result[Committed, TableError]
        result = self._write(lambda: self._transact(ops))
        return result

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read one row."""
        return self._read(lambda: self.rows.read(table, key))

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[Page, ReadError]:
        """Read the rows with a key prefix, after a key."""
        return self._read(lambda: self.rows.scan(table, prefix, after, limit))

    def put_object(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Write an object."""
        return self._write(lambda: self._put_object(key, data))

    def get_object(self, key: str) -> Result[bytes, ObjectError]:
        """Read an object."""
        found = self._read(lambda: self._objects.get(key))
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            return Error(Missing(key))
        return Ok(found.ok)

    def delete_object(self, key: str) -> Result[None, ObjectError]:
        """Remove an object."""
        return self._write(lambda: self._delete_object(key))

    def object_keys(self) -> tuple[str, ...]:
        """Return all keys for tests, bypassing faults."""
        with self._lock:
            return tuple(sorted(self._objects))

    def all_rows(self, table: str) -> tuple[Row, ...]:
        """Return all rows for tests, bypassing faults."""
        with self._lock:
            return self.rows.scan(table, "", "", 1 << 60).rows

    def listed(self) -> Result[tuple[ListedMachine, ...], ReadError]:
        """Read the list, delayed by ``list_lag_s``."""
        return self._read(self._visible_list)

    def set_listed(
        self, entries: Iterable[ListedMachine], at_once: bool = False
    ) -> None:
        """Replace the list; the change is visible after ``list_lag_s``.

        :param at_once: make it visible without delay
        """
        with self._lock:
            if at_once:
                self._published_lists.clear()
            published_at = float("-inf") if at_once else self._clock()
            self._published_lists.append((published_at, tuple(entries)))

    def latest_listed(self) -> tuple[ListedMachine, ...]:
        """Return the list as last set, for a change of one entry."""
        with self._lock:
            return (
                self._published_lists[-1][1] if self._published_lists else ()
            )

    def reserve(
        self, weights: str, size_bytes: int
    ) -> Result[float, ReadError]:
        """Reserve a fetch of weights; return seconds until it may start."""
        return self._read(lambda: self._reserve(size_bytes))

    def _transact(
        self, ops: tuple[Op, ...]
    ) -> Result[Committed, Conflict | Missing | Exists]:
        outcome = self.rows.transact(ops)
        if isinstance(outcome, Conflict):
            self._counts["conflicts"] += 1
            return Error(outcome)
        self._counts["writes"] += 1
        self._table_writes.update({op.table for op in ops})
        self._table_rows.update(op.table for op in ops if isinstance(op, Put))
        return Ok(outcome)

    def _put_object(
        self, key: str, data: bytes
    ) -> Result[None, Conflict | Missing | Exists]:
        if key in self._objects:
            return Error(Exists(key))
        self._objects[key] = data
        self._counts["writes"] += 1
        return Ok(None)

    def _delete_object(
        self, key: str
    ) -> Result[None, Conflict | Missing | Exists]:
        if self._objects.pop(key, None) is None:
            return Error(Missing(key))
        self._counts["writes"] += 1
        return Ok(None)

    def _visible_list(self) -> tuple[ListedMachine, ...]:
        horizon = self._clock() - self._faults.list_lag_s
        visible: tuple[ListedMachine, ...] = ()
        for published_at, entries in self._published_lists:
            if published_at > horizon:
                break
            visible = entries
        return visible

    def _reserve(self, size_bytes: int) -> float:
        now = self._clock()
        start = max(now, self._weights_free_at)
        self._weights_free_at = start + size_bytes / self._weights_bytes_per_s
        return start - now

    def _write(
        self, operation: Callable[[], Result[T, object]]
    ) -> Result[T, Any]:
        self._sleep_latency()
        with self._lock:
            refused = self._admit(self._write_limit, self._faults.writes_per_s)
            if refused is not None:
                return Error(refused)
            match self._write_fault():
                case CallFault.REFUSE:
                    self._counts["refused"] += 1
                    return Error(Unavailable("refused", False))
                case CallFault.LOSE_REQUEST:
                    self._counts["requests_lost"] += 1
                    return Error(Unavailable("no answer", True))
                case CallFault.LOSE_REPLY:
                    operation()
                    self._counts["replies_lost"] += 1
                    return Error(Unavailable("no answer", True))
                case CallFault.PASS:
                    return operation()

    def _read(self, operation: Callable[[], T]) -> Result[T, ReadError]:
        self._sleep_latency()
        with self._lock:
            refused = self._admit(self._read_limit, self._faults.reads_per_s)
            if refused is not None:
                return Error(refused)
            self._counts["reads"] += 1
            return Ok(operation())

    def _admit(
        self, limit: RateLimit, per_s: float
    ) -> Unavailable | Throttled | None:
        if self._faults.outage:
            self._counts["refused"] += 1
            return Unavailable("outage", False)
        wait_s = limit.wait_s(self._clock(), per_s)
        if wait_s > 0:
            self._counts["throttled"] += 1
            return Throttled(wait_s)
        return None

    def _write_fault(self) -> CallFault:
        if self._next_writes:
            return self._next_writes.popleft()
        if self._rng.random() < self._faults.lose_replies:
            return CallFault.LOSE_REPLY
        if self._rng.random() < self._faults.lose_requests:
            return CallFault.LOSE_REQUEST
        return CallFault.PASS

    def _sleep_latency(self) -> None:
        with self._lock:
            latency_s = self._faults.latency_s
        if latency_s > 0:
            self._sleep(latency_s)


__all__ = ["FakePlatform", "PlatformCounters"]
