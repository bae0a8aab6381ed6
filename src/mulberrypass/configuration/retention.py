"""Removes published generations that are far behind the head."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from expression import Result

from mulberrypass.configuration import rows
from mulberrypass.model import store as api
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = get_logger(__name__)
KEPT_GENERATIONS = 1_000
MAX_REMOVALS_PER_STEP = 20
STEP_INTERVAL_S = 60.0
STOP_TIMEOUT_S = 5.0


class Retention:
    """Removes old snapshots, history rows and outcomes of submissions.

    :param responsible: returns whether this process is to remove; if two
        processes do so, they only waste calls
    :param kept: number of newest generations to keep
    """

    def __init__(
        self,
        table: api.Table,
        objects: api.Objects,
        responsible: Callable[[], bool],
        kept: int = KEPT_GENERATIONS,
    ) -> None:
        self._table = table
        self._objects = objects
        self._responsible = responsible
        self._kept = kept
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="retention", daemon=True
        )

    def start(self) -> None:
        """Start removing on a separate thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop removing."""
        self._stop.set()
        self._thread.join(STOP_TIMEOUT_S)

    def step(self) -> int:
        """Remove a batch of old generations, and return how many."""
        oldest = self._head_generation() - self._kept + 1
        if oldest <= 1:
            return 0
        page = self._table.scan(
            rows.TABLE,
            rows.HISTORY_PREFIX,
            after=rows.history_key(oldest),
            limit=MAX_REMOVALS_PER_STEP,
        )
        if page.is_error():
            return 0
        return sum(self._remove(row) for row in page.ok.rows)

    def _run(self) -> None:
        while not self._stop.wait(STEP_INTERVAL_S):
            try:
                removed = self.step() if self._responsible() else 0
                if removed:
                    LOG.info("removed old generations", count=removed)
            except Exception:
                LOG.exception("failed to remove old generations")

    def _head_generation(self) -> int:
        match self._table.read(rows.TABLE, rows.HEAD_KEY):
            case Result(tag="ok", ok=api.Row(row=row)):
                return rows.HeadRow.model_validate(row).generation
            case _:
                return 0

    def _remove(self, row: api.Row) -> bool:
        """Remove one generation, and return whether that succeeded.

        The snapshot goes first, so that its row is still found after a
        failure.
        """
        entry = rows.HistoryRow.model_validate(row.row)
        key = rows.snapshot_key(entry.generation, entry.digest)
        match self._objects.delete(key):
            case Result(tag="ok") | Result(error=api.Missing()):
                pass
            case _:
                return False
        outcome = rows.submit_key(entry.submit_id)
        ops = (
            api.Delete(rows.TABLE, row.key, api.Always()),
            api.Delete(rows.TABLE, outcome, api.Always()),
        )
        return self._table.transact(ops).is_ok()


__all__ = ["KEPT_GENERATIONS", "Retention"]
