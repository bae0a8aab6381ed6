"""Reading of stored jobs, lots and outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.jobs.rows import (
    HELD_PREFIX,
    OPEN_PREFIX,
    TABLE,
    held_from_row,
    intent_prefix,
    job_from_row,
    job_key,
    lot_from_row,
    lot_prefix,
    manifest_key,
    open_from_row,
)
from mulberrypass.model.store import Unavailable
from mulberrypass.policy.jobs.commands import JobSnapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.jobs.rows import Chunk, JobRow, LotRow
    from mulberrypass.model.store import (
        ObjectError,
        Objects,
        ReadError,
        Row,
        Table,
    )
    from mulberrypass.policy.jobs.lots import LotKey


class JobReader:
    """Reads the stored state of jobs."""

    def __init__(self, table: Table, objects: Objects) -> None:
        self._table = table
        self._objects = objects

    def snapshot(self) -> Result[JobSnapshot, ReadError]:
        """Read the open jobs and the held lots."""
        jobs = self.scan(OPEN_PREFIX)
        if jobs.is_error():
            return Error(jobs.error)
        held = self.scan(HELD_PREFIX)
        if held.is_error():
            return Error(held.error)
        return Ok(
            JobSnapshot(
                tuple(open_from_row(row) for row in jobs.ok),
                tuple(held_from_row(row) for row in held.ok),
            )
        )

    def row(self, key: str) -> Result[Row | None, ReadError]:
        """Read one row."""
        return self._table.read(TABLE, key)

    def job(self, job: str) -> Result[JobRow | None, ReadError]:
        """Read a job."""
        found = self.row(job_key(job))
        return found.map(
            lambda row: None if row is None else job_from_row(row.row)
        )

    def lots(self, job: str) -> Result[dict[int, LotRow], ReadError]:
        """Read the lots of a job that were leased at least once."""
        rows = self.scan(lot_prefix(job))
        return rows.map(
            lambda found: {
                int(row.key.rsplit("/", 1)[1]): lot_from_row(row.row)
                for row in found
            }
        )

    def scan(self, prefix: str) -> Result[list[Row], ReadError]:
        """Read all rows whose key has the prefix."""
        rows: list[Row] = []
        after: str | None = ""
        while after is not None:
            page = self._table.scan(TABLE, prefix, after)
            if page.is_error():
                return Error(page.error)
            rows.extend(page.ok.rows)
            after = page.ok.next_after
        return Ok(rows)

    def intended(
        self, key: LotKey, lot: LotRow
    ) -> Result[frozenset[int], ReadError]:
        """Read the items of a lot that an earlier holder may have run."""
        rows = self.scan(intent_prefix(key))
        if rows.is_error():
            return Error(rows.error)
        items: set[int] = set()
        reintended: set[int] = set()
        for row in rows.ok:
            items.update(row.row["items"])
            if int(row.key.split("/")[-2]) > lot.returned_epoch:
                reintended.update(row.row["items"])
        return Ok(frozenset(items - (set(lot.returned) - reintended)))

    def inputs(
        self, job: JobRow, lot: int
    ) -> Result[list[bytes], ObjectError]:
        """Read the lines of a lot's items."""
        listed = job.lots[lot]
        key = manifest_key(job.job, lot, listed.digest)
        return self._lines(key, 0, listed.count)

    def outcomes(
        self, chunks: Iterable[Chunk]
    ) -> Result[list[bytes], ObjectError]:
        """Read the lines of a lot's outcomes, in the order of the flushes."""
        lines: list[bytes] = []
        for chunk in chunks:
            found = self._lines(chunk.key, chunk.start, chunk.lines)
            if found.is_error():
                return Error(found.error)
            lines.extend(found.ok)
        return Ok(lines)

    def _lines(
        self, key: str, first: int, count: int
    ) -> Result[list[bytes], ObjectError]:
        """Read lines of an object, all of which must be there."""
        data = self._objects.get(key)
        if data.is_error():
            return Error(data.error)
        found = data.ok.split(b"\n")[first : first + count]
        if len(found) < count:
            return Error(Unavailable("lines are missing", False))
        return Ok(found)


__all__ = ["JobReader"]
