"""Submission, status and cancellation of jobs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
import xxhash

from mulberrypass.jobs.manifest import BadLine, BadLineError, ManifestReader
from mulberrypass.jobs.rows import (
    TABLE,
    JobRow,
    customer_prefix,
    job_from_row,
    job_key,
    job_to_row,
    manifest_key,
    open_key,
    open_to_row,
)
from mulberrypass.model.outcome import Ran
from mulberrypass.model.store import (
    Absent,
    Always,
    Conflict,
    Exists,
    Missing,
    Put,
    Throttled,
    VersionIs,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.jobs import JobState, JobView, view

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import BinaryIO

    from mulberrypass.jobs.reading import JobReader
    from mulberrypass.jobs.rows import ManifestLot
    from mulberrypass.model.objects import Service
    from mulberrypass.model.store import (
        ObjectError,
        Objects,
        Op,
        ReadError,
        Table,
        TableError,
    )

MAX_STORE_ATTEMPTS = 4
RETRY_AFTER_S = 5.0


@value_class
class EmptyManifest:
    """The manifest has no items."""


@value_class
class KeyTaken:
    """The key already names another job of the customer."""

    reason: str


@value_class
class StoreDown:
    """The platform gave no answer.

    :param ran: whether the call may have taken effect
    """

    ran: Ran
    retry_after_s: float = RETRY_AFTER_S


@value_class
class NoSuchJob:
    """The customer has no such job."""


@value_class
class AlreadyDone:
    """A job that is done can't be cancelled."""


@value_class
class Accepted:
    """The job is stored.

    :param created: whether this call created it
    """

    job: JobRow
    created: bool


@value_class
class Submission:
    """A job submission without its manifest.

    :param due: Unix time in seconds
    """

    customer: str
    key: str
    service: Service
    due: float


SubmitError = BadLine | EmptyManifest | KeyTaken | StoreDown
CancelError = NoSuchJob | AlreadyDone | StoreDown


def job_id(customer: str, key: str) -> str:
    """Return the id of the job that a customer submits under a key."""
    name = f"{customer}\0{key}".encode()
    return f"j-{xxhash.xxh3_128_hexdigest(name)}"


