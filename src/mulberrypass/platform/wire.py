"""JSON encoding of the platform's messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.model.store import (
    Absent,
    Always,
    Check,
    Delete,
    ListedKind,
    ListedMachine,
    ListedState,
    Page,
    Put,
    Row,
    VersionIs,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.model.store import Condition, Op


class WireError(ValueError):
    """A document has the wrong structure."""


def op_from_json(doc: Mapping[str, Any]) -> Op:
    """Decode an operation."""
    match doc:
        case {"op": "put", "table": str(), "key": str(), "row": dict()}:
            condition = _condition_from_json(doc["if"])
            return Put(doc["table"], doc["key"], doc["row"], condition)
        case {"op": "delete", "table": str(), "key": str()}:
            condition = _condition_from_json(doc["if"])
            return Delete(doc["table"], doc["key"], condition)
        case {"op": "check", "table": str(), "key": str()}:
            condition = _condition_from_json(doc["if"])
            return Check(doc["table"], doc["key"], condition)
    raise WireError("not an operation")


def _condition_from_json(doc: Any) -> Condition:
    match doc:
        case {"kind": "absent"}:
            return Absent()
        case {"kind": "version", "version": int(version)}:
            return VersionIs(version)
        case {"kind": "always"}:
            return Always()
    raise WireError("not a condition")


def row_to_json(row: Row | None) -> dict[str, Any] | None:
    """Encode a row or its absence."""
    if row is None:
        return None
    return {"key": row.key, "version": row.version, "row": dict(row.row)}


def row_from_json(doc: Any) -> Row | None:
    """Decode a row or its absence."""
    match doc:
        case None:
            return None
        case {"key": str(key), "version": int(version), "row": dict(row)}:
            return Row(key, version, row)
    raise WireError("not a row")


def page_to_json(page: Page) -> dict[str, Any]:
    """Encode a page of a scan."""
    rows = [row_to_json(row) for row in page.rows]
    return {"rows": rows, "next_after": page.next_after}


def page_from_json(doc: Any) -> Page:
    """Decode a page of a scan."""
    match doc:
        case {"rows": list(rows), "next_after": str() | None}:
            decoded = tuple(row_from_json(row) for row in rows)
            present = tuple(row for row in decoded if row is not None)
            return Page(present, doc["next_after"])
    raise WireError("not a page")


def listed_to_json(entry: ListedMachine) -> dict[str, Any]:
    """Encode an entry of the list of instances and backend servers."""
    return {
        "name": entry.name,
        "kind": entry.kind.value,
        "zone": entry.zone,
        "address": entry.address,
        "state": entry.state.value,
    }


def listed_from_json(doc: Any) -> ListedMachine:
    """Decode an entry of the list of instances and backend servers."""
    match doc:
        case {"name": str(name), "zone": str(zone), "address": str(address)}:
            kind = ListedKind(doc.get("kind", "instance"))
            state = ListedState(doc.get("state", "live"))
            return ListedMachine(name, kind, zone, address, state)
    raise WireError("not a listed machine")


__all__ = [
    "WireError",
    "listed_from_json",
    "listed_to_json",
    "op_from_json",
    "page_from_json",
    "page_to_json",
    "row_from_json",
    "row_to_json",
]
