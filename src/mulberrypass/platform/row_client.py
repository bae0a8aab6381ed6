"""The site's metadata store: rows in parts of tables, over HTTP."""

from __future__ import annotations

import base64
import binascii
from http import HTTPStatus
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from expression import Error, Ok

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.platform.http_client import Endpoint, HttpClient
from mulberrypass.storage.rows import (
    Lagged,
    RowKey,
    RowPage,
    RowsConflict,
    RowStore,
    StoredRow,
)

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.platform.http_client import HttpReply
    from mulberrypass.platform.site import HostPort
    from mulberrypass.storage.rows import (
        FeedError,
        ReadFailure,
        RowsError,
        Transaction,
    )

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7
FEED_MARGIN_S = 0.7
MAX_FEED_WAIT_S = 1.5
THROTTLED_S = 0.2
PAGE_LIMIT = 500


class HttpRowStore(RowStore):
    """Rows of the site's store. Safe on any thread."""

    def __init__(self, store: HostPort) -> None:
        self._caller = HttpClient(
            Endpoint(
                store.host,
                store.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                read_timeout_s=CALL_TIMEOUT_S,
            )
        )
        self._feeds = HttpClient(
            Endpoint(
                store.host,
                store.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                read_timeout_s=MAX_FEED_WAIT_S + FEED_MARGIN_S,
            )
        )

    def close(self) -> None:
        """Close connections that are not in use."""
        self._caller.close()
        self._feeds.close()

    def transact(self, change: Transaction) -> Result[int, RowsError]:
        """Apply a change; see ``RowStore``."""
        doc = {
            "ExpectedRev": [
                {**_key_doc(e.at), "SchemaVersion": e.version}
                for e in change.expected
            ],
            "Puts": [
                {**_key_doc(at), "Value": base64.b64encode(value).decode()}
                for at, value in change.puts
            ],
            "Remove": [_key_doc(at) for at in change.removes],
        }
        body = json.dumps(doc, separators=(",", ":")).encode()
        called = self._caller.call("POST", "/rows-tx", body)
        if called.is_error():
            return Error(called.error)
        reply = called.ok
        if reply.status not in (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED):
            return Error(_failure(reply, changes=True))
        try:
            answer = json.loads(reply.body)
            if reply.status == HTTPStatus.OK:
                return Ok(int(answer["SchemaVersion"]))
            return Error(RowsConflict(_rows(answer["Rows"])))
        except (ValueError, KeyError, TypeError) as exc:
            return Error(Unavailable(f"bad answer: {exc!r}", True))

    def scan(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowPage, ReadFailure]:
        """Read rows whose key is in ``[first, end)``."""
        query = {"Table": table, "part": part, "Limit": str(PAGE_LIMIT)}
        if first:
            query["From"] = first
        if end:
            query["To"] = end
        called = self._read(self._caller, "/rows-get", query)
        if called.is_error():
            return Error(called.error)
        return _page(called.ok)

    def parts(self, table: str) -> Result[tuple[str, ...], ReadFailure]:
        """List the parts of a table."""
        found: list[str] = []
        while True:
            query = {"Table": table}
            if found:
                query["After"] = found[-1]
            called = self._read(self._caller, "/rows-parts", query)
            if called.is_error():
                return Error(called.error)
            try:
                doc = json.loads(called.ok.body)
                names = [str(name) for name in doc["parts"]]
            except (ValueError, KeyError, TypeError) as exc:
                return Error(Unavailable(f"bad answer: {exc!r}", False))
            found.extend(names)
            if not names or not doc.get("HasMore"):
                return Ok(tuple(found))

    def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowPage, FeedError]:
        """Wait for rows that change after a version."""
        wait_ms = int(min(wait_s, MAX_FEED_WAIT_S) * 1_000)
        query = {
            "Table": table,
            "After": str(after),
            "WaitMs": str(wait_ms),
        }
        called = self._feeds.call("GET", f"/rows-feed?{urlencode(query)}")
        if called.is_error():
            return Error(Unavailable(called.error.reason, False))
        if called.ok.status == HTTPStatus.GONE:
            return Error(Lagged())
        if called.ok.status != HTTPStatus.OK:
            return Error(_failure(called.ok, changes=False))
        return _page(called.ok)

    def _read(
        self, caller: HttpClient, path: str, query: dict[str, str]
    ) -> Result[HttpReply, ReadFailure]:
        called = caller.call("GET", f"{path}?{urlencode(query)}")
        if called.is_error():
            return Error(Unavailable(called.error.reason, False))
        if called.ok.status != HTTPStatus.OK:
            return Error(_failure(called.ok, changes=False))
        return Ok(called.ok)


def _key_doc(at: RowKey) -> dict[str, Any]:
    return {"Table": at.table, "part": at.part, "Key": at.key}


def _page(reply: HttpReply) -> Result[RowPage, Unavailable]:
    try:
        doc = json.loads(reply.body)
        return Ok(
            RowPage(
                _rows(doc["Rows"]),
                bool(doc.get("HasMore", False)),
                int(doc["SchemaVersion"]),
            )
        )
    except (ValueError, KeyError, TypeError) as exc:
        return Error(Unavailable(f"bad answer: {exc!r}", False))


def _rows(docs: list[dict[str, Any]]) -> tuple[StoredRow, ...]:
    return tuple(_row(doc) for doc in docs)


def _row(doc: dict[str, Any]) -> StoredRow:
    """Read one row; a value that is not base64 counts as empty."""
    try:
        value = base64.b64decode(doc.get("Value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        value = b""
    at = RowKey(str(doc["Table"]), str(doc.get("part", "")), str(doc["Key"]))
    version = int(doc.get("SchemaVersion") or 0)
    return StoredRow(at, value, version, bool(doc.get("Removed", False)))


def _failure(reply: HttpReply, changes: bool) -> Unavailable | Throttled:
    """Turn an answer that is no result into an error.

    The store says 503 and 4xx only where nothing was done.
    """
    if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
        return Throttled(THROTTLED_S)
    refused = (
        reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        or HTTPStatus.BAD_REQUEST
        <= reply.status
        < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    reason = f"status {reply.status}"
    return Unavailable(reason, maybe_applied=changes and not refused)


__all__ = ["HttpRowStore"]
