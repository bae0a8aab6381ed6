"""The rows that publish configurations."""

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
    """One object that a generation changed."""

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

    ``changes`` holds the first ones only; ``changed`` counts them all.
    """

    changes: tuple[ChangedObject, ...] = ()
    changed: int = 0


class SubmitRow(BaseModel):
    """The outcome of a submission, under its id."""

    model_config = ConfigDict(frozen=True)

    generation: int
    digest: str


def history_key(generation: int) -> str:
    """Give a key under which a scan meets the newest generation first."""
    return f"{HISTORY_PREFIX}{GENERATION_LIMIT - generation:012d}"


def submit_key(submit_id: str) -> str:
    """Give the key of a submission's outcome."""
    return SUBMIT_PREFIX + submit_id


def snapshot_key(generation: int, digest: str) -> str:
    """Give the object store's key of a snapshot."""
    return f"configuration/{generation:012d}-{digest}"


def history_row(head: HeadRow, changes: tuple[Change, ...]) -> HistoryRow:
    """Give the history row of a new head."""
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
