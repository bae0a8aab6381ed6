"""The platform's table, objects, list and weights over HTTP."""

from __future__ import annotations

from dataclasses import dataclass
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
from mulberrypass.platform.caller import HttpCaller
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
    from mulberrypass.platform.caller import Endpoint, HttpReply

DEFAULT_RETRY_AFTER_S = 1.0


class HttpTable(Table):
    """The table service."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none."""
        body = json.dumps({"ops": [op_to_json(op) for op in ops]}).encode()
        called = self._caller.call("POST", "/table/transact", body)
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
        return Error(_failure(reply, changes=True))

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""
        target = _target("/table/row", table=table, key=key)
        fetched = _get_json(self._caller, target)
        if fetched.is_error():
            return Error(fetched.error)
        try:
            return Ok(row_from_json(fetched.ok["row"]))
        except (WireError, KeyError) as exc:
            return Error(_bad_answer(exc))

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows whose key has the prefix, after a key."""
        target = _target(
            "/table/scan",
            table=table,
            prefix=prefix,
            after=after,
            limit=str(limit),
        )
        fetched = _get_json(self._caller, target)
        if fetched.is_error():
            return Error(fetched.error)
        try:
            return Ok(page_from_json(fetched.ok))
        except WireError as exc:
            return Error(_bad_answer(exc))


class HttpObjects(Objects):
    """The object store."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    def put(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Write an object."""
        called = self._caller.call("PUT", _target("/objects", key=key), data)
        if called.is_error():
            return Error(called.error)
        match called.ok.status:
            case HTTPStatus.CREATED | HTTPStatus.OK:
                return Ok(None)
            case HTTPStatus.PRECONDITION_FAILED:
                return Error(Exists(key))
        return Error(_failure(called.ok, changes=True))

    def get(self, key: str) -> Result[bytes, ObjectError]:
        """Read a whole object."""
        called = _get(self._caller, _target("/objects", key=key))
        if called.is_error():
            return Error(called.error)
        match called.ok.status:
            case HTTPStatus.OK:
                return Ok(called.ok.body)
            case HTTPStatus.NOT_FOUND:
                return Error(Missing(key))
        return Error(_failure(called.ok, changes=False))

    def delete(self, key: str) -> Result[None, ObjectError]:
        """Remove an object."""
        called = self._caller.call("DELETE", _target("/objects", key=key))
        if called.is_error():
            return Error(called.error)
        match called.ok.status:
            case HTTPStatus.OK | HTTPStatus.NO_CONTENT:
                return Ok(None)
            case HTTPStatus.NOT_FOUND:
                return Error(Missing(key))
        return Error(_failure(called.ok, changes=True))


class HttpInstanceList(InstanceList):
    """The lagging list of machines."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    def listed(self) -> Result[tuple[ListedMachine, ...], ReadError]:
        """Read the list."""
        fetched = _get_json(self._caller, "/instances")
        if fetched.is_error():
            return Error(fetched.error)
        try:
            entries = fetched.ok["entries"]
            return Ok(tuple(listed_from_json(entry) for entry in entries))
        except (ValueError, KeyError, TypeError) as exc:
            return Error(_bad_answer(exc))


class HttpWeightStore(WeightStore):
    """The weight store's pacing."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    def reserve(
        self, weights: str, size_bytes: int
    ) -> Result[float, ReadError]:
        """Ask to fetch weights."""
        doc = {"weights": weights, "size_bytes": size_bytes}
        called = self._caller.call(
            "POST", "/weights/reserve", json.dumps(doc).encode()
        )
        if called.is_error():
            return Error(called.error)
        if called.ok.status != HTTPStatus.OK:
            return Error(_failure(called.ok, changes=True))
        try:
            return Ok(float(json.loads(called.ok.body)["start_in_s"]))
        except (ValueError, KeyError, TypeError) as exc:
            return Error(Unavailable(f"bad answer: {exc!r}", True))


@dataclass(frozen=True, slots=True)
class PlatformClients:
    """The clients of one platform, on shared connections."""

    table: HttpTable
    objects: HttpObjects
    instances: HttpInstanceList
    weights: HttpWeightStore
    caller: HttpCaller

    def close(self) -> None:
        """Close connections that are not in use."""
        self.caller.close()


def open_platform(endpoint: Endpoint) -> PlatformClients:
    """Make the clients of the platform at an endpoint."""
    caller = HttpCaller(endpoint)
    return PlatformClients(
        HttpTable(caller),
        HttpObjects(caller),
        HttpInstanceList(caller),
        HttpWeightStore(caller),
        caller,
    )


def _target(path: str, **query: str) -> str:
    return f"{path}?{urlencode(query)}"


def _get(caller: HttpCaller, target: str) -> Result[HttpReply, ReadError]:
    called = caller.call("GET", target)
    if called.is_ok():
        return Ok(called.ok)
    return Error(Unavailable(called.error.reason, False))


def _get_json(
    caller: HttpCaller, target: str
) -> Result[dict[str, Any], ReadError]:
    called = _get(caller, target)
    if called.is_error():
        return Error(called.error)
    if called.ok.status != HTTPStatus.OK:
        return Error(_failure(called.ok, changes=False))
    try:
        doc = json.loads(called.ok.body)
    except ValueError as exc:
        return Error(_bad_answer(exc))
    if not isinstance(doc, dict):
        return Error(Unavailable("bad answer: not an object", False))
    return Ok(doc)


def _bad_answer(exc: Exception) -> Unavailable:
    return Unavailable(f"bad answer: {exc!r}", False)


def _failure(reply: HttpReply, changes: bool) -> Unavailable | Throttled:
    """Turn an answer that is no result into an error.

    :param changes: whether the call was one that changes something
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
    return Unavailable(reason, maybe_applied=changes and not refused)


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
