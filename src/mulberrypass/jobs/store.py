"""Storage of one holder's leases, intents and outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.jobs.lot_changes import (
    flushed_row,
    is_available,
    leased_row,
    settled_items,
)
from mulberrypass.jobs.rows import (
    TABLE,
    JobRow,
    LotPhase,
    LotRow,
    chunk_of,
    held_key,
    held_to_row,
    intent_key,
    lot_from_row,
    lot_key,
    lot_to_row,
    open_key,
    outcomes_key,
    outcomes_to_lines,
)
from mulberrypass.model.store import (
    Absent,
    Always,
    Check,
    Committed,
    Conflict,
    Delete,
    Put,
    VersionIs,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.lots import LotKey, LotLease

if TYPE_CHECKING:
    from mulberrypass.jobs.closer import JobCloser
    from mulberrypass.jobs.reading import JobReader
    from mulberrypass.jobs.writer import RetryingWriter
    from mulberrypass.model.store import (
        Condition,
        Op,
        Row,
        Table,
    )
    from mulberrypass.policy.jobs.commands import Flush, LotFlush
    from mulberrypass.policy.jobs.jobs import HeldLot, Holder, OpenJob


@value_class
class NotLeased:
    """No lot was leased.

    :param exhausted: whether the job has no free lot
    """

    exhausted: bool


@dataclass(slots=True)
class _HeldLot:
    """A lot that this process holds, as stored."""

    version: int
    row: LotRow
    job: JobRow
    inputs: list[bytes]
    intents: int = 0
    intended: set[int] = field(default_factory=set)


class LotStore:
    """Stores one holder's lots on the platform; not thread-safe.

    Every write of a lot is conditional on the version of its row that this
    process wrote last, so that a holder whose lot was taken over is fenced.
    A write without a reply is repeated; the nonce in the stored row tells
    whether the first try took effect.
    """

    def __init__(
        self,
        own: Holder,
        table: Table,
        reader: JobReader,
        writer: RetryingWriter,
        closer: JobCloser,
    ) -> None:
        self._own = own
        self._table = table
        self._reader = reader
        self._writer = writer
        self._closer = closer
        self._held: dict[LotKey, _HeldLot] = {}

    def item_line(self, key: LotKey, item: int) -> bytes | None:
        """Return the line of an item of a held lot."""
        held = self._held.get(key)
        if held is None:
            return None
        return held.inputs[item - held.job.lots[key.lot].first]

    def lease_next(
        self, open_job: OpenJob, skip: int
    ) -> Result[LotLease, NotLeased]:
        """Lease a free lot of a job.

        :param skip: number of free lots to leave to other holders
        """
        lots = self._reader.lots(open_job.job)
        if lots.is_error():
            return Error(NotLeased(False))
        free = [
            number
            for number in range(open_job.lots)
            if number not in lots.ok or lots.ok[number].phase is LotPhase.FREE
        ]
        if not free:
            self._closer.close_if_done(open_job.job, lots.ok)
            return Error(NotLeased(True))
        return self._lease(open_job, free[skip % len(free)], None)

    def take_over(
        self, open_job: OpenJob, lost: HeldLot
    ) -> Result[LotLease, NotLeased]:
        """Lease a lot whose holder is gone, under a higher epoch."""
        return self._lease(open_job, lost.key.lot, lost)

    def record_intents(self, key: LotKey, items: tuple[int, ...]) -> bool:
        """Store intents.

        :returns: whether the lot is still held
        """
        held = self._held.get(key)
        if held is None:
            return False
        held.intents += 1
        held.intended.update(items)
        nonce = self._writer.nonce()
        stored = intent_key(key, held.row.epoch, held.intents)
        ops: tuple[Op, ...] = (
            Put(TABLE, stored, {"items": items, "nonce": nonce}, Absent()),
            Check(TABLE, lot_key(key), VersionIs(held.version)),
        )
        done = self._writer.write(ops)
        if isinstance(done, Committed):
            return True
        if done.index == 0 and _written_by(done.found, nonce):
            return self._still_held(key, held)
        self._held.pop(key, None)
        return False

    def flush(self, flush: Flush) -> tuple[LotKey, ...]:
        """Write outcomes.

        :returns: the lots that are no longer held
        """
        parts = [part for part in flush.lots if part.key in self._held]
        fenced = [part.key for part in flush.lots if part not in parts]
        nonce = self._writer.nonce()
        rows = self._new_rows(parts, nonce)
        while parts:
            lost = self._commit(parts, rows, nonce)
            if lost is None:
                break
            parts = [part for part in parts if part.key != lost]
            fenced.append(lost)
        fenced.extend(p.key for p in parts if p.key not in self._held)
        self._drop(fenced)
        ended = {part.key.job for part in parts if part.ended}
        self._drop([p.key for p in parts if p.ended or p.released])
        for job in sorted(ended):
            lots = self._reader.lots(job)
            if lots.is_ok():
                self._closer.close_if_done(job, lots.ok)
        return tuple(fenced)

    def _lease(
        self, open_job: OpenJob, number: int, lost: HeldLot | None
    ) -> Result[LotLease, NotLeased]:
        key = LotKey(open_job.job, number)
        job = self._reader.job(open_job.job)
        current = self._reader.row(lot_key(key))
        if job.is_error() or job.ok is None or current.is_error():
            return Error(NotLeased(False))
        before = lot_from_row(current.ok.row) if current.ok else None
        if not is_available(before, lost):
            return Error(NotLeased(False))
        nonce = self._writer.nonce()
        row = leased_row(before, self._own, nonce)
        condition: Condition = Absent()
        if current.ok is not None:
            condition = VersionIs(current.ok.version)
        version = self._write_lease(open_job, key, row, condition)
        if version is None:
            return Error(NotLeased(False))
        return self._load(job.ok, open_job, key, row, version)

    def _write_lease(
        self,
        open_job: OpenJob,
        key: LotKey,
        row: LotRow,
        condition: Condition,
    ) -> int | None:
        held = held_to_row(open_job.customer, row)
        is_open = VersionIs(open_job.version)
        done = self._table.transact(
            (
                Put(TABLE, lot_key(key), lot_to_row(row), condition),
                Put(TABLE, held_key(key), held, Always()),
                Check(TABLE, open_key(key.job), is_open),
            )
        )
        if done.is_ok() and done.ok.versions[0]:
            return done.ok.versions[0]
        return self._version_written_by(key, row.nonce)

    def _version_written_by(self, key: LotKey, nonce: str) -> int | None:
        """Return the version of a lot's row if its nonce is the given one."""
        found = self._reader.row(lot_key(key))
        if found.is_error() or found.ok is None:
            return None
        return found.ok.version if _written_by(found.ok, nonce) else None

    def _load(
        self,
        job: JobRow,
        open_job: OpenJob,
        key: LotKey,
        row: LotRow,
        version: int,
    ) -> Result[LotLease, NotLeased]:
        inputs = self._reader.inputs(job, key.lot)
        lines = self._reader.outcomes(row.chunks)
        intended = self._reader.intended(key, row)
        if inputs.is_error() or lines.is_error() or intended.is_error():
            return Error(NotLeased(False))
        self._held[key] = _HeldLot(version, row, job, inputs.ok)
        lot = job.lots[key.lot]
        return Ok(
            LotLease(
                key,
                row.epoch,
                lot.first,
                lot.count,
                settled_items(lines.ok),
                intended.ok,
                open_job.cancelled,
            )
        )

    def _new_rows(
        self, parts: list[LotFlush], nonce: str
    ) -> dict[LotKey, LotRow]:
        lines: dict[str, list[bytes]] = {}
        rows: dict[LotKey, LotRow] = {}
        for part in parts:
            held = self._held[part.key]
            chunks = held.row.chunks
            if part.outcomes:
                job_lines = lines.setdefault(part.key.job, [])
                name = outcomes_key(part.key.job, nonce)
                chunk = chunk_of(name, len(job_lines), part.outcomes)
                chunks = (*chunks, chunk)
                job_lines.extend(outcomes_to_lines(part.outcomes))
            rows[part.key] = flushed_row(
                held.row, part, chunks, held.intended, nonce
            )
        for job, job_lines in lines.items():
            data = b"\n".join(job_lines)
            self._writer.put_object(outcomes_key(job, nonce), data)
        return rows

    def _commit(
        self,
        parts: list[LotFlush],
        rows: dict[LotKey, LotRow],
        nonce: str,
    ) -> LotKey | None:
        """Write the rows of a flush.

        :returns: a lot whose conflict prevented the write, or ``None``
        """
        ops: list[Op] = []
        for part in parts:
            version = VersionIs(self._held[part.key].version)
            row = lot_to_row(rows[part.key])
            ops.append(Put(TABLE, lot_key(part.key), row, version))
        for part in parts:
            if part.ended or part.released:
                ops.append(Delete(TABLE, held_key(part.key), Always()))
        done = self._writer.write(tuple(ops))
        if isinstance(done, Committed) and all(done.versions[: len(parts)]):
            for index, part in enumerate(parts):
                written = done.versions[index]
                self._record_version(part.key, rows[part.key], written)
            return None
        if isinstance(done, Conflict) and not _written_by(done.found, nonce):
            return parts[done.index].key
        return self._confirm_flush(parts, rows, nonce)

    def _confirm_flush(
        self,
        parts: list[LotFlush],
        rows: dict[LotKey, LotRow],
        nonce: str,
    ) -> LotKey | None:
        """Record a flush whose reply was lost; drop lots taken over since."""
        for part in parts:
            if part.ended or part.released:
                continue
            row = self._writer.read_row(lot_key(part.key))
            if row is None or not _written_by(row, nonce):
                self._held.pop(part.key)
                continue
            self._record_version(part.key, rows[part.key], row.version)
        return None

    def _record_version(self, key: LotKey, row: LotRow, version: int) -> None:
        self._held[key].version = version
        self._held[key].row = row

    def _still_held(self, key: LotKey, held: _HeldLot) -> bool:
        row = self._writer.read_row(lot_key(key))
        if row is not None and row.version == held.version:
            return True
        self._held.pop(key, None)
        return False

    def _drop(self, keys: list[LotKey]) -> None:
        for key in keys:
            self._held.pop(key, None)


def _written_by(row: Row | None, nonce: str) -> bool:
    return row is not None and row.row["nonce"] == nonce


__all__ = ["LotStore", "NotLeased"]
