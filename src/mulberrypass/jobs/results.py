"""Results of a job in the order of its items."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.jobs.rows import LotPhase
from mulberrypass.policy.jobs.items import ItemState
from mulberrypass.policy.jobs.jobs import JobState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.jobs.reading import JobReader
    from mulberrypass.jobs.rows import JobRow, LotRow, ManifestLot
    from mulberrypass.model.store import ReadError

MAX_READ_ATTEMPTS = 5


class ResultsTruncatedError(Exception):
    """The platform stopped answering while results were being read."""


class JobResults:
    """Reads results, with one lot at a time in memory."""

    def __init__(self, reader: JobReader) -> None:
        self._reader = reader

    def lines(
        self, job: JobRow, first: int, limit: int
    ) -> Result[Iterator[bytes], ReadError]:
        """Return one JSON line for each item of a range.

        The iterator raises ``ResultsTruncatedError`` if the platform fails.
        """
        lots = self._reader.lots(job.job)
        if lots.is_error():
            return Error(lots.error)
        return Ok(self._lines(job, lots.ok, first, first + limit))

    def _lines(
        self, job: JobRow, rows: dict[int, LotRow], first: int, end: int
    ) -> Iterator[bytes]:
        for number, lot in enumerate(job.lots):
            start = max(first, lot.first)
            stop = min(end, lot.first + lot.count)
            if start < stop:
                row = rows.get(number)
                yield from self._lot_lines(job, lot, row, start, stop)

    def _lot_lines(
        self,
        job: JobRow,
        lot: ManifestLot,
        row: LotRow | None,
        start: int,
        stop: int,
    ) -> Iterator[bytes]:
        found = self._outcomes(row) if row is not None else {}
        default_state = _default_state(job, row).value
        for item in range(start, stop):
            line = found.get(item)
            if line is None:
                line = json.dumps(
                    {"item": item, "state": default_state}
                ).encode()
            yield line + b"\n"

    def _outcomes(self, row: LotRow) -> dict[int, bytes]:
        for _ in range(MAX_READ_ATTEMPTS):
            lines = self._reader.outcomes(row.chunks)
            if lines.is_ok():
                return _first_by_item(lines.ok)
        raise ResultsTruncatedError("the platform gave no answer")


def _first_by_item(lines: list[bytes]) -> dict[int, bytes]:
    found: dict[int, bytes] = {}
    for line in lines:
        found.setdefault(json.loads(line)["item"], line)
    return found


def _default_state(job: JobRow, row: LotRow | None) -> ItemState:
    held = row is not None and row.phase is LotPhase.HELD
    if job.state is JobState.CANCELLED and not held:
        return ItemState.CANCELLED
    return ItemState.PENDING


__all__ = ["JobResults", "ResultsTruncatedError"]
