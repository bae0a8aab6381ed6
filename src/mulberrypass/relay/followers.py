"""Applies route and engine rows of the store to the directory."""

from __future__ import annotations

from dataclasses import dataclass
import hashlib
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.model.published import Snapshot
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.follow import TableReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.routes import RegisteredEngine, RouteTable
    from mulberrypass.relay.directory import Directory
    from mulberrypass.storage.rows import StoredRow

LOG = get_logger(__name__)
# Engines whose entries lapsed in a store outage register again within 2 s.
REREGISTRATION_GRACE_S = 2.0


class DocumentError(Exception):
    """A row that can't be decoded; the message says why."""


class RouteReader(TableReader):
    """Puts the published routes in force.

    :param key: key of the row that holds the routes
    :param decode: decodes the row's value
    """

    def __init__(
        self,
        directory: Directory,
        key: str,
        decode: Callable[[bytes], RouteTable],
    ) -> None:
        self._directory = directory
        self._key = key
        self._decode = decode
        self._lock = threading.Lock()
        self._snapshot: Snapshot | None = None

    def on_all_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the complete set of rows."""
        self.on_changed_rows(rows)

    def on_changed_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changed rows."""
        for row in rows:
            if row.at.key == self._key and not row.removed:
                self.apply(row.value)

    def apply(self, data: bytes) -> None:
        """Put a published document in force if it is newer."""
        current = self._snapshot
        if current is not None and current.data == data:
            return
        try:
            table = self._decode(data)
        except DocumentError as exc:
            LOG.error("configuration can't be used", reason=str(exc))
            return
        with self._lock:
            if self._directory.apply_routes(table):
                digest = hashlib.sha256(data).hexdigest()
                self._snapshot = Snapshot(table.version, digest, data)

    def snapshot(self) -> Snapshot | None:
        """Return the document in force, to serve it to peers."""
        return self._snapshot


@dataclass(slots=True)
class _Entry:
    """A registered engine.

    :param missing_until: when a lapsed entry is removed, if it has lapsed
    """

    engine: RegisteredEngine
    missing_until: float | None = None


class EngineReader(TableReader):
    """Updates the directory's engines from their store entries.

    Entries that lapse during a store outage are kept for a grace period
    after it, because their engines may still be running.

    :param decode: decodes an entry's name and value
    :ivar read: whether the list of engines has been read
    """

    def __init__(
        self,
        directory: Directory,
        decode: Callable[[str, bytes], RegisteredEngine],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.read = False
        self._directory = directory
        self._decode = decode
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}
        self._store_lost = False
        self._returned_at: float | None = None
        self._timer: threading.Timer | None = None

    def on_all_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the complete set of entries."""
        present = {row.at.key for row in rows}
        with self._lock:
            for name in self._entries.keys() - present:
                self._drop(name)
        self.on_changed_rows(rows)
        self.read = True

    def on_changed_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changed entries."""
        with self._lock:
            for row in rows:
                if row.removed:
                    self._drop(row.at.key)
                else:
                    self._put(row)
            self._publish()

    def on_reachable(self, reachable: bool) -> None:
        """Record whether the store is reachable."""
        with self._lock:
            self._store_lost = not reachable
            self._returned_at = self._clock() if reachable else None

    def sweep(self) -> None:
        """Remove lapsed entries whose grace period is over."""
        now = self._clock()
        with self._lock:
            expired = [
                name
                for name, entry in self._entries.items()
                if entry.missing_until is not None
                and entry.missing_until <= now
            ]
            for name in expired:
                del self._entries[name]
            if expired:
                self._publish()

    def state(self) -> dict[str, Any]:
        """Return the remaining grace in seconds of each lapsed entry."""
        now = self._clock()
        return {
            name: round(entry.missing_until - now, 3)
            for name, entry in list(self._entries.items())
            if entry.missing_until is not None
        }

    def _put(self, row: StoredRow) -> None:
        name = row.at.key
        try:
            engine = self._decode(name, row.value)
        except DocumentError as exc:
            LOG.warning("entry names no engine", engine=name, why=str(exc))
            self._entries.pop(name, None)
            return
        self._entries[name] = _Entry(engine)

    def _drop(self, name: str) -> None:
        entry = self._entries.get(name)
        if entry is None:
            return
        until = self._grace_end()
        if until is None:
            del self._entries[name]
        elif entry.missing_until is None:
            entry.missing_until = until
            self._schedule_sweep(until)

    def _grace_end(self) -> float | None:
        if self._returned_at is None:
            return None
        until = self._returned_at + REREGISTRATION_GRACE_S
        return until if self._clock() < until else None

    def _schedule_sweep(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = threading.Timer(max(0.0, at - self._clock()), self.sweep)
        self._timer.daemon = True
        self._timer.start()

    def _publish(self) -> None:
        self._directory.set_engines(
            entry.engine for entry in self._entries.values()
        )


__all__ = ["DocumentError", "EngineReader", "RouteReader"]
