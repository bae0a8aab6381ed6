"""Stand-in for the platform's metadata store, over HTTP."""

from __future__ import annotations

import base64
from http import HTTPStatus
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.platform.ingress import Reply, json_reply, send_reply
from mulberrypass.runtime.in_flight import CallCounter
from mulberrypass.storage.rows import (
    Expected,
    Lagged,
    RowKey,
    RowsConflict,
    Transaction,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.storage.rows import RowPage, RowStore, StoredRow

# Written by the platform; read-only for everyone else.
READ_ONLY_TABLES = ("op", "servers")
MS_PER_S = 1_000.0


class StoreApp(CallCounter):
    """Serves the store's HTTP API from a row store."""

    def __init__(self, rows: RowStore) -> None:
        super().__init__()
        self._rows = rows

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        query = {
            name: values[0]
            for name, values in parse_qs(environ["QUERY_STRING"]).items()
        }
        try:
            match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
                case "POST", "/rows-tx":
                    doc = json.loads(environ["wsgi.input"].read())
                    reply = self._transact(doc)
                case "GET", "/rows-get":
                    reply = self._scan(query)
                case "GET", "/rows-parts":
                    reply = self._parts(query)
                case "GET", "/rows-feed":
                    reply = self._feed(query)
                case _:
                    reply = Reply(HTTPStatus.NOT_FOUND)
        except (ValueError, KeyError, TypeError) as exc:
            reply = json_reply({"why": repr(exc)}, HTTPStatus.BAD_REQUEST)
        return send_reply(reply, start_response)

    def _transact(self, doc: dict[str, Any]) -> Reply:
        changed = doc["Puts"] + doc["Remove"]
        if any(entry["Table"] in READ_ONLY_TABLES for entry in changed):
            return Reply(HTTPStatus.FORBIDDEN)
        parts = {e["part"] for e in changed + doc["ExpectedRev"]}
        if len(parts) > 1:
            return Reply(HTTPStatus.BAD_REQUEST)
        applied = self._rows.transact(
            Transaction(
                tuple(
                    Expected(_key(e), e["SchemaVersion"])
                    for e in doc["ExpectedRev"]
                ),
                tuple(
                    (_key(e), base64.b64decode(e["Value"]))
                    for e in doc["Puts"]
                ),
                tuple(map(_key, doc["Remove"])),
            )
        )
        if applied.is_ok():
            return json_reply({"SchemaVersion": applied.ok, "NowMs": 0})
        match applied.error:
            case RowsConflict(found=found):
                rows = [_row(row) for row in found]
                return json_reply(
                    {"Rows": rows, "SchemaVersion": 0},
                    HTTPStatus.PRECONDITION_FAILED,
                )
            case error:
                return _error_reply(error)

    def _scan(self, query: dict[str, str]) -> Reply:
        read = self._rows.scan(
            query["Table"],
            query.get("part", ""),
            query.get("From", ""),
            query.get("To", ""),
        )
        return _page(read.ok) if read.is_ok() else _error_reply(read.error)

    def _parts(self, query: dict[str, str]) -> Reply:
        read = self._rows.parts(query["Table"])
        if read.is_error():
            return _error_reply(read.error)
        after = query.get("After", "")
        names = [name for name in read.ok if not after or name > after]
        return json_reply({"parts": names, "HasMore": False})

    def _feed(self, query: dict[str, str]) -> Reply:
        wait_s = float(query.get("WaitMs", "0")) / MS_PER_S
        fed = self._rows.feed(query["Table"], int(query["After"]), wait_s)
        if fed.is_ok():
            return _page(fed.ok)
        match fed.error:
            case Lagged():
                return Reply(HTTPStatus.GONE)
            case error:
                return _error_reply(error)


def _error_reply(error: Unavailable | Throttled) -> Reply:
    match error:
        case Throttled():
            return Reply(HTTPStatus.TOO_MANY_REQUESTS)
        case Unavailable(maybe_applied=True):
            # 500 leaves open whether the change was applied.
            return Reply(HTTPStatus.INTERNAL_SERVER_ERROR)
        case Unavailable():
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)


def _page(page: RowPage) -> Reply:
    return json_reply(
        {
            "Rows": [_row(row) for row in page.rows],
            "HasMore": page.more,
            "SchemaVersion": page.version,
            "NowMs": 0,
        }
    )


def _row(row: StoredRow) -> dict[str, Any]:
    doc: dict[str, Any] = {
        "Table": row.at.table,
        "part": row.at.part,
        "Key": row.at.key,
        "SchemaVersion": row.version,
    }
    if row.removed:
        doc["Removed"] = True
    else:
        doc["Value"] = base64.b64encode(row.value).decode()
    return doc


def _key(doc: dict[str, Any]) -> RowKey:
    return RowKey(doc["Table"], doc["part"], doc["Key"])


__all__ = ["StoreApp"]
