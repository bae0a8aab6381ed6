"""Rows of batch jobs: heads, manifests in pieces, results in pieces."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any
import zlib

from mulberrypass.model.batch_jobs import (
    BatchItem,
    ItemOutcome,
    ItemState,
    JobHead,
)
from mulberrypass.storage.rows import RowKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.storage.rows import StoredRow

HEADS = "batch_heads"
ITEMS = "batch_items"
RESULTS = "batch_results"
GATE_PREFIX = "!gate/"
# A row takes at most 65,536 bytes.
PIECE_BYTES = 49_152
LEVEL = 1
POSITION_DIGITS = 5
PIECE_DIGITS = 3
AFTER_SLASH = "0"


class DamagedError(Exception):
    """A row does not hold what was written."""


def head_key(host: str, job_id: str) -> RowKey:
    """Give the key of a job's head."""
    return RowKey(HEADS, host, job_id)


def gate_key(host: str, route: str) -> RowKey:
    """Give the key of the row that lets acceptances pass one by one."""
    return RowKey(HEADS, host, GATE_PREFIX + route)


def encode_head(head: JobHead) -> bytes:
    """Give the bytes of a head."""
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
        "busy_until": head.busy_until,
    }
    return json.dumps(doc, separators=(",", ":")).encode()


def decode_head(row: StoredRow) -> JobHead:
    """Read a head.

    :raises DamagedError: where it is none
    """
    try:
        doc = json.loads(row.value)
        return JobHead(
            job_id=row.at.key,
            host=str(doc["host"]),
            route=str(doc["route"]),
            first_s=float(doc["first_s"]),
            due_s=float(doc["due_s"]),
            retention_s=float(doc["retention_s"]),
            tokens=tuple(map(int, doc["tokens"])),
            done=frozenset(map(int, doc["done"])),
            results=int(doc["results"]),
            ended=bool(doc["ended"]),
            holder=str(doc["holder"]),
            busy=frozenset(map(int, doc["busy"])),
            busy_by=str(doc["busy_by"]),
            busy_until=float(doc["busy_until"]),
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise DamagedError(f"{row.at}: {exc!r}")


def item_rows(
    host: str, job_id: str, items: Iterable[BatchItem]
) -> list[tuple[RowKey, bytes]]:
    """Give the rows of a manifest."""
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
    return _pieces(ITEMS, host, f"{job_id}/", docs)


def decode_items(rows: Iterable[StoredRow]) -> tuple[BatchItem, ...]:
    """Read a manifest from all its rows.

    :raises DamagedError: where a row is missing or damaged
    """
    docs = _join([row for row in rows])
    try:
        return tuple(
            BatchItem(
                str(doc["id"]),
                str(doc["path"]),
                tuple((str(k), str(v)) for k, v in doc["headers"]),
                base64.b64decode(doc["body"], validate=True),
                int(doc["tokens"]),
            )
            for doc in docs
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise DamagedError(f"manifest: {exc!r}")


def result_rows(
    host: str, job_id: str, position: int, outcome: ItemOutcome
) -> list[tuple[RowKey, bytes]]:
    """Give the rows of one result."""
    doc = {
        "index": outcome.index,
        "id": outcome.item_id,
        "state": outcome.state.value,
        "output": outcome.output,
    }
    prefix = f"{job_id}/{position:0{POSITION_DIGITS}}."
    return _pieces(RESULTS, host, prefix, doc)


def decode_results(
    rows: Iterable[StoredRow], position: int
) -> list[ItemOutcome]:
    """Read the results that are whole, in order from a position.

    :raises DamagedError: where a row is damaged
    """
    by_position: dict[int, list[StoredRow]] = {}
    for row in rows:
        place = row.at.key.rpartition("/")[2].partition(".")[0]
        by_position.setdefault(int(place), []).append(row)
    outcomes = []
    while position in by_position:
        pieces = by_position[position]
        if not _is_whole(pieces):
            break
        outcomes.append(_outcome(_join(pieces)))
        position += 1
    return outcomes


def result_range(job_id: str, position: int) -> tuple[str, str]:
    """Give the keys between which results from a position on lie."""
    first = f"{job_id}/{position:0{POSITION_DIGITS}}."
    return first, job_id + AFTER_SLASH


def item_range(job_id: str) -> tuple[str, str]:
    """Give the keys between which a manifest lies."""
    return f"{job_id}/", job_id + AFTER_SLASH


def _outcome(doc: Any) -> ItemOutcome:
    try:
        return ItemOutcome(
            int(doc["index"]),
            str(doc["id"]),
            ItemState(doc["state"]),
            str(doc["output"]),
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise DamagedError(f"result: {exc!r}")


def _pieces(
    table: str, part: str, prefix: str, doc: object
) -> list[tuple[RowKey, bytes]]:
    """Cut a document into rows; each key ends in "number-count"."""
    data = zlib.compress(
        json.dumps(doc, separators=(",", ":")).encode(), LEVEL
    )
    cuts = range(0, len(data), PIECE_BYTES)
    count = len(cuts)
    return [
        (
            RowKey(
                table,
                part,
                f"{prefix}{number:0{PIECE_DIGITS}}-{count:0{PIECE_DIGITS}}",
            ),
            data[cut : cut + PIECE_BYTES],
        )
        for number, cut in enumerate(cuts)
    ]


def _is_whole(rows: list[StoredRow]) -> bool:
    return len(rows) == int(rows[0].at.key.rpartition("-")[2])


def _join(rows: list[StoredRow]) -> Any:
    if not rows or not _is_whole(rows):
        raise DamagedError("rows are missing")
    ordered = sorted(rows, key=lambda row: row.at.key)
    try:
        data = zlib.decompress(b"".join(row.value for row in ordered))
        return json.loads(data)
    except (zlib.error, ValueError) as exc:
        raise DamagedError(f"{ordered[0].at}: {exc!r}")


__all__ = [
    "DamagedError",
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
