"""Encodes batch jobs as rows: heads, manifests and results.

Manifests and results are compressed and split over as many rows as needed.
"""

from __future__ import annotations

import base64
import json
import math
from typing import TYPE_CHECKING, Annotated, TypeVar
import zlib

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    RootModel,
    ValidationError,
)

from mulberrypass.model.batch_jobs import (
    BatchItem,
    ItemOutcome,
    ItemState,
    JobHead,
)
from mulberrypass.storage.rows import RowKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from mulberrypass.storage.rows import StoredRow

HEADS = "batch_heads"
ITEMS = "batch_items"
RESULTS = "batch_results"
GATE_PREFIX = "!gate/"
# The store limits a row to 65,536 bytes.
MAX_PIECE_BYTES = 49_152
COMPRESSION_LEVEL = 1
# Characters of an output that are encoded at once.
PART_CHARS = 65_536
POSITION_DIGITS = 5
PIECE_DIGITS = 3
# The character after "/": ends the range of keys that start with "job/".
AFTER_SLASH = "0"
MAX_DIGITS = 9
# Several times the largest manifest that callers may hand in.
MAX_DOCUMENT_BYTES = 67_108_864
MAX_COUNT = 2**53
MAX_S = 1e12

Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, Field(ge=-MAX_S, le=MAX_S)]


class CorruptRowError(Exception):
    """Stored rows are incomplete or can't be decoded."""


def _decode_base64(text: object) -> bytes:
    if not isinstance(text, str):
        raise ValueError("not base64")
    return base64.b64decode(text, validate=True)


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)


D = TypeVar("D", bound=BaseModel)


class _Item(_Document):
    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: Annotated[bytes, BeforeValidator(_decode_base64)]
    tokens: Count


class _Items(RootModel[tuple[_Item, ...]]):
    pass


class _Outcome(_Document):
    index: Count
    id: str
    state: ItemState
    output: str


class _Head(_Document):
    host: str
    route: str
    first_s: Seconds
    due_s: Seconds
    retention_s: Seconds
    tokens: tuple[Count, ...]
    done: frozenset[Count]
    results: Count
    ended: bool
    holder: str
    busy: frozenset[Count]
    busy_by: str
    busy_for_s: Seconds = 0.0
    busy_until: Seconds
    customer: str = ""
    # Versions before this field know the route by its name only.
    prefix: str = ""


def head_key(host: str, job_id: str) -> RowKey:
    """Return the key of a job's head."""
    return RowKey(HEADS, host, job_id)


def gate_key(host: str, route: str) -> RowKey:
    """Return the key of the row that serializes a route's acceptances.

    Each acceptance writes it on condition of its version.
    """
    return RowKey(HEADS, host, GATE_PREFIX + route)


def encode_head(head: JobHead) -> bytes:
    """Encode a head."""
    doc = {
        "host": head.host,
        "route": head.route,
        "first_s": head.first_s,
        "due_s": head.due_s,
        "retention_s": head.retention_s,
        "tokens": head.tokens,
        "done": sorted(head.done),
        "results": head.results,
        "ended": head.ended,
        "holder": head.holder,
        "busy": sorted(head.busy),
        "busy_by": head.busy_by,
        "busy_for_s": head.busy_for_s,
        "busy_until": head.busy_until,
    }
    if head.customer:
        doc["customer"] = head.customer
    if head.prefix:
        doc["prefix"] = head.prefix
    return json.dumps(doc, separators=(",", ":")).encode()


def decode_head(row: StoredRow) -> JobHead:
    """Decode a head.

    :raises CorruptRowError: if the row isn't a valid head
    """
    doc = _validate(_Head, row.value, str(row.at))
    if max(doc.done | doc.busy, default=-1) >= len(doc.tokens):
        raise CorruptRowError(f"{row.at}: an index without an item")
    return JobHead(
        job_id=row.at.key,
        host=doc.host,
        route=doc.route,
        first_s=doc.first_s,
        due_s=doc.due_s,
        retention_s=doc.retention_s,
        tokens=doc.tokens,
        done=doc.done,
        results=doc.results,
        ended=doc.ended,
        holder=doc.holder,
        busy=doc.busy,
        busy_by=doc.busy_by,
        busy_for_s=doc.busy_for_s,
        busy_until=doc.busy_until,
        customer=doc.customer,
        prefix=doc.prefix,
    )


def item_rows(
    host: str, job_id: str, items: Iterable[BatchItem]
) -> list[tuple[RowKey, bytes]]:
    """Encode a manifest as rows."""
    docs = [
        {
            "id": item.item_id,
            "path": item.path,
            "headers": item.headers,
            "body": base64.b64encode(item.body).decode(),
            "tokens": item.tokens,
        }
        for item in items
    ]
    return _split(ITEMS, host, f"{job_id}/", _compress((_dump(docs),)))


def decode_items(rows: Iterable[StoredRow]) -> tuple[BatchItem, ...]:
    """Decode a manifest from all its rows.

    :raises CorruptRowError: if a row is missing or corrupt
    """
    docs = _join(_Items, list(rows))
    return tuple(
        BatchItem(doc.id, doc.path, doc.headers, doc.body, doc.tokens)
        for doc in docs.root
    )


