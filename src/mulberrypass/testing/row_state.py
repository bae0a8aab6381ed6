"""In-memory row store with change feeds and fault injection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
import threading
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.storage.rows import (
    Lagged,
    RowPage,
    RowsConflict,
    RowStore,
    StoredRow,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.storage.rows import (
        FeedError,
        ReadFailure,
        RowKey,
        RowsError,
        Transaction,
    )

PAGE_ROWS = 500


@dataclass(slots=True)
class RowFaults:
    """Faults of the next calls.

    :param down: refuse calls
    :param silent: neither apply nor answer calls
    :param lose: number of changes to apply without an answer
    :param late: number of changes to delay, without an answer
    :param throttle: number of calls to refuse for their rate
    """

    down: bool = False
    silent: bool = False
    lose: int = 0
    late: int = 0
    throttle: int = 0


@dataclass(slots=True)
class RowState(RowStore):
    """Row store in memory. Thread-safe.

    :param oldest_version: oldest version that the history can hold
    :param delayed: changes to apply in ``deliver_late``
    :param on_wait: called instead of waiting when a feed is empty
    """

    faults: RowFaults = field(default_factory=RowFaults)
    version: int = 0
    rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    history: list[StoredRow] = field(default_factory=list)
    oldest_version: int = 0
    delayed: deque[Transaction] = field(default_factory=deque)
    on_wait: Callable[[], None] | None = None
    changed: threading.Condition = field(default_factory=threading.Condition)

    def transact(self, change: Transaction) -> Result[int, RowsError]:
        """Apply a change, subject to the faults."""
        failure = self._failure(True)
        if failure is not None:
            return Error(failure)
        if self.faults.late > 0:
            self.faults.late -= 1
            self.delayed.append(change)
            return Error(Unavailable("no answer", True))
        done = self.apply(change)
        if self.faults.lose > 0:
            self.faults.lose -= 1
            return Error(Unavailable("no answer", True))
        return done

    def apply(self, change: Transaction) -> Result[int, RowsError]:
        """Apply a change, bypassing the faults."""
        with self.changed:
            found = tuple(
                self.rows.get(e.at) or StoredRow(e.at, b"", 0)
                for e in change.expected
            )
            expected = [e.version for e in change.expected]
            if [row.version for row in found] != expected:
                return Error(RowsConflict(found))
            self.version += 1
            for at, value in change.puts:
                row = StoredRow(at, value, self.version)
                self.rows[at] = row
                self.history.append(row)
            for at in change.removes:
                if self.rows.pop(at, None) is not None:
                    removed = StoredRow(at, b"", self.version, removed=True)
                    self.history.append(removed)
            self.changed.notify_all()
            return Ok(self.version)

    def deliver_late(self) -> None:
        """Apply the delayed changes."""
        while self.delayed:
            self.apply(self.delayed.popleft())

    def forget_history(self) -> None:
        """Drop the history, so that feeds from before fail as lagged."""
        with self.changed:
            self.history.clear()
            self.oldest_version = self.version + 1
            self.changed.notify_all()

    def scan(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowPage, ReadFailure]:
        """Read rows whose key is in ``[first, end)``."""
        failure = self._failure(False)
        if failure is not None:
            return Error(failure)
        with self.changed:
            found = sorted(
                (
                    row
                    for at, row in self.rows.items()
                    if (at.table, at.part) == (table, part)
                    and at.key >= first
                    and (not end or at.key < end)
                ),
                key=lambda row: row.at.key,
            )
            more = len(found) > PAGE_ROWS
            return Ok(RowPage(tuple(found[:PAGE_ROWS]), more, self.version))

    def parts(self, table: str) -> Result[tuple[str, ...], ReadFailure]:
        """List the parts of a table."""
        failure = self._failure(False)
        if failure is not None:
            return Error(failure)
        with self.changed:
            found = {at.part for at in self.rows if at.table == table}
        return Ok(tuple(sorted(found)))

    def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowPage, FeedError]:
        """Wait for rows that change after a version."""
        failure = self._failure(False)
        if failure is not None:
            return Error(failure)
        with self.changed:
            found = self._since(table, after)
            if not found and after + 1 >= self.oldest_version:
                if self.on_wait is not None:
                    self.on_wait()
                else:
                    self.changed.wait(wait_s)
                found = self._since(table, after)
            if after + 1 < self.oldest_version:
                return Error(Lagged())
            return Ok(RowPage(tuple(found), False, self.version))

    def _since(self, table: str, after: int) -> list[StoredRow]:
        return [
            row
            for row in self.history
            if row.at.table == table and row.version > after
        ]

    def _failure(self, changes: bool) -> Unavailable | Throttled | None:
        if self.faults.throttle > 0:
            self.faults.throttle -= 1
            return Throttled(0.0)
        if self.faults.down:
            return Unavailable("status 503", False)
        if self.faults.silent:
            return Unavailable("no answer", changes)
        return None


__all__ = ["RowFaults", "RowState"]
