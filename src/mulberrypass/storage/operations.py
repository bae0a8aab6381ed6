"""The JSON form of operations, as sent and as counted by size limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.model.store import (
    Absent,
    Always,
    Check,
    Delete,
    Put,
    VersionIs,
)

if TYPE_CHECKING:
    from mulberrypass.model.store import Condition, Op


def op_to_json(op: Op) -> dict[str, Any]:
    """Return the JSON document of an operation."""
    doc: dict[str, Any] = {
        "table": op.table,
        "key": op.key,
        "if": _condition_to_json(op.condition),
    }
    match op:
        case Put():
            return doc | {"op": "put", "row": dict(op.row)}
        case Delete():
            return doc | {"op": "delete"}
        case Check():
            return doc | {"op": "check"}


def _condition_to_json(condition: Condition) -> dict[str, Any]:
    match condition:
        case Absent():
            return {"kind": "absent"}
        case VersionIs(version=version):
            return {"kind": "version", "version": version}
        case Always():
            return {"kind": "always"}


__all__ = ["op_to_json"]
