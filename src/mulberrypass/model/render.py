"""Conversion of objects back to documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.model.jsonable import jsonable
from mulberrypass.model.snapshot import KINDS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.model.objects import Configuration


def to_documents(cfg: Configuration) -> Iterator[dict[str, Any]]:
    """Yield all objects as documents; submitting them yields an equal set."""
    for kind in sorted(KINDS):
        objects = getattr(cfg, kind)
        for key in sorted(objects):
            yield to_document(kind, objects[key])


def to_document(kind: str, obj: Any) -> dict[str, Any]:
    """Return one object as a document, without unset fields.

    :param kind: the plural, as in ``services``
    """
    fields: dict[str, Any] = jsonable(obj)
    document = {"kind": kind[:-1], "name": fields.pop("name")}
    if "kind" in fields:
        document["type"] = fields.pop("kind")
    set_fields: dict[str, Any] = without_unset(fields)
    return document | set_fields


def without_unset(value: Any) -> Any:
    """Remove fields that are null, empty lists or empty strings."""
    match value:
        case dict():
            return {
                name: without_unset(item)
                for name, item in value.items()
                if item is not None and item != [] and item != ""
            }
        case list():
            return [without_unset(item) for item in value]
        case _:
            return value


__all__ = ["to_document", "to_documents", "without_unset"]