def result_rows(
    host: str, job_id: str, position: int, outcome: ItemOutcome
) -> list[tuple[RowKey, bytes]]:
    """Encode the result at a position as rows."""
    doc = {
        "index": outcome.index,
        "id": outcome.item_id,
        "state": outcome.state.value,
    }
    prefix = f"{job_id}/{position:0{POSITION_DIGITS}}."
    return _split(RESULTS, host, prefix, _compress(_parts(doc, outcome)))


def decode_results(
    rows: Iterable[StoredRow], position: int, max_chars: float = math.inf
) -> list[ItemOutcome]:
    """Decode results in order from a position up to the first incomplete one.

    A row may hold a thousand times as many characters as it has bytes.

    :param max_chars: of all outputs; the one that exceeds it is the last
    :raises CorruptRowError: if a row is corrupt
    """
    by_position: dict[int, list[StoredRow]] = {}
    for row in rows:
        digits = row.at.key.rpartition("/")[2].partition(".")[0]
        by_position.setdefault(_number(digits), []).append(row)
    outcomes = []
    chars = 0
    while position in by_position and chars <= max_chars:
        pieces = by_position[position]
        if not _is_whole(pieces):
            break
        outcome = _decode_outcome(pieces)
        outcomes.append(outcome)
        chars += len(outcome.output)
        position += 1
    return outcomes


def result_range(job_id: str, position: int) -> tuple[str, str]:
    """Return the key range of the results from a position on."""
    first = f"{job_id}/{position:0{POSITION_DIGITS}}."
    return first, job_id + AFTER_SLASH


def item_range(job_id: str) -> tuple[str, str]:
    """Return the key range of a manifest."""
    return f"{job_id}/", job_id + AFTER_SLASH


def _decode_outcome(pieces: list[StoredRow]) -> ItemOutcome:
    doc = _join(_Outcome, pieces)
    return ItemOutcome(doc.index, doc.id, doc.state, doc.output)


def _parts(doc: dict[str, object], outcome: ItemOutcome) -> Iterator[str]:
    """Yield the JSON of a document and its output, which may be large.

    JSON takes up to twelve bytes a character, and each copy as much.
    """
    yield _dump(doc)[:-1] + ',"output":"'
    for first in range(0, len(outcome.output), PART_CHARS):
        yield _dump(outcome.output[first : first + PART_CHARS])[1:-1]
    yield '"}'


def _dump(doc: object) -> str:
    return json.dumps(doc, separators=(",", ":"))


def _compress(parts: Iterable[str]) -> bytes:
    deflater = zlib.compressobj(COMPRESSION_LEVEL)
    data = b"".join(deflater.compress(part.encode()) for part in parts)
    return data + deflater.flush()


def _split(
    table: str, part: str, prefix: str, data: bytes
) -> list[tuple[RowKey, bytes]]:
    """Split a document into rows whose keys end in "number-count"."""
    offsets = range(0, len(data), MAX_PIECE_BYTES)
    count = len(offsets)
    return [
        (
            RowKey(
                table,
                part,
                f"{prefix}{number:0{PIECE_DIGITS}}-{count:0{PIECE_DIGITS}}",
            ),
            data[offset : offset + MAX_PIECE_BYTES],
        )
        for number, offset in enumerate(offsets)
    ]


def _validate(model: type[D], data: bytes, what: str) -> D:
    """Decode a JSON document.

    :param what: named in errors
    :raises CorruptRowError: if it isn't valid
    """
    try:
        return model.model_validate_json(data)
    except ValidationError as exc:
        error = exc.errors()[0]
        field = ".".join(map(str, error["loc"])) or "not JSON"
        raise CorruptRowError(f"{what}: {field}: {error['msg']}")


def _number(digits: str) -> int:
    """Return the number in a key; -1 if it isn't one."""
    valid = digits.isascii() and digits.isdigit()
    return int(digits) if valid and len(digits) <= MAX_DIGITS else -1


def _is_whole(rows: list[StoredRow]) -> bool:
    return len(rows) == _number(rows[0].at.key.rpartition("-")[2])


def _join(model: type[D], rows: list[StoredRow]) -> D:
    if not rows or not _is_whole(rows):
        raise CorruptRowError("rows are missing")
    ordered = sorted(rows, key=lambda row: row.at.key)
    try:
        data = _inflate(b"".join(row.value for row in ordered))
    except zlib.error as exc:
        raise CorruptRowError(f"{ordered[0].at}: {exc!r}")
    return _validate(model, data, str(ordered[0].at))


def _inflate(data: bytes) -> bytes:
    """Decompress a document.

    :raises zlib.error: if it is damaged or larger than any that is written
    """
    inflater = zlib.decompressobj()
    found = inflater.decompress(data, MAX_DOCUMENT_BYTES)
    if not inflater.eof:
        raise zlib.error("incomplete or too large")
    return found


__all__ = [
    "CorruptRowError",
    "GATE_PREFIX",
    "HEADS",
    "ITEMS",
    "RESULTS",
    "decode_head",
    "decode_items",
    "decode_results",
    "encode_head",
    "gate_key",
    "head_key",
    "item_range",
    "item_rows",
    "result_range",
    "result_rows",
]
