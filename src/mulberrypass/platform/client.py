"""HTTP clients of the platform's table, object, list and weight services."""

from __future__ import annotations

from http import HTTPStatus
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from expression import Error, Ok

from mulberrypass.model.store import (
    MAX_SCAN_ROWS,
    Committed,
    Conflict,
    Exists,
    InstanceList,
    Missing,
    Objects,
    Table,
    Throttled,
    Unavailable,
    WeightStore,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.platform.http_client import HttpClient
from mulberrypass.platform.wire import (
    WireError,
    listed_from_json,
    page_from_json,
    row_from_json,
)
from mulberrypass.storage.operations import op_to_json

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.model.store import (
        ListedMachine,
        ObjectError,
        Op,
        Page,
        ReadError,
        Row,
        TableError,
    )
    from mulberrypass.platform.http_client import Endpoint, HttpReply

DEFAULT_RETRY_AFTER_S = 1.0


class HttpTable(Table):
    """Client of the table service."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations atomically."""
        body = json.dumps({"ops": [op_to_json(op) for op in ops]}).encode()
        called = self._http.call("POST", "/table/transact", body)
        if called.is_error():
            return Error(called.error)
        reply = called.ok
        try:
            match reply.status:
                case HTTPStatus.OK:
                    versions = json.loads(reply.body)["versions"]
                    return Ok(Committed(tuple(versions)))
                case HTTPStatus.CONFLICT:
                    doc = json.loads(reply.body)
                    found = row_from_json(doc["found"])
                    return Error(Conflict(int(doc["index"]), found))
        except (ValueError, KeyError, TypeError) as exc:
            return Error(Unavailable(f"bad answer: {exc!r}", True))
        return Error(_error_from(reply, is_write=True))

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""
        target = _target("/table/row", table=table, key=key)
        fetched = _get_json(self._http, target)
        if fetched.is_error():
            return Error(fetched.error)
        try:
            return Ok(row_from_json(fetched.ok["row"]))
        except (WireError, KeyError) as exc:
            return Error(_bad_response(exc))

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows by key prefix, in key order after a key."""
        target = _target(
            "/table/scan",
            table=table,
            prefix=prefix,
            after=after,
            limit=str(limit),
        )
        fetched = _get_json(self._http, target)
        if fetched.is_error():
            return Error(fetched.error)
        try:
            return Ok(page_from_json(fetched.ok))
        except WireError as exc:
            return Error(_bad_response(exc))


class HttpObjects(Objects):
    """Client of the object store."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def put(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Create an object."""
        called = self._http.call("PUT", _target("/objects", key=key), data)
        if called.is_error():
            return Error(called.error)
        match called.ok.status:
            case HTTPStatus.CREATED | HTTPStatus.OK:
                return Ok(None)
            case HTTPStatus.PRECONDITION_FAILED:
                return Error(Exists(key))
        return Error(_error_from(called.ok, is_write=True))

    def get(self, key: str) -> Result[bytes, ObjectError]:
        """Read a whole object."""
        called = _get(self._http, _target("/objects", key=key))
        if called.is_error():
            return Error(called.error)
        match called.ok.status:
            case HTTPStatus.OK if not called.ok.framed:
                # Raw bytes, which don't tell where they end.
                return Error(Unavailable("an object without its size", False))
            case HTTPStatus.OK:
                return Ok(called.ok.body)
            case HTTPStatus.NOT_FOUND:
                return Error(Missing(key))
        return Error(_error_from(called.ok, is_write=False))

    def delete(self, key: str) -> Result[None, ObjectError]:
        """Delete an object."""
        called = self._http.call("DELETE", _target("/objects", key=key))
        if called.is_error():
            return Error(called.error)
        match called.ok.status:
            case HTTPStatus.OK | HTTPStatus.NO_CONTENT:
                return Ok(None)
            case HTTPStatus.NOT_FOUND:
                return Error(Missing(key))
        return Error(_error_from(called.ok, is_write=True))


class HttpInstanceList(InstanceList):
    """Client of the delayed list of instances and backend servers."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def listed(self) -> Result[tuple[ListedMachine, ...], ReadError]:
        """Read the list."""
        fetched = _get_json(self._http, "/instances")
        if fetched.is_error():
            return Error(fetched.error)
        try:
            entries = fetched.ok["entries"]
            return Ok(tuple(listed_from_json(entry) for entry in entries))
        except (ValueError, KeyError, TypeError) as exc:
            return Error(_bad_response(exc))


class HttpWeightStore(WeightStore):
    """Client of the weight store, which paces downloads."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def reserve(
        self, weights: str, size_bytes: int
    ) -> Result[float, ReadError]:
        """Reserve a download of weights."""
        doc = {"weights": weights, "size_bytes": size_bytes}
        called = self._http.call(
            "POST", "/weights/reserve", json.dumps(doc).encode()
        )
        if called.is_error():
            return Error(called.error)
        if called.ok.status != HTTPStatus.OK:
            return Error(_error_from(called.ok, is_write=True))
        try:
            return Ok(float(json.loads(called.ok.body)["start_in_s"]))
        except (ValueError, KeyError, TypeError) as exc:
            return Error(Unavailable(f"bad answer: {exc!r}", True))


@value_class
class PlatformClients:
    """Clients of one platform, with a shared connection pool."""

    table: HttpTable
    objects: HttpObjects
    instances: HttpInstanceList
    weights: HttpWeightStore
    http: HttpClient

    def close(self) -> None:
        """Close idle connections."""
        self.http.close()


def open_platform(endpoint: Endpoint) -> PlatformClients:
    """Create the clients of the platform at an endpoint."""
    http = HttpClient(endpoint)
    return PlatformClients(
        HttpTable(http),
        HttpObjects(http),
        HttpInstanceList(http),
        HttpWeightStore(http),
        http,
    )


def _target(path: str, **query: str) -> str:
    return f"{path}?{urlencode(query)}"


def _get(http: HttpClient, target: str) -> Result[HttpReply, ReadError]:
    called = http.call("GET", target)
    if called.is_ok():
        return Ok(called.ok)
    return Error(Unavailable(called.error.reason, False))


def _get_json(
    http: HttpClient, target: str
) -> Result[dict[str, Any], ReadError]:
    called = _get(http, target)
    if called.is_error():
        return Error(called.error)
    if called.ok.status != HTTPStatus.OK:
        return Error(_error_from(called.ok, is_write=False))
    try:
        doc = json.loads(called.ok.body)
    except ValueError as exc:
        return Error(_bad_response(exc))
    if not isinstance(doc, dict):
        return Error(Unavailable("bad answer: not an object", False))
    return Ok(doc)


def _bad_response(exc: Exception) -> Unavailable:
    return Unavailable(f"bad answer: {exc!r}", False)


def _error_from(reply: HttpReply, is_write: bool) -> Unavailable | Throttled:
    """Convert an error response to an error value.

    :param is_write: whether the request may have changed something
    """
    if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
        return Throttled(_retry_after_s(reply.body))
    refused = (
        reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        or HTTPStatus.BAD_REQUEST
        <= reply.status
        < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    reason = f"status {reply.status}"
    return Unavailable(reason, maybe_applied=is_write and not refused)


def _retry_after_s(body: bytes) -> float:
    try:
        return float(json.loads(body)["retry_after_s"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_RETRY_AFTER_S


__all__ = [
    "HttpInstanceList",
    "HttpObjects",
    "HttpTable",
    "HttpWeightStore",
    "PlatformClients",
    "open_platform",
]