class JobManager:
    """Accepts, shows and cancels jobs; thread-safe.

    :param wall: returns the Unix time in seconds
    :param pause: waits before a retry, given the number of the failed
        attempt and the delay in seconds that the platform asked for
    """

    def __init__(
        self,
        table: Table,
        objects: Objects,
        reader: JobReader,
        wall: Callable[[], float],
        pause: Callable[[int, float], None],
        lot_items: int,
    ) -> None:
        self._table = table
        self._objects = objects
        self._reader = reader
        self._wall = wall
        self._pause = pause
        self._lot_items = lot_items

    def submit(
        self, submission: Submission, body: BinaryIO
    ) -> Result[Accepted, SubmitError]:
        """Store a job, or return the job already stored under the same key."""
        job = job_id(submission.customer, submission.key)
        known = self._reader.job(job)
        if known.is_error():
            return Error(_store_down(known.error))
        manifest = ManifestReader(body, submission.service, self._lot_items)
        try:
            lots = self._store_lots(job, manifest, known.ok is None)
        except BadLineError as exc:
            return Error(exc.bad)
        if lots.is_error():
            return Error(lots.error)
        if not lots.ok:
            return Error(EmptyManifest())
        row = self._row(job, submission, manifest, lots.ok)
        if known.ok is not None:
            return _existing_job(known.ok, row)
        return self._accept(row)

    def show(self, job: JobRow) -> Result[JobView, ReadError]:
        """Return the progress of a job."""
        lots = self._reader.lots(job.job)
        if lots.is_error():
            return Error(lots.error)
        until = job.ended or self._wall()
        counts = [lot.counts for lot in lots.ok.values()]
        return Ok(
            view(
                job.state,
                job.items,
                counts,
                job.ended is not None,
                until - job.created,
            )
        )

    def find(
        self, customer: str, job: str
    ) -> Result[JobRow, NoSuchJob | StoreDown]:
        """Find a job of a customer."""
        found = self._reader.job(job)
        if found.is_error():
            return Error(_store_down(found.error))
        job_row = found.ok
        if job_row is None or job_row.customer != customer:
            return Error(NoSuchJob())
        if job_row.expires is not None and job_row.expires <= self._wall():
            return Error(NoSuchJob())
        return Ok(job_row)

    def jobs_of(self, customer: str) -> Result[tuple[str, ...], StoreDown]:
        """Return the ids of a customer's jobs."""
        prefix = customer_prefix(customer)
        rows = self._reader.scan(prefix)
        if rows.is_error():
            return Error(_store_down(rows.error))
        return Ok(tuple(row.key.removeprefix(prefix) for row in rows.ok))

    def cancel(self, customer: str, job: str) -> Result[JobRow, CancelError]:
        """Cancel a job of a customer; repeated calls change nothing."""
        ran = Ran.NO
        for attempt in range(1, MAX_STORE_ATTEMPTS + 1):
            found = self._reader.row(job_key(job))
            if found.is_error():
                self._pause(attempt, 0.0)
                continue
            if found.ok is None:
                return Error(NoSuchJob())
            row = job_from_row(found.ok.row)
            if row.customer != customer:
                return Error(NoSuchJob())
            if row.state is not JobState.RUNNING:
                return _already_ended(row)
            error = self._write_cancel(row, found.ok.version)
            if error is None:
                return Ok(replace(row, state=JobState.CANCELLED))
            if not isinstance(error, Conflict):
                ran = _ran_after(error, ran)
                self._pause(attempt, 0.0)
        return Error(StoreDown(ran))

    def _write_cancel(self, row: JobRow, version: int) -> TableError | None:
        cancelled = replace(row, state=JobState.CANCELLED)
        unchanged = VersionIs(version)
        done = self._table.transact(
            (
                Put(TABLE, job_key(row.job), job_to_row(cancelled), unchanged),
                Put(
                    TABLE,
                    open_key(row.job),
                    open_to_row(cancelled),
                    Always(),
                ),
            )
        )
        return None if done.is_ok() else done.error

    def _store_lots(
        self, job: str, manifest: ManifestReader, write: bool
    ) -> Result[tuple[ManifestLot, ...], StoreDown]:
        lots = []
        for number, lines in enumerate(manifest.lots()):
            key = manifest_key(job, number, lines.lot.digest)
            if write and not self._put(key, lines.data):
                return Error(StoreDown(Ran.NO))
            lots.append(lines.lot)
        return Ok(tuple(lots))

    def _put(self, key: str, data: bytes) -> bool:
        for attempt in range(1, MAX_STORE_ATTEMPTS + 1):
            done = self._objects.put(key, data)
            if done.is_ok() or isinstance(done.error, Exists):
                return True
            self._pause(attempt, 0.0)
        return False

    def _row(
        self,
        job: str,
        submission: Submission,
        manifest: ManifestReader,
        lots: tuple[ManifestLot, ...],
    ) -> JobRow:
        return JobRow(
            job=job,
            customer=submission.customer,
            key=submission.key,
            digest=manifest.digest,
            service=submission.service.name,
            due=submission.due,
            created=self._wall(),
            items=manifest.items,
            lots=lots,
        )

    def _accept(self, row: JobRow) -> Result[Accepted, SubmitError]:
        listing_key = f"{customer_prefix(row.customer)}{row.job}"
        ops: tuple[Op, ...] = (
            Put(TABLE, job_key(row.job), job_to_row(row), Absent()),
            Put(TABLE, open_key(row.job), open_to_row(row), Absent()),
            Put(TABLE, listing_key, {"created": row.created}, Always()),
        )
        ran = Ran.NO
        for attempt in range(1, MAX_STORE_ATTEMPTS + 1):
            done = self._table.transact(ops)
            if done.is_ok():
                return Ok(Accepted(row, created=True))
            if isinstance(done.error, Conflict):
                return self._resolve_conflict(row, done.error)
            ran = _ran_after(done.error, ran)
            self._pause(attempt, 0.0)
        return Error(StoreDown(ran))

    def _resolve_conflict(
        self, row: JobRow, conflict: Conflict
    ) -> Result[Accepted, SubmitError]:
        if conflict.found is None or conflict.index != 0:
            return Error(StoreDown(Ran.MAYBE))
        return _existing_job(job_from_row(conflict.found.row), row)


def _existing_job(known: JobRow, row: JobRow) -> Result[Accepted, SubmitError]:
    same_key = (known.customer, known.key) == (row.customer, row.key)
    if not same_key or known.digest != row.digest:
        reason = "the key names a job with another manifest or service"
        return Error(KeyTaken(reason))
    return Ok(Accepted(known, created=False))


def _already_ended(row: JobRow) -> Result[JobRow, CancelError]:
    if row.state is JobState.CANCELLED:
        return Ok(row)
    return Error(AlreadyDone())


def _ran_after(error: TableError, ran: Ran) -> Ran:
    maybe = getattr(error, "maybe_applied", False)
    return Ran.MAYBE if maybe else ran


def _store_down(error: ReadError | ObjectError) -> StoreDown:
    match error:
        case Throttled(retry_after_s=retry_after_s):
            return StoreDown(Ran.NO, retry_after_s)
        case Missing() | Exists():
            return StoreDown(Ran.NO)
        case _:
            return StoreDown(Ran.NO)


__all__ = [
    "Accepted",
    "AlreadyDone",
    "EmptyManifest",
    "JobManager",
    "KeyTaken",
    "NoSuchJob",
    "StoreDown",
    "Submission",
    "job_id",
]
