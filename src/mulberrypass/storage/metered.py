"""Limits a process's calls to its share of the platform's rates."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from expression import Error

from mulberrypass.model.store import (
    MAX_SCAN_ROWS,
    Objects,
    Table,
    Throttled,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.storage.budget import FleetBudget, TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.model.store import (
        Committed,
        ObjectError,
        Op,
        Page,
        ReadError,
        Row,
        TableError,
    )

MAX_WAIT_S = 2.0


@value_class
class BudgetState:
    """The current share of the rates, and the calls counted so far."""

    live: int
    writes_per_s: float
    reads_per_s: float
    writes: int
    reads: int
    refused: int
    waited_s: float


class PlatformBudget:
    """One process's share of the platform's call rates; thread-safe.

    :param clock: monotonic seconds
    :param max_wait_s: a call that would wait longer is refused
    """

    def __init__(
        self,
        program: str,
        fleet: FleetBudget | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._program = program
        self._fleet = fleet or FleetBudget()
        self._clock = clock
        self._sleep = sleep
        self._max_wait_s = max_wait_s
        self._lock = threading.Lock()
        self._live = 1
        share = self._fleet.share(program, 1)
        now = clock()
        self._write_bucket = TokenBucket(now, share.writes_per_s)
        self._read_bucket = TokenBucket(now, share.reads_per_s)
        self._writes = 0
        self._reads = 0
        self._refused = 0
        self._waited_s = 0.0

    def set_live(self, live: int) -> None:
        """Set how many live processes of this program share the rates."""
        with self._lock:
            if live == self._live:
                return
            self._live = live
            share = self._fleet.share(self._program, live)
            now = self._clock()
            self._write_bucket.set_rate(now, share.writes_per_s)
            self._read_bucket.set_rate(now, share.reads_per_s)

    def take_write(self) -> Throttled | None:
        """Wait until a write is within the rate, or refuse it."""
        with self._lock:
            self._writes += 1
            wait_s = self._take(self._write_bucket)
        return self._wait(wait_s, self._write_bucket)

    def take_read(self) -> Throttled | None:
        """Wait until a read is within the rate, or refuse it."""
        with self._lock:
            self._reads += 1
            wait_s = self._take(self._read_bucket)
        return self._wait(wait_s, self._read_bucket)

    def state(self) -> BudgetState:
        """Return the state for the state dump."""
        with self._lock:
            return BudgetState(
                self._live,
                self._write_bucket.per_s,
                self._read_bucket.per_s,
                self._writes,
                self._reads,
                self._refused,
                self._waited_s,
            )

    def _take(self, bucket: TokenBucket) -> float | None:
        wait_s = bucket.take(self._clock(), self._max_wait_s)
        if wait_s is None:
            self._refused += 1
        else:
            self._waited_s += wait_s
        return wait_s

    def _wait(
        self, wait_s: float | None, bucket: TokenBucket
    ) -> Throttled | None:
        if wait_s is None:
            with self._lock:
                return Throttled(bucket.next_wait_s(self._clock()))
        if wait_s > 0:
            self._sleep(wait_s)
        return None


class MeteredTable(Table):
    """A table whose calls count against a budget."""

    def __init__(self, table: Table, budget: PlatformBudget) -> None:
        self._table = table
        self._budget = budget

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none."""
        refused = self._budget.take_write()
        return Error(refused) if refused else self._table.transact(ops)

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""
        refused = self._budget.take_read()
        return Error(refused) if refused else self._table.read(table, key)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows whose key has the prefix, after a key."""
        refused = self._budget.take_read()
        if refused:
            return Error(refused)
        return self._table.scan(table, prefix, after, limit)


class MeteredObjects(Objects):
    """An object store whose calls count against a budget."""

    def __init__(self, objects: Objects, budget: PlatformBudget) -> None:
        self._objects = objects
        self._budget = budget

    def put(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Write an object."""
        refused = self._budget.take_write()
        return Error(refused) if refused else self._objects.put(key, data)

    def get(self, key: str) -> Result[bytes, ObjectError]:
        """Read a whole object."""
        refused = self._budget.take_read()
        return Error(refused) if refused else self._objects.get(key)

    def delete(self, key: str) -> Result[None, ObjectError]:
        """Delete an object."""
        refused = self._budget.take_write()
        return Error(refused) if refused else self._objects.delete(key)


__all__ = [
    "BudgetState",
    "MeteredObjects",
    "MeteredTable",
    "PlatformBudget",
]
