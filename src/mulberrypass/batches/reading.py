"""Reads rows of batch jobs, of which some may be unreadable."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.batches import codec
from mulberrypass.model.batch_jobs import StoreUnavailable, VersionedHead
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

    from mulberrypass.model.batch_jobs import JobHead
    from mulberrypass.storage.rows import StoredRow

LOG = get_logger(__name__)


def readable_heads(rows: Iterable[StoredRow]) -> list[JobHead]:
    """Return the heads that can be read."""
    found = [
        read_head(row)
        for row in rows
        if not row.at.key.startswith(codec.GATE_PREFIX)
    ]
    return [read.ok.head for read in found if read.is_ok()]


def read_head(row: StoredRow) -> Result[VersionedHead, StoreUnavailable]:
    """Read one head."""
    try:
        return Ok(VersionedHead(codec.decode_head(row), row.version))
    except codec.CorruptRowError as exc:
        return Error(unreadable(exc))


def unreadable(exc: codec.CorruptRowError) -> StoreUnavailable:
    """Log rows that can't be read, and return the error to report."""
    LOG.error("rows of a job can't be read", reason=str(exc))
    return StoreUnavailable(str(exc))


__all__ = ["read_head", "readable_heads", "unreadable"]
