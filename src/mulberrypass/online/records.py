"""Durable records of accepted requests and their outcomes."""

from __future__ import annotations

from dataclasses import asdict, replace
import enum
import json
import time
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result
import xxhash

from mulberrypass.model.outcome import Ran
from mulberrypass.model.store import (
    Absent,
    Always,
    Conflict,
    Delete,
    Put,
    Row,
    VersionIs,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.online.call import Completed, Failed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.model.store import Table, TableError
    from mulberrypass.online.call import Call, Outcome

REQUEST_TABLE = "request"
PENDING_TABLE = "pending"
EXPIRY_TABLE = "request_expiry"
EXPIRY_BUCKET_S = 3_600
EXPIRY_BATCH_SIZE = 50


class RecordState(enum.StrEnum):
    """Progress of a recorded request."""

    ACCEPTED = "accepted"
    STARTED = "started"
    DONE = "done"


@value_class
class Record:
    """A recorded request.

    :param version: row version that the next write is conditional on
    :param holder: member that runs the request
    :param incarnation: incarnation of the holder
    :param deadline_at: Unix time in seconds
    :param keep_s: how long the outcome is kept
    """

    request_id: str
    customer: str
    service: str
    payload: Any
    max_tokens: int
    digest: str
    holder: str
    incarnation: int
    deadline_at: float
    keep_s: int
    state: RecordState = RecordState.ACCEPTED
    outcome: Outcome | None = None
    takeovers: int = 0
    version: int = 0


@value_class
class ExistingRecord:
    """The write conflicts with an existing record of the request."""

    record: Record


@value_class
class StoreFailed:
    """The platform failed to read or write the record.

    :param maybe_applied: whether the write may have taken effect
    """

    reason: str
    maybe_applied: bool


@value_class
class RecordMissing:
    """The record has been removed."""


RecordError = ExistingRecord | StoreFailed | RecordMissing


def payload_digest(service: str, payload: Any, max_tokens: int) -> str:
    """Return a digest that is equal for a resent request."""
    canonical = json.dumps([service, payload, max_tokens], sort_keys=True)
    return xxhash.xxh3_128_hexdigest(canonical.encode())


class Records:
    """Reads and writes records; safe on any thread."""

    def __init__(
        self,
        table: Table,
        member: str,
        incarnation: int,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._member = member
        self._incarnation = incarnation
        self._wall_clock = wall_clock

    def accept(
        self, call: Call, deadline_at: float
    ) -> Result[Record, RecordError]:
        """Store a new request; ``ExistingRecord`` if it is already stored."""
        record = Record(
            request_id=call.request_id,
            customer=call.customer.name,
            service=call.service.name,
            payload=call.payload,
            max_tokens=call.max_tokens,
            digest=payload_digest(
                call.service.name, call.payload, call.max_tokens
            ),
            holder=self._member,
            incarnation=self._incarnation,
            deadline_at=deadline_at,
            keep_s=call.service.result_ttl_s,
        )
        pending = Put(
            PENDING_TABLE, call.request_id, self._pending_row(), Absent()
        )
        return self._write(record, Absent(), pending)

    def start(self, record: Record) -> Result[Record, RecordError]:
        """Mark the request as started; from here on it may have run."""
        started = replace(record, state=RecordState.STARTED)
        return self._write(started, VersionIs(record.version))

    def finish(
        self, record: Record, outcome: Outcome
    ) -> Result[Record, RecordError]:
        """Store the outcome; ``ExistingRecord`` if the record has changed."""
        done = replace(record, state=RecordState.DONE, outcome=outcome)
        clear_pending = Delete(PENDING_TABLE, record.request_id, Always())
        kept_until = int(self._wall_clock()) + record.keep_s
        expiry = Put(
            EXPIRY_TABLE,
            _expiry_key(kept_until, record.request_id),
            {},
            Always(),
        )
        return self._write(
            done, VersionIs(record.version), clear_pending, expiry
        )

    def withdraw(self, record: Record) -> Result[None, RecordError]:
        """Remove the record of a request that did not run."""
        ops = (
            Delete(
                REQUEST_TABLE, record.request_id, VersionIs(record.version)
            ),
            Delete(PENDING_TABLE, record.request_id, Always()),
        )
        result = self._table.transact(ops)
        if result.is_ok():
            return Ok(None)
        return Error(_record_error(result.error))

    def take_over(self, record: Record) -> Result[Record, RecordError]:
        """Become the holder of a request whose holder was lost."""
        taken = replace(
            record,
            holder=self._member,
            incarnation=self._incarnation,
            takeovers=record.takeovers + 1,
        )
        pending = Put(
            PENDING_TABLE, record.request_id, self._pending_row(), Always()
        )
        return self._write(taken, VersionIs(record.version), pending)

    def read(self, request_id: str) -> Result[Record | None, StoreFailed]:
        """Read a record; ``None`` if there is none."""
        result = self._table.read(REQUEST_TABLE, request_id)
        if result.is_error():
            return Error(StoreFailed(str(result.error), False))
        row = result.ok
        return Ok(None if row is None else record_from(row))

    def holds(self, record: Record) -> bool:
        """Return whether this incarnation of this process is the holder."""
        return (
            record.holder == self._member
            and record.incarnation == self._incarnation
        )

    def pending(self) -> Iterator[tuple[str, str, int]]:
        """Yield id, holder and incarnation of unfinished requests.

        Ends early if the platform fails.
        """
        after: str | None = ""
        while after is not None:
            result = self._table.scan(PENDING_TABLE, "", after)
            if result.is_error():
                return
            for row in result.ok.rows:
                holder = str(row.row.get("holder", ""))
                yield row.key, holder, int(row.row.get("incarnation", 0))
            after = result.ok.next_after

    def remove_expired(self) -> int:
        """Remove outcomes whose retention has ended.

        :returns: number of removed outcomes; fewer if the platform fails
        """
        current_bucket = f"{int(self._wall_clock()) // EXPIRY_BUCKET_S:012d}"
        removed = 0
        while True:
            found = self._table.scan(EXPIRY_TABLE, "", "", EXPIRY_BATCH_SIZE)
            if found.is_error():
                return removed
            keys = [
                row.key for row in found.ok.rows if row.key < current_bucket
            ]
            if not keys or not self._remove(keys):
                return removed
            removed += len(keys)

    def _remove(self, keys: list[str]) -> bool:
        ops: list[Delete] = []
        for key in keys:
            request_id = key.partition("/")[2]
            ops.append(Delete(REQUEST_TABLE, request_id, Always()))
            ops.append(Delete(EXPIRY_TABLE, key, Always()))
        return self._table.transact(tuple(ops)).is_ok()

    def _pending_row(self) -> dict[str, Any]:
        return {"holder": self._member, "incarnation": self._incarnation}

    def _write(
        self,
        record: Record,
        condition: Absent | VersionIs,
        *more: Put | Delete,
    ) -> Result[Record, RecordError]:
        put = Put(
            REQUEST_TABLE, record.request_id, row_from(record), condition
        )
        result = self._table.transact((put, *more))
        if result.is_error():
            return Error(_record_error(result.error))
        return Ok(replace(record, version=result.ok.versions[0]))


def _expiry_key(kept_until: int, request_id: str) -> str:
    """Return a key that starts with the hour after the retention ends."""
    return f"{kept_until // EXPIRY_BUCKET_S + 1:012d}/{request_id}"


def row_from(record: Record) -> dict[str, Any]:
    """Return the stored form of a record."""
    row = asdict(record)
    del row["version"]
    row["state"] = record.state.value
    match record.outcome:
        case Completed():
            row["outcome"] = {"kind": "completed", **asdict(record.outcome)}
        case Failed():
            row["outcome"] = {"kind": "failed", **asdict(record.outcome)}
            row["outcome"]["ran"] = record.outcome.ran.value
        case None:
            row["outcome"] = None
    return row


def record_from(row: Row) -> Record:
    """Decode the stored form of a record."""
    stored = {k: v for k, v in row.row.items() if not k.startswith("_")}
    outcome = stored.pop("outcome")
    state = RecordState(stored.pop("state"))
    return Record(
        **stored,
        state=state,
        outcome=_outcome_from(outcome),
        version=row.version,
    )


def _outcome_from(stored: dict[str, Any] | None) -> Outcome | None:
    if stored is None:
        return None
    fields = {name: v for name, v in stored.items() if name != "kind"}
    if stored["kind"] == "completed":
        return Completed(**fields)
    return Failed(**fields | {"ran": Ran(fields["ran"])})


def _record_error(error: TableError) -> RecordError:
    match error:
        case Conflict(found=Row() as row) if "state" in row.row:
            return ExistingRecord(record_from(row))
        case Conflict(found=None):
            return RecordMissing()
        case Conflict():
            return StoreFailed("the row is not a record of a request", False)
        case _:
            maybe = getattr(error, "maybe_applied", False)
            return StoreFailed(str(error), maybe)


__all__ = [
    "EXPIRY_TABLE",
    "ExistingRecord",
    "PENDING_TABLE",
    "REQUEST_TABLE",
    "Record",
    "RecordError",
    "RecordMissing",
    "RecordState",
    "Records",
    "StoreFailed",
    "payload_digest",
    "record_from",
    "row_from",
]
