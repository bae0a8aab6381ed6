"""The table rows of published configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, ConfigDict

if TYPE_CHECKING:
    from mulberrypass.model.diff import Change

TABLE = "configuration"
HEAD_KEY = "head"
HISTORY_PREFIX = "history/"
SUBMIT_PREFIX = "submit/"
GENERATION_LIMIT = 10**12
MAX_ROW_CHANGES = 2_000


class ChangedObject(BaseModel):
    """An object that a generation changed."""

    model_config = ConfigDict(frozen=True)

    kind: str
    key: str
    action: str


class HeadRow(BaseModel):
    """The generation in force, and who published it.

    ``at`` is Unix time in seconds.
    """

    model_config = ConfigDict(frozen=True)

    generation: int
    digest: str
    base: int
    submit_id: str
    operator: str
    at: float
    message: str = ""


class HistoryRow(HeadRow):
    """One published generation and what it changed.

    ``changes`` holds only the first ones; ``changed`` counts all of them.
    """

    changes: tuple[ChangedObject, ...] = ()
    changed: int = 0


class SubmitRow(BaseModel):
    """The outcome of a submission, stored under its id."""

    model_config = ConfigDict(frozen=True)

    generation: int
    digest: str


def history_key(generation: int) -> str:
    """Return the key of a history row; newer generations sort first."""
    return f"{HISTORY_PREFIX}{GENERATION_LIMIT - generation:012d}"


def submit_key(submit_id: str) -> str:
    """Return the key of a submission's outcome."""
    return SUBMIT_PREFIX + submit_id


def snapshot_key(generation: int, digest: str) -> str:
    """Return the object store key of a snapshot."""
    return f"configuration/{generation:012d}-{digest}"


def history_row(head: HeadRow, changes: tuple[Change, ...]) -> HistoryRow:
    """Return the history row of a new head."""
    shown = tuple(
        ChangedObject(kind=c.kind, key=c.key, action=c.action.value)
        for c in changes[:MAX_ROW_CHANGES]
    )
    fields: dict[str, Any] = head.model_dump()
    return HistoryRow(**fields, changes=shown, changed=len(changes))


__all__ = [
    "ChangedObject",
    "HEAD_KEY",
    "HISTORY_PREFIX",
    "HeadRow",
    "HistoryRow",
    "SubmitRow",
    "TABLE",
    "history_key",
    "history_row",
    "snapshot_key",
    "submit_key",
]
