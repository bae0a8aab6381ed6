"""Stored form of jobs: rows, objects and their keys."""

from __future__ import annotations

from dataclasses import asdict
import enum
import json
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.items import ItemState, Outcome
from mulberrypass.policy.jobs.jobs import HeldLot, JobState, LotCounts, OpenJob
from mulberrypass.policy.jobs.lots import LotKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from mulberrypass.model.store import Row

TABLE = "jobs"
OPEN_PREFIX = "open/"
HELD_PREFIX = "held/"
EXPIRY_PREFIX = "expiry/"


class LotPhase(enum.StrEnum):
    """Lease state of a lot; a lot that was never leased has no row."""

    HELD = "held"
    FREE = "free"
    DONE = "done"


@value_class
class ManifestLot:
    """Items of a manifest that are stored in one object.

    :param first: number of the first item
    """

    digest: str
    first: int
    count: int


@value_class
class JobRow:
    """The row of an accepted job.

    :param due: Unix time in seconds
    :param ended: Unix time at which the job ended, or ``None``
    :param expires: Unix time from which its results aren't available
    """

    job: str
    customer: str
    key: str
    digest: str
    service: str
    due: float
    created: float
    items: int
    lots: tuple[ManifestLot, ...]
    state: JobState = JobState.RUNNING
    ended: float | None = None
    expires: float | None = None


@value_class
class Chunk:
    """Outcomes of one lot within one object.

    :param start: index of the lot's first line in the object
    """

    key: str
    start: int
    lines: int
    done: int
    failed: int
    indeterminate: int


@value_class
class LotRow:
    """The row of a lot that was leased at least once.

    :param nonce: id of the write that made the row
    :param returned: items whose intent was withdrawn before they ran
    :param returned_epoch: epoch in which they were withdrawn
    """

    epoch: int
    holder: str
    incarnation: int
    phase: LotPhase
    nonce: str
    chunks: tuple[Chunk, ...] = ()
    returned: tuple[int, ...] = ()
    returned_epoch: int = 0

    @property
    def counts(self) -> LotCounts:
        """Number of items by outcome."""
        return LotCounts(
            sum(chunk.done for chunk in self.chunks),
            sum(chunk.failed for chunk in self.chunks),
            sum(chunk.indeterminate for chunk in self.chunks),
        )


def job_key(job: str) -> str:
    """Return the key of a job's row."""
    return f"job/{job}"


def open_key(job: str) -> str:
    """Return the key of the row that lists an open job."""
    return f"{OPEN_PREFIX}{job}"


def customer_prefix(customer: str) -> str:
    """Return the prefix of the rows that list a customer's jobs."""
    return f"customer/{customer}/"


def lot_prefix(job: str) -> str:
    """Return the prefix of the rows of a job's lots."""
    return f"lot/{job}/"


def lot_key(key: LotKey) -> str:
    """Return the key of a lot's row."""
    return f"{lot_prefix(key.job)}{key.lot:06}"


def held_key(key: LotKey) -> str:
    """Return the key of the row that lists a held lot."""
    return f"{HELD_PREFIX}{key.job}/{key.lot:06}"


def intent_prefix(key: LotKey) -> str:
    """Return the prefix of the rows of a lot's intents."""
    return f"intent/{key.job}/{key.lot:06}/"


def intent_key(key: LotKey, epoch: int, sequence: int) -> str:
    """Return the key of a row of intents."""
    return f"{intent_prefix(key)}{epoch:06}/{sequence:06}"


def expiry_key(job: str, expires: float) -> str:
    """Return the key of the row that lists a job's expiry."""
    return f"{EXPIRY_PREFIX}{int(expires):012}/{job}"


def outcomes_key(job: str, nonce: str) -> str:
    """Return the key of the object with a job's outcomes in one flush."""
    return f"outcomes/{job}/{nonce}"


def manifest_key(job: str, lot: int, digest: str) -> str:
    """Return the key of the object with a lot's items."""
    return f"manifest/{job}/{lot:06}-{digest}"


