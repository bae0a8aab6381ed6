"""Notes durably that a request which may run once runs from now on."""

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
    """Writes that a non-idempotent request may run from now on, once."""

    def __init__(
        self, records: Records, record: Record, idempotent: bool
    ) -> None:
        self.record = record
        self._records = records
        self._idempotent = idempotent

    def write(self, _backend: str) -> Failed | None:
        """Write the intent, if it is needed and not written yet."""
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
        """Whether the record is our own write whose reply was lost."""
        started = record.state is RecordState.STARTED
        return started and self._records.holds(record)


__all__ = ["Intent"]
