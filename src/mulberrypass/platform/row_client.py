"""HTTP client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
from http import HTTPStatus
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from expression import Error, Ok

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.model.value_class import value_class
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
    from collections.abc import Callable

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
THROTTLE_RETRY_S = 0.2
PAGE_LIMIT = 500
# Raised while an answer of another structure is decoded.
BAD_ANSWER = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


@value_class
class RowRange:
    """The rows of a part whose key is in ``[first, end)``.

    :param end: empty for no end
    """

    table: str
    part: str
    first: str = ""
    end: str = ""

    def holds(self, at: RowKey) -> bool:
        """Return whether a row is in the range; it may name no part."""
        return (
            at.table == self.table
            and at.part in ("", self.part)
            and self.first <= at.key
            and (not self.end or at.key < self.end)
        )


class HttpRowStore(RowStore):
    """Rows of the metadata store. Safe on any thread."""

    def __init__(self, store: HostPort) -> None:
        self._client = HttpClient(
            Endpoint(
                store.host,
                store.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                read_timeout_s=CALL_TIMEOUT_S,
            )
        )
        self._feed_client = HttpClient(
            Endpoint(
                store.host,
                store.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                read_timeout_s=MAX_FEED_WAIT_S + FEED_MARGIN_S,
            )
        )

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
        self._feed_client.close()

    def transact(self, change: Transaction) -> Result[int, RowsError]:
        """Apply a transaction; see ``RowStore``."""
        request = {
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
        body = json.dumps(request, separators=(",", ":")).encode()
        called = self._client.call("POST", "/rows-tx", body)
        if called.is_error():
            return Error(called.error)
        reply = called.ok
        if reply.status not in (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED):
            return Error(_error_from(reply, is_write=True))
        try:
            doc = json.loads(reply.body)
            if reply.status == HTTPStatus.OK:
                return Ok(int(doc["SchemaVersion"]))
            found = _rows(doc["Rows"])
            asked = frozenset(e.at for e in change.expected)
            _check_asked(found, lambda at: at in asked)
            return Error(RowsConflict(found))
        except BAD_ANSWER as exc:
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
        called = self._read(self._client, "/rows-get", query)
        if called.is_error():
            return Error(called.error)
        asked = RowRange(table, part, first, end)
        return _page(called.ok, asked.holds)

    def parts(self, table: str) -> Result[tuple[str, ...], ReadFailure]:
        """List the parts of a table."""
        found: list[str] = []
        while True:
            query = {"Table": table}
            if found:
                query["After"] = found[-1]
            called = self._read(self._client, "/rows-parts", query)
            if called.is_error():
                return Error(called.error)
            try:
                doc = json.loads(called.ok.body)
                names = [str(name) for name in doc["parts"]]
            except BAD_ANSWER as exc:
                return Error(Unavailable(f"bad answer: {exc!r}", False))
            found.extend(names)
            if not names or not doc.get("HasMore"):
                return Ok(tuple(found))

    def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowPage, FeedError]:
        """Wait for rows that have changed since a version."""
        wait_ms = int(min(wait_s, MAX_FEED_WAIT_S) * 1_000)
        query = {
            "Table": table,
            "After": str(after),
            "WaitMs": str(wait_ms),
        }
        called = self._feed_client.call(
            "GET", f"/rows-feed?{urlencode(query)}"
        )
        if called.is_error():
            return Error(Unavailable(called.error.reason, False))
        if called.ok.status == HTTPStatus.GONE:
            return Error(Lagged())
        if called.ok.status != HTTPStatus.OK:
            return Error(_error_from(called.ok, is_write=False))
        return _page(called.ok, lambda at: at.table == table)

    def _read(
        self, client: HttpClient, path: str, query: dict[str, str]
    ) -> Result[HttpReply, ReadFailure]:
        called = client.call("GET", f"{path}?{urlencode(query)}")
        if called.is_error():
            return Error(Unavailable(called.error.reason, False))
        if called.ok.status != HTTPStatus.OK:
            return Error(_error_from(called.ok, is_write=False))
        return Ok(called.ok)


def _key_doc(at: RowKey) -> dict[str, Any]:
    return {"Table": at.table, "part": at.part, "Key": at.key}


def _page(
    reply: HttpReply, asked: Callable[[RowKey], bool]
) -> Result[RowPage, Unavailable]:
    try:
        doc = json.loads(reply.body)
        found = _rows(doc["Rows"])
        _check_asked(found, asked)
        return Ok(
            RowPage(
                found,
                bool(doc.get("HasMore", False)),
                int(doc["SchemaVersion"]),
            )
        )
    except BAD_ANSWER as exc:
        return Error(Unavailable(f"bad answer: {exc!r}", False))


def _check_asked(
    found: tuple[StoredRow, ...], asked: Callable[[RowKey], bool]
) -> None:
    """Check that a reply, which bears no id, is one to this call.

    :raises ValueError: if a row is none that was asked for
    """
    other = next((row.at for row in found if not asked(row.at)), None)
    if other is not None:
        raise ValueError(f"{other} was not asked for")


def _rows(docs: list[dict[str, Any]]) -> tuple[StoredRow, ...]:
    return tuple(_row(doc) for doc in docs)


def _row(doc: dict[str, Any]) -> StoredRow:
    """Parse one row; a value that isn't base64 counts as empty."""
    try:
        value = base64.b64decode(doc.get("Value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        value = b""
    at = RowKey(str(doc["Table"]), str(doc.get("part", "")), str(doc["Key"]))
    version = int(doc.get("SchemaVersion") or 0)
    return StoredRow(at, value, version, bool(doc.get("Removed", False)))


def _error_from(reply: HttpReply, is_write: bool) -> Unavailable | Throttled:
    """Convert an error response to an error value.

    The store answers 503 and 4xx only if nothing was changed.

    :param is_write: whether the request may have changed something
    """
    if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
        return Throttled(THROTTLE_RETRY_S)
    refused = (
        reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        or HTTPStatus.BAD_REQUEST
        <= reply.status
        < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    reason = f"status {reply.status}"
    return Unavailable(reason, maybe_applied=is_write and not refused)


__all__ = ["HttpRowStore"]
