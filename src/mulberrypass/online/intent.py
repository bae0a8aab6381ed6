"""Durable start markers of requests that may run only once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.online.records import (
    ExistingRecord,
    Record,
    RecordState,
    StoreFailed,
)
from mulberrypass.online.refusals import fenced, start_not_durable

if TYPE_CHECKING:
    from mulberrypass.online.call import Failed
    from mulberrypass.online.records import Records


class Intent:
    """Marks a non-idempotent request as started before its first dispatch."""

    def __init__(
        self, records: Records, record: Record, idempotent: bool
    ) -> None:
        self.record = record
        self._records = records
        self._idempotent = idempotent

    def write(self, _backend: str) -> Failed | None:
        """Write the marker if the request needs one and has none."""
        if self._idempotent or self.record.state is RecordState.STARTED:
            return None
        started = self._records.start(self.record)
        if started.is_ok():
            self.record = started.ok
            return None
        match started.error:
            case ExistingRecord(record=record) if self._is_own(record):
                self.record = record
                return None
            case StoreFailed():
                return start_not_durable()
            case _:
                return fenced()

    def _is_own(self, record: Record) -> bool:
        """Return whether the record is our own write with a lost reply."""
        started = record.state is RecordState.STARTED
        return started and self._records.holds(record)


__all__ = ["Intent"]
