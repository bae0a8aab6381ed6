"""Stores batch jobs; each change is one transaction."""

from __future__ import annotations

from dataclasses import replace
import math
import time
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.batches import codec
from mulberrypass.batches.reading import (
    read_head,
    readable_heads,
    unreadable,
)
from mulberrypass.model.batch_jobs import (
    Accepted,
    ItemOutcome,
    ItemState,
    JobHead,
    JobIdTaken,
    NoSuchJob,
    OverQuota,
    ResultPage,
    StoreUnavailable,
    VersionedHead,
)
from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.policy.access import may_see_job
from mulberrypass.policy.batches import heads as policy
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.rows import (
    Expected,
    RowsConflict,
    Transaction,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.model.batch_jobs import BatchItem, NewJob
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.storage.rows import (
        ReadFailure,
        RowKey,
        RowsError,
        RowStore,
        StoredRow,
    )

LOG = get_logger(__name__)
# The store limits a transaction to 1 MB, and base64 adds a third.
MAX_TRANSACTION_BYTES = 600_000
MAX_TRANSACTION_ROWS = 90
# Bytes of a character in JSON: two escapes of six.
MAX_JSON_BYTES = 12
MAX_ATTEMPTS = 12
MAX_UNAVAILABLE = 3
UNAVAILABLE_RETRY_S = 0.05
UNREADABLE_HEAD = "its head can't be read"


class BatchStore:
    """Reads and changes batch jobs. Thread-safe."""

    def __init__(
        self,
        rows: RowStore,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._rows = rows
        self._clock = clock
        self._sleep = sleep

    def accept(
        self, job: NewJob, route: RelayRoute, holder: str
    ) -> Result[Accepted, OverQuota | JobIdTaken | StoreUnavailable]:
        """Store a job, unless it exceeds the quota on its route.

        Every acceptance writes the gate row of its route on condition of
        the version read, so that the quota can't be exceeded by jobs that
        are accepted at the same time.

        :param holder: member that runs the job's items
        """
        maybe_done = False
        for _ in range(MAX_ATTEMPTS):
            scanned = self._scan(codec.HEADS, job.host)
            if scanned.is_error():
                return Error(_store_unavailable(scanned.error, maybe_done))
            rows = scanned.ok
            heads = readable_heads(rows)
            owners = [h.customer for h in heads if h.job_id == job.job_id]
            if any(not may_see_job(name, job.customer) for name in owners):
                return Error(JobIdTaken())
            if owners:
                return Ok(Accepted(job.job_id, again=True))
            if any(row.at.key == job.job_id for row in rows):
                return Error(StoreUnavailable(UNREADABLE_HEAD, maybe_done))
            waiting = policy.waiting_tokens(
                heads, route.name, job.customer, route.prefix
            )
            if not policy.within_quota(
                waiting, job.tokens, route.quota_tokens
            ):
                # An earlier write may still take effect: don't refuse.
                if maybe_done:
                    return Error(StoreUnavailable("over quota", True))
                return Error(OverQuota(waiting))
            result = self._write_new(job, route, holder, rows)
            if result.is_ok():
                return Ok(Accepted(job.job_id, head=result.ok))
            match result.error:
                case RowsConflict():
                    continue
                case Unavailable(reason=reason, maybe_applied=maybe):
                    maybe_done = maybe_done or maybe
                    LOG.warning("acceptance lost", id=job.job_id, why=reason)
                    self._sleep(UNAVAILABLE_RETRY_S)
                case Throttled(retry_after_s=retry_after_s):
                    self._sleep(retry_after_s)
        return Error(StoreUnavailable("too many conflicts", maybe_done))

    def read(
        self, host: str, job_id: str
    ) -> Result[VersionedHead, NoSuchJob | StoreUnavailable]:
        """Read a job's head."""
        scanned = self._scan(codec.HEADS, host, job_id, job_id + "\0")
        if scanned.is_error():
            return Error(_store_unavailable(scanned.error))
        if not scanned.ok:
            return Error(NoSuchJob())
        return read_head(scanned.ok[0])

    def results(
        self,
        host: str,
        job_id: str,
        position: int,
        total: int | None,
        max_chars: float = math.inf,
    ) -> Result[ResultPage, NoSuchJob | StoreUnavailable]:
        """Read the results from a position on.

        :param total: number of items of the job, ``None`` if unknown
        :param max_chars: of all outputs; the one that exceeds it is the last
        """
        if total is None:
            read = self.read(host, job_id)
            if read.is_error():
                return Error(read.error)
            total = read.ok.head.total
            if position >= read.ok.head.results:
                return Ok(ResultPage(total, ()))
        first, end = codec.result_range(job_id, position)
        paged = self._rows.scan(codec.RESULTS, host, first, end)
        if paged.is_error():
            return Error(_store_unavailable(paged.error))
        try:
            outcomes = codec.decode_results(paged.ok.rows, position, max_chars)
        except codec.CorruptRowError as exc:
            return Error(unreadable(exc))
        return Ok(ResultPage(total, tuple(outcomes)))

    def items(
        self, host: str, job_id: str
    ) -> Result[tuple[BatchItem, ...], NoSuchJob | StoreUnavailable]:
        """Read a job's manifest."""
        scanned = self._scan(codec.ITEMS, host, *codec.item_range(job_id))
        if scanned.is_error():
            return Error(_store_unavailable(scanned.error))
        if not scanned.ok:
            return Error(NoSuchJob())
        try:
            return Ok(codec.decode_items(scanned.ok))
        except codec.CorruptRowError as exc:
            return Error(unreadable(exc))

    def end(
        self, host: str, job_id: str
    ) -> Result[VersionedHead, NoSuchJob | StoreUnavailable]:
        """End a job at its caller's request; its results so far remain."""
        return self._change(
            host,
            job_id,
            lambda head: (
                None if head.ended else (replace(head, ended=True), ())
            ),
        )

    def record_outcomes(
        self,
        known: VersionedHead | None,
        host: str,
        job_id: str,
        outcomes: tuple[ItemOutcome, ...],
    ) -> Result[VersionedHead, NoSuchJob | StoreUnavailable]:
        """Append new outcomes to a job's results.

        :param known: the head as last read, which saves a read
        """

        def change(
            head: JobHead,
        ) -> tuple[JobHead, tuple[ItemOutcome, ...]] | None:
            _, unlisted = policy.record_outcomes(head, outcomes)
            fitting = _fitting(unlisted)
            changed, listed = policy.record_outcomes(head, fitting)
            return (changed, listed) if listed else None

        while True:
            result = self._change(host, job_id, change, known)
            if result.is_error():
                return result
            known = result.ok
            if not policy.record_outcomes(known.head, outcomes)[1]:
                return result

    def replace_head(
        self,
        host: str,
        job_id: str,
        change: Callable[[JobHead], JobHead | None],
    ) -> Result[VersionedHead, NoSuchJob | StoreUnavailable]:
        """Change a head.

        :param change: returns the new head, ``None`` for no change
        """

        def head_only(
            head: JobHead,
        ) -> tuple[JobHead, tuple[ItemOutcome, ...]] | None:
            changed = change(head)
            return None if changed is None else (changed, ())

        return self._change(host, job_id, head_only)

    def _change(
        self,
        host: str,
        job_id: str,
        change: Callable[
            [JobHead], tuple[JobHead, tuple[ItemOutcome, ...]] | None
        ],
        known: VersionedHead | None = None,
    ) -> Result[VersionedHead, NoSuchJob | StoreUnavailable]:
        """Change a head and append results, retrying after conflicts.

        The write is conditional on the head's version, so that it takes
        effect at most once even if a response is lost or a write is late.
        """
        failures = 0
        maybe_done = False
        for _ in range(MAX_ATTEMPTS):
            if known is None:
                read = self.read(host, job_id)
                if read.is_error():
                    return Error(_with_maybe_done(read.error, maybe_done))
                known = read.ok
            head = known.head
            changed = change(head)
            if changed is None:
                return Ok(known)
            result = self._write_change(known, *changed)
            if result.is_ok():
                return Ok(VersionedHead(changed[0], result.ok))
            match result.error:
                case RowsConflict(found=found):
                    known = _conflicting_head(found)
                    continue
                case Unavailable(reason=reason, maybe_applied=maybe):
                    known = None
                    failures += 1
                    maybe_done = maybe_done or maybe
                    LOG.warning("change of a job lost", id=job_id, why=reason)
                    if failures >= MAX_UNAVAILABLE:
                        return Error(StoreUnavailable(reason, maybe_done))
                    self._sleep(UNAVAILABLE_RETRY_S)
                case Throttled(retry_after_s=retry_after_s):
                    self._sleep(retry_after_s)
        return Error(StoreUnavailable("too many conflicts", maybe_done))

    def _write_change(
        self,
        known: VersionedHead,
        head: JobHead,
        listed: tuple[ItemOutcome, ...],
    ) -> Result[int, RowsError]:
        row_key = codec.head_key(head.host, head.job_id)
        puts = [(row_key, codec.encode_head(head))]
        for offset, outcome in enumerate(listed):
            position = known.head.results + offset
            puts += codec.result_rows(
                head.host, head.job_id, position, outcome
            )
        expected = (Expected(row_key, known.version),)
        return self._rows.transact(Transaction(expected, tuple(puts)))

    def _write_new(
        self,
        job: NewJob,
        route: RelayRoute,
        holder: str,
        rows: tuple[StoredRow, ...],
    ) -> Result[VersionedHead, RowsError]:
        """Write the head, manifest and gate row of a new job.

        The first pieces of a manifest that is too large for one transaction
        are written before; without a head they have no effect.
        """
        head = JobHead(
            job_id=job.job_id,
            host=job.host,
            route=route.name,
            first_s=self._clock(),
            due_s=route.due_s,
            retention_s=route.retention_s,
            tokens=tuple(item.tokens for item in job.items),
            holder=holder,
            customer=job.customer or "",
            prefix=route.prefix,
        )
        pieces = codec.item_rows(job.host, job.job_id, job.items)
        *before, last = _split(pieces)
        for puts in before:
            result = self._rows.transact(Transaction(puts=tuple(puts)))
            if result.is_error():
                return Error(_mark_not_applied(result.error))
        gate = codec.gate_key(job.host, route.name)
        version = next((r.version for r in rows if r.at == gate), 0)
        row_key = codec.head_key(job.host, job.job_id)
        written = self._rows.transact(
            Transaction(
                expected=(Expected(row_key, 0), Expected(gate, version)),
                puts=(
                    (row_key, codec.encode_head(head)),
                    (gate, job.job_id.encode()),
                    *last,
                ),
            )
        )
        return written.map(lambda found: VersionedHead(head, found))

    def _scan(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[tuple[StoredRow, ...], ReadFailure]:
        """Read all rows of a key range, page by page."""
        found: list[StoredRow] = []
        while True:
            paged = self._rows.scan(table, part, first, end)
            if paged.is_error():
                return Error(paged.error)
            found.extend(paged.ok.rows)
            if not paged.ok.more or not paged.ok.rows:
                return Ok(tuple(found))
            first = paged.ok.rows[-1].at.key + "\0"


def _split(
    pieces: list[tuple[RowKey, bytes]],
) -> list[list[tuple[RowKey, bytes]]]:
    """Split rows into batches that each fit one transaction."""
    batches: list[list[tuple[RowKey, bytes]]] = [[]]
    size = 0
    for piece in pieces:
        if (
            size + len(piece[1]) > MAX_TRANSACTION_BYTES
            or len(batches[-1]) >= MAX_TRANSACTION_ROWS
        ):
            batches.append([])
            size = 0
        batches[-1].append(piece)
        size += len(piece[1])
    return batches


def _fitting(outcomes: tuple[ItemOutcome, ...]) -> tuple[ItemOutcome, ...]:
    """Return the leading outcomes that fit one transaction, at least one.

    An item whose output doesn't fit one is given up: it could never be
    listed, nor any result after it.
    """
    chars = sum(len(outcome.output) for outcome in outcomes)
    if chars * MAX_JSON_BYTES <= MAX_TRANSACTION_BYTES // 2:
        return outcomes
    fitting: list[ItemOutcome] = []
    size = count = 0
    for outcome in outcomes:
        rows = codec.result_rows("", "", 0, outcome)
        size += sum(len(value) for _, value in rows)
        count += len(rows)
        fits = size <= MAX_TRANSACTION_BYTES and count <= MAX_TRANSACTION_ROWS
        if not fits and fitting:
            break
        if not fits:
            LOG.warning("output too large to list", item=outcome.item_id)
            state = ItemState.ABANDONED
            return (replace(outcome, state=state, output=""),)
        fitting.append(outcome)
    return tuple(fitting)


def _conflicting_head(found: tuple[StoredRow, ...]) -> VersionedHead | None:
    for row in found:
        if row.at.table == codec.HEADS and row.version:
            read = read_head(row)
            return read.ok if read.is_ok() else None
    return None


def _store_unavailable(
    error: ReadFailure, maybe_done: bool = False
) -> StoreUnavailable:
    match error:
        case Unavailable(reason=reason):
            return StoreUnavailable(reason, maybe_done)
        case Throttled():
            return StoreUnavailable("over the rate", maybe_done)


def _with_maybe_done(
    error: NoSuchJob | StoreUnavailable, maybe_done: bool
) -> NoSuchJob | StoreUnavailable:
    match error:
        case StoreUnavailable(reason=reason):
            return StoreUnavailable(reason, maybe_done)
        case NoSuchJob():
            return error


def _mark_not_applied(error: RowsError) -> RowsError:
    """Mark a failed write of pieces, which have no effect yet, as certain."""
    match error:
        case Unavailable(reason=reason):
            return Unavailable(reason, maybe_applied=False)
        case _:
            return error


__all__ = ["BatchStore"]
