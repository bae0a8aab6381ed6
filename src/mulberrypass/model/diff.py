"""Differences between two configurations, object by object."""

from __future__ import annotations

from dataclasses import fields
import enum
from typing import TYPE_CHECKING, Any

from mulberrypass.model.snapshot import KINDS
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.model.objects import Configuration


class Action(enum.StrEnum):
    """What happened to an object."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@value_class
class FieldChange:
    """One field of a changed object."""

    field: str
    before: Any
    after: Any


@value_class
class Change:
    """One object that was added, changed or removed.

    :param kind: as in ``service``
    :param key: name, or model and name of a version or adapter
    """

    kind: str
    key: str
    action: Action
    fields: tuple[FieldChange, ...] = ()

    @property
    def label(self) -> str:
        """Kind and name of the object."""
        model, _, name = self.key.rpartition("/")
        suffix = f' of model "{model}"' if model else ""
        return f'{self.kind} "{name}"{suffix}'


def differences(
    before: Configuration, after: Configuration
) -> tuple[Change, ...]:
    """Return all changes, ordered by kind and key."""
    return tuple(
        change
        for kind in sorted(KINDS)
        for change in _kind_changes(
            kind[:-1], getattr(before, kind), getattr(after, kind)
        )
    )


def _kind_changes(kind: str, before: Any, after: Any) -> Iterator[Change]:
    for key in sorted({*before, *after}):
        if key not in before:
            yield Change(kind, key, Action.ADDED)
        elif key not in after:
            yield Change(kind, key, Action.REMOVED)
        elif before[key] != after[key]:
            changed = tuple(_field_changes(before[key], after[key]))
            yield Change(kind, key, Action.CHANGED, changed)


def _field_changes(before: Any, after: Any) -> Iterator[FieldChange]:
    for item in fields(before):
        old = getattr(before, item.name)
        new = getattr(after, item.name)
        if old != new:
            yield FieldChange(item.name, old, new)


__all__ = ["Action", "Change", "FieldChange", "differences"]
