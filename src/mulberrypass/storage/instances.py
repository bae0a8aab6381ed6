"""The list of a site's instances, kept in a row store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.store import (
    InstanceList,
    ListedKind,
    ListedMachine,
    ListedState,
)
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.follow import scan_all
from mulberrypass.storage.rows import RowKey, Transaction

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.model.store import ReadError
    from mulberrypass.storage.rows import RowsError, RowStore, StoredRow

LOG = get_logger(__name__)
TABLE = "instances"


class RowInstances(InstanceList):
    """An instance list with one row per instance, written at its start."""

    def __init__(self, rows: RowStore) -> None:
        self._rows = rows

    def listed(self) -> Result[tuple[ListedMachine, ...], ReadError]:
        """Read the list, without the rows that can't be decoded."""
        scanned = scan_all(self._rows, TABLE, all_parts=False)
        if scanned.is_error():
            return Error(scanned.error)
        found, _version = scanned.ok
        entries = map(_decode, found)
        return Ok(tuple(entry for entry in entries if entry is not None))

    def register(
        self, name: str, zone: str, address: str
    ) -> Result[int, RowsError]:
        """Write the row of an instance."""
        doc = {"zone": zone, "address": address}
        put = (RowKey(TABLE, "", name), json.dumps(doc).encode())
        return self._rows.transact(Transaction(puts=(put,)))

    def remove(self, name: str) -> Result[int, RowsError]:
        """Remove the row of an instance."""
        change = Transaction(removes=(RowKey(TABLE, "", name),))
        return self._rows.transact(change)


def _decode(row: StoredRow) -> ListedMachine | None:
    try:
        doc = json.loads(row.value)
        return ListedMachine(
            name=row.at.key,
            kind=ListedKind.INSTANCE,
            zone=str(doc["zone"]),
            address=str(doc["address"]),
            state=ListedState.LIVE,
        )
    except (ValueError, KeyError, TypeError):
        LOG.warning("damaged row of an instance", instance=row.at.key)
        return None


__all__ = ["RowInstances", "TABLE"]
