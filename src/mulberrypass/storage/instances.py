"""The list of a site's instances, kept in a row store."""

from __future__ import annotations

from ipaddress import ip_address
import json
from typing import TYPE_CHECKING, Annotated

from expression import Error, Ok
from pydantic import AfterValidator, BaseModel, ConfigDict, ValidationError

from mulberrypass.model.store import (
    InstanceList,
    ListedKind,
    ListedMachine,
    ListedState,
    Unavailable,
)
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.follow import scan_all
from mulberrypass.storage.rows import Lagged, RowKey, Transaction

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

    from mulberrypass.model.store import ReadError
    from mulberrypass.storage.rows import RowsError, RowStore, StoredRow

LOG = get_logger(__name__)
TABLE = "instances"


class RowInstances(InstanceList):
    """An instance list with one row per instance, written at its start.

    All instances read the list all the time, so after the first read they
    read only the rows that changed. One thread calls :meth:`listed`.
    """

    def __init__(self, rows: RowStore) -> None:
        self._rows = rows
        self._listed: dict[str, ListedMachine] = {}
        self._version = 0
        self._is_complete = False

    def listed(self) -> Result[tuple[ListedMachine, ...], ReadError]:
        """Read the list, without the rows that can't be decoded."""
        read = self._read_changes() if self._is_complete else self._read_all()
        if read.is_error():
            return Error(read.error)
        return Ok(tuple(self._listed.values()))

    def _read_all(self) -> Result[None, ReadError]:
        scanned = scan_all(self._rows, TABLE, all_parts=False)
        if scanned.is_error():
            return Error(scanned.error)
        found, version = scanned.ok
        if version < self._version:
            return Error(Unavailable("an older list was read", False))
        self._listed.clear()
        self._apply(found)
        self._version = version
        self._is_complete = True
        return Ok(None)

    def _read_changes(self) -> Result[None, ReadError]:
        while True:
            read = self._rows.feed(TABLE, self._version, 0.0)
            if read.is_error():
                if not isinstance(read.error, Lagged):
                    return Error(read.error)
                self._is_complete = False
                return self._read_all()
            page = read.ok
            newer = [row for row in page.rows if row.version > self._version]
            self._apply(newer)
            newest = max((row.version for row in newer), default=0)
            if not page.more or not newer:
                self._version = max(self._version, newest, page.version)
                return Ok(None)
            self._version = newest

    def _apply(self, rows: Iterable[StoredRow]) -> None:
        for row in rows:
            entry = None if row.removed else _decode(row)
            if entry is None:
                self._listed.pop(row.at.key, None)
            else:
                self._listed[entry.name] = entry

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


def _check_ip(text: str) -> str:
    ip_address(text)
    return text


class _Instance(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    zone: str
    address: Annotated[str, AfterValidator(_check_ip)]


def _decode(row: StoredRow) -> ListedMachine | None:
    try:
        doc = _Instance.model_validate_json(row.value)
    except ValidationError as exc:
        error = exc.errors()[0]
        LOG.warning(
            "damaged row of an instance",
            instance=row.at.key,
            field=".".join(map(str, error["loc"])),
            reason=error["msg"],
        )
        return None
    return ListedMachine(
        name=row.at.key,
        kind=ListedKind.INSTANCE,
        zone=doc.zone,
        address=doc.address,
        state=ListedState.LIVE,
    )


__all__ = ["RowInstances", "TABLE"]
