"""Conversion of values for JSON serialization."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any


def jsonable(value: Any) -> Any:
    """Convert data classes, enums and collections to JSON values."""
    match value:
        case None | bool() | int() | float() | str():
            return value.value if isinstance(value, enum.Enum) else value
        case dict():
            return {str(key): jsonable(item) for key, item in value.items()}
        case list() | tuple() | set() | frozenset():
            return [jsonable(item) for item in value]
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            item.name: jsonable(getattr(value, item.name))
            for item in dataclasses.fields(value)
        }
    return str(value)


__all__ = ["jsonable"]
