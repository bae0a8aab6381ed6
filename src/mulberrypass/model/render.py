"""Objects in the form of the documents that make them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.model.jsonable import jsonable
from mulberrypass.model.snapshot import KINDS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.model.objects import Configuration


def documents_of(cfg: Configuration) -> Iterator[dict[str, Any]]:
    """Give all objects as documents that would make the same set."""
    for kind in sorted(KINDS):
        objects = getattr(cfg, kind)
        for key in sorted(objects):
            yield document_of(kind, objects[key])


def document_of(kind: str, found: Any) -> dict[str, Any]:
    """Give one object as a document, without fields that are not set.

    :param kind: the plural, as in ``services``
    """
    fields: dict[str, Any] = jsonable(found)
    document = {"kind": kind[:-1], "name": fields.pop("name")}
    if "kind" in fields:
        document["type"] = fields.pop("kind")
    set_fields: dict[str, Any] = without_unset(fields)
    return document | set_fields


def without_unset(value: Any) -> Any:
    """Leave out fields that are null, empty lists or empty texts."""
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


__all__ = ["document_of", "documents_of", "without_unset"]