def job_to_row(job: JobRow) -> dict[str, Any]:
    """Return the stored form of a job."""
    doc = asdict(job)
    doc["lots"] = [[lot.digest, lot.first, lot.count] for lot in job.lots]
    doc["state"] = job.state.value
    return doc


def job_from_row(row: Mapping[str, Any]) -> JobRow:
    """Parse the stored form of a job."""
    lots = tuple(ManifestLot(*lot) for lot in row["lots"])
    state = JobState(row["state"])
    return JobRow(**{**row, "lots": lots, "state": state})


def open_to_row(job: JobRow) -> dict[str, Any]:
    """Return the row that lists an open job."""
    return {
        "customer": job.customer,
        "service": job.service,
        "due": job.due,
        "created": job.created,
        "lots": len(job.lots),
        "cancelled": job.state is JobState.CANCELLED,
    }


def open_from_row(row: Row) -> OpenJob:
    """Parse the row that lists an open job."""
    return OpenJob(
        job=row.key.removeprefix(OPEN_PREFIX),
        version=row.version,
        **row.row,
    )


def lot_to_row(lot: LotRow) -> dict[str, Any]:
    """Return the stored form of a lot."""
    doc = asdict(lot)
    doc["phase"] = lot.phase.value
    return doc


def lot_from_row(row: Mapping[str, Any]) -> LotRow:
    """Parse the stored form of a lot."""
    return LotRow(
        **{
            **row,
            "phase": LotPhase(row["phase"]),
            "chunks": tuple(Chunk(**chunk) for chunk in row["chunks"]),
            "returned": tuple(row["returned"]),
        }
    )


def held_to_row(customer: str, lot: LotRow) -> dict[str, Any]:
    """Return the row that lists a held lot."""
    return {
        "customer": customer,
        "holder": lot.holder,
        "incarnation": lot.incarnation,
    }


def held_from_row(row: Row) -> HeldLot:
    """Parse the row that lists a held lot."""
    job, lot = row.key.removeprefix(HELD_PREFIX).split("/")
    return HeldLot(LotKey(job, int(lot)), **row.row)


def outcomes_to_lines(outcomes: Iterable[Outcome]) -> Iterator[bytes]:
    """Yield one JSON line for each outcome."""
    for outcome in outcomes:
        yield json.dumps(outcome_document(outcome)).encode()


def outcome_document(outcome: Outcome) -> dict[str, Any]:
    """Return an outcome as it is stored and shown to callers."""
    doc: dict[str, Any] = {
        "item": outcome.item,
        "state": outcome.state.value,
        "attempts": outcome.attempts,
    }
    if outcome.state is ItemState.DONE:
        doc["output"] = outcome.output
    if outcome.tokens:
        doc["tokens"] = outcome.tokens
    if outcome.error:
        doc["error"] = outcome.error
    return doc


def chunk_of(key: str, start: int, outcomes: tuple[Outcome, ...]) -> Chunk:
    """Return the chunk of a lot's outcomes within an object."""
    states = [outcome.state for outcome in outcomes]
    return Chunk(
        key,
        start,
        len(outcomes),
        states.count(ItemState.DONE),
        states.count(ItemState.FAILED),
        states.count(ItemState.INDETERMINATE),
    )


__all__ = [
    "Chunk",
    "EXPIRY_PREFIX",
    "HELD_PREFIX",
    "JobRow",
    "LotPhase",
    "LotRow",
    "ManifestLot",
    "OPEN_PREFIX",
    "TABLE",
    "chunk_of",
    "customer_prefix",
    "expiry_key",
    "held_from_row",
    "held_key",
    "held_to_row",
    "intent_key",
    "intent_prefix",
    "job_from_row",
    "job_key",
    "job_to_row",
    "lot_from_row",
    "lot_key",
    "lot_prefix",
    "lot_to_row",
    "manifest_key",
    "open_from_row",
    "open_key",
    "open_to_row",
    "outcome_document",
    "outcomes_key",
    "outcomes_to_lines",
]
