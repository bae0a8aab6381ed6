"""Durable records of accepted requests and of their outcomes."""

from __future__ import annotations

from dataclasses import asdict, dataclass, replace
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
from mulberrypass.online.call import Completed, Failed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.model.store import Table, TableError
    from mulberrypass.online.call import Call, Outcome

REQUESTS = "request"
PENDING = "pending"
EXPIRY = "request_expiry"
EXPIRY_BUCKET_S = 3_600
REMOVED_AT_ONCE = 50


class RecordState(enum.StrEnum):
    """How far a recorded request has come."""

    ACCEPTED = "accepted"
    STARTED = "started"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Record:
    """One recorded request.

    :param version: the row's version that the next write depends on
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


@dataclass(frozen=True, slots=True)
class ExistingRecord:
    """The request was accepted before; its record stands."""

    record: Record


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The platform could not take or give the record.

    :param maybe_applied: whether the write may have taken effect
    """

    reason: str
    maybe_applied: bool


@dataclass(frozen=True, slots=True)
class RecordMissing:
    """There is no record any more."""


RecordError = ExistingRecord | StoreFailed | RecordMissing


def payload_digest(service: str, payload: Any, max_tokens: int) -> str:
    """Digest what makes a resent request the same request."""
    canonical = json.dumps([service, payload, max_tokens], sort_keys=True)
    return xxhash.xxh3_128_hexdigest(canonical.encode())


class Records:
    """Reads and writes records; safe on any thread."""

    def __init__(
        self,
        table: Table,
        member: str,
        incarnation: int,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._member = member
        self._incarnation = incarnation
        self._wall = wall

    def accept(
        self, call: Call, deadline_at: float
    ) -> Result[Record, RecordError]:
        """Make a request durable; ``Standing`` where it is already."""
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
        pending = Put(PENDING, call.request_id, self._claim(), Absent())
        return self._write(record, Absent(), pending)

    def start(self, record: Record) -> Result[Record, RecordError]:
        """Note that the request may run from now on."""
        started = replace(record, state=RecordState.STARTED)
        return self._write(started, VersionIs(record.version))

    def finish(
        self, record: Record, outcome: Outcome
    ) -> Result[Record, RecordError]:
        """Commit the outcome; ``Standing`` where another one stands."""
        done = replace(record, state=RecordState.DONE, outcome=outcome)
        settled = Delete(PENDING, record.request_id, Always())
        until = int(self._wall()) + record.keep_s
        kept = Put(EXPIRY, _expiry_key(until, record.request_id), {}, Always())
        return self._write(done, VersionIs(record.version), settled, kept)

    def withdraw(self, record: Record) -> Result[None, RecordError]:
        """Remove the record of a request that did not run."""
        ops = (
            Delete(REQUESTS, record.request_id, VersionIs(record.version)),
            Delete(PENDING, record.request_id, Always()),
        )
        result = self._table.transact(ops)
        if result.is_ok():
            return Ok(None)
        return Error(_record_error(result.error))

    def take_over(self, record: Record) -> Result[Record, RecordError]:
        """Become the holder of a request whose holder is lost."""
        taken = replace(
            record,
            holder=self._member,
            incarnation=self._incarnation,
            takeovers=record.takeovers + 1,
        )
        pending = Put(PENDING, record.request_id, self._claim(), Always())
        return self._write(taken, VersionIs(record.version), pending)

    def read(self, request_id: str) -> Result[Record | None, StoreFailed]:
        """Read one record."""
        result = self._table.read(REQUESTS, request_id)
        if result.is_error():
            return Error(StoreFailed(str(result.error), False))
        row = result.ok
        return Ok(None if row is None else record_from(row))

    def holds(self, record: Record) -> bool:
        """Say whether this process, as started now, holds a request."""
        return (
            record.holder == self._member
            and record.incarnation == self._incarnation
        )

    def pending(self) -> Iterator[tuple[str, str, int]]:
        """Give id, holder and incarnation of requests not yet done.

        Ends early where the platform fails.
        """
        after: str | None = ""
        while after is not None:
            result = self._table.scan(PENDING, "", after)
            if result.is_error():
                return
            for row in result.ok.rows:
                holder = str(row.row.get("holder", ""))
                yield row.key, holder, int(row.row.get("incarnation", 0))
            after = result.ok.next_after

    def remove_expired(self) -> int:
        """Remove outcomes that were kept for their time.

        :returns: how many were removed; fewer where the platform fails
        """
        ended = f"{int(self._wall()) // EXPIRY_BUCKET_S:012d}"
        removed = 0
        while True:
            found = self._table.scan(EXPIRY, "", "", REMOVED_AT_ONCE)
            if found.is_error():
                return removed
            keys = [row.key for row in found.ok.rows if row.key < ended]
            if not keys or not self._remove(keys):
                return removed
            removed += len(keys)

    def _remove(self, keys: list[str]) -> bool:
        ops: list[Delete] = []
        for key in keys:
            request_id = key.partition("/")[2]
            ops.append(Delete(REQUESTS, request_id, Always()))
            ops.append(Delete(EXPIRY, key, Always()))
        return self._table.transact(tuple(ops)).is_ok()

    def _claim(self) -> dict[str, Any]:
        return {"holder": self._member, "incarnation": self._incarnation}

    def _write(
        self,
        record: Record,
        condition: Absent | VersionIs,
        *more: Put | Delete,
    ) -> Result[Record, RecordError]:
        put = Put(REQUESTS, record.request_id, row_from(record), condition)
        result = self._table.transact((put, *more))
        if result.is_error():
            return Error(_record_error(result.error))
        return Ok(replace(record, version=result.ok.versions[0]))


def _expiry_key(until: int, request_id: str) -> str:
    """Name the hour after which an outcome is no longer kept."""
    return f"{until // EXPIRY_BUCKET_S + 1:012d}/{request_id}"


def row_from(record: Record) -> dict[str, Any]:
    """Give the stored form of a record."""
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
    """Read the stored form of a record."""
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
            return StoreFailed("another record stands there", False)
        case _:
            maybe = getattr(error, "maybe_applied", False)
            return StoreFailed(str(error), maybe)


__all__ = [
    "EXPIRY",
    "RecordMissing",
    "PENDING",
    "REQUESTS",
    "Record",
    "RecordError",
    "RecordState",
    "Records",
    "ExistingRecord",
    "StoreFailed",
    "payload_digest",
    "record_from",
    "row_from",
]
