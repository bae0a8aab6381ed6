"""Follows the rows of a table through its change feed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
import threading
import time
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.rows import Lagged

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.storage.rows import (
        FeedError,
        ReadFailure,
        RowPage,
        RowStore,
        StoredRow,
    )

LOG = get_logger(__name__)
# The store never answers a call that it received while unresponsive, even
# after it has recovered. Such a call times out and is repeated within the 3 s
# that a site allows for this.
FEED_WAIT_S = 1.5
RETRY_S = 0.25
STOP_TIMEOUT_S = 0.5


class TableReader(ABC):
    """Receives the rows of a table, on the follower's thread."""

    @abstractmethod
    def on_all_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Handle the complete content of the table."""

    @abstractmethod
    def on_changed_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Handle rows that were written or removed since the last call."""

    def on_reachable(self, reachable: bool) -> None:  # noqa: B027
        """Handle the loss or the recovery of the store."""


@dataclass(slots=True)
class FollowState:
    """State of a follower, for the state dump.

    :param version: newest version applied; ``None`` before the first read
    :param error: why the last call failed; empty after a success
    """

    table: str
    version: int | None = None
    error: str = "not read yet"
    reads: int = 0
    feeds: int = 0


class TableFollower:
    """Reads a whole table, then waits for changes until stopped.

    Rows older than the newest applied version are never passed on: a stale
    answer of a store that has just recovered is dropped, and the call is
    repeated.

    :param all_parts: whether to read parts other than the one named ``""``
    :param spacing_s: returns the pause after a change, so that the changes
        that follow come in one answer
    """

    def __init__(
        self,
        rows: RowStore,
        table: str,
        reader: TableReader,
        *,
        all_parts: bool = False,
        spacing_s: Callable[[], float] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rows = rows
        self._reader = reader
        self._all_parts = all_parts
        self._spacing_s = spacing_s
        self._clock = clock
        self._stop = threading.Event()
        self._reachable = True
        self._newest_seen = 0
        self.state = FollowState(table)
        self.answered_at = clock()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{table}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the thread to end, without waiting for a call in flight."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                succeeded = self._step()
            except Exception:
                LOG.exception("follower failed", table=self.state.table)
                succeeded = False
            if not succeeded:
                self._stop.wait(RETRY_S)

    def _step(self) -> bool:
        """Make one call, and return whether it succeeded."""
        if self.state.version is None:
            return self._read_whole()
        self.state.feeds += 1
        result = self._rows.feed(
            self.state.table, self.state.version, FEED_WAIT_S
        )
        if result.is_error():
            return self._on_error(result.error)
        self._on_answer()
        return self._apply_page(result.ok)

    def _apply_page(self, page: RowPage) -> bool:
        assert self.state.version is not None
        if page.version < self.state.version:
            return False
        last = self.state.version
        newer = tuple(row for row in page.rows if row.version > last)
        if newer:
            self._reader.on_changed_rows(newer)
            if self._spacing_s is not None:
                self._stop.wait(self._spacing_s())
        self.state.version = page.version
        if page.more:
            self.state.version = max((r.version for r in newer), default=last)
        return True

    def _read_whole(self) -> bool:
        self.state.reads += 1
        result = self._scan_all()
        if result.is_error():
            return self._on_error(result.error)
        found, version = result.ok
        self._on_answer()
        if version < self._newest_seen:
            return False
        self._reader.on_all_rows(found)
        self.state.version = version
        return True

    def _on_error(self, error: FeedError) -> bool:
        match error:
            case Lagged():
                LOG.info("history was dropped", table=self.state.table)
                self._newest_seen = self.state.version or 0
                self.state.version = None
                return True
            case Unavailable(reason=reason):
                self.state.error = reason
            case Throttled():
                self.state.error = "over the rate"
        if self._reachable:
            self._reachable = False
            LOG.warning(
                "store lost", table=self.state.table, reason=self.state.error
            )
            self._reader.on_reachable(False)
        return False

    def _on_answer(self) -> None:
        self.answered_at = self._clock()
        self.state.error = ""
        if not self._reachable:
            self._reachable = True
            LOG.info("store regained", table=self.state.table)
            self._reader.on_reachable(True)

    def _scan_all(
        self,
    ) -> Result[tuple[tuple[StoredRow, ...], int], ReadFailure]:
        return scan_all(self._rows, self.state.table, self._all_parts)


def scan_all(
    rows: RowStore, table: str, all_parts: bool
) -> Result[tuple[tuple[StoredRow, ...], int], ReadFailure]:
    """Read all rows of a table, and the version to continue from.

    The version is that of the first page, which is read before the parts are
    listed: the feed reports again any change made since, including the first
    row of a part that wasn't listed yet.

    :param all_parts: whether to read parts other than the one named ``""``
    """
    first = _scan_part(rows, table, "")
    if first.is_error():
        return Error(first.error)
    found, version = first.ok
    if all_parts:
        listed = rows.parts(table)
        if listed.is_error():
            return Error(listed.error)
        for part in filter(None, listed.ok):
            scanned = _scan_part(rows, table, part)
            if scanned.is_error():
                return Error(scanned.error)
            found += scanned.ok[0]
    return Ok((found, version))


def _scan_part(
    rows: RowStore, table: str, part: str
) -> Result[tuple[tuple[StoredRow, ...], int], ReadFailure]:
    """Read all rows of a part, and the version of the first page."""
    found: tuple[StoredRow, ...] = ()
    version: int | None = None
    first = ""
    while True:
        paged = rows.scan(table, part, first)
        if paged.is_error():
            return Error(paged.error)
        page = paged.ok
        version = page.version if version is None else version
        found += page.rows
        if not page.more or not page.rows:
            return Ok((found, version))
        first = page.rows[-1].at.key + "\0"


__all__ = ["FollowState", "TableFollower", "TableReader", "scan_all"]
