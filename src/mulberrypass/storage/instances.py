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
