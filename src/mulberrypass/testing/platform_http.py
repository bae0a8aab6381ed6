"""HTTP server of the platform stand-in."""

from __future__ import annotations

import dataclasses
import hmac
from http import HTTPStatus
import json
import re
from typing import TYPE_CHECKING, Any

from mulberrypass.model.store import (
    MAX_SCAN_ROWS,
    Conflict,
    Exists,
    Missing,
    Throttled,
    Unavailable,
)
from mulberrypass.platform.wire import (
    WireError,
    listed_from_json,
    listed_to_json,
    op_from_json,
    page_to_json,
    row_to_json,
)
from mulberrypass.runtime.http import (
    Answer,
    HttpRoute,
    Problem,
    Streamed,
    WsgiApp,
    json_answer,
)
from mulberrypass.testing.platform_faults import CallFault, Faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.runtime.http import Reply, Request
    from mulberrypass.testing.platform_state import FakePlatform

OCTET_STREAM = "application/octet-stream"
LOST_REPLY_BYTES = 64
RANGE_PATTERN = re.compile(r"bytes=(\d+)-(\d*)")


class PlatformApp:
    """Routes of the stand-in.

    :param key: bearer key required of every caller; empty for none
    """

    def __init__(self, platform: FakePlatform, key: str = "") -> None:
        self._platform = platform
        self._key = key

    def wsgi(self) -> WsgiApp:
        """Return the WSGI application."""
        routes = (
            ("POST", "/table/transact", self._transact),
            ("GET", "/table/row", self._read),
            ("GET", "/table/scan", self._scan),
            ("PUT", "/objects", self._put_object),
            ("GET", "/objects", self._get_object),
            ("DELETE", "/objects", self._delete_object),
            ("GET", "/instances", self._instances),
            ("POST", "/weights/reserve", self._reserve),
            ("PUT", "/admin/instances", self._set_instances),
            ("PUT", "/admin/faults", self._set_faults),
            ("GET", "/admin/faults", self._get_faults),
            ("GET", "/admin/counters", self._counters),
            ("GET", "/admin/rows", self._all_rows),
            ("GET", "/admin/history", self._history),
            ("GET", "/admin/objects", self._object_keys),
        )
        return WsgiApp(
            HttpRoute(method, path, self._authorized(handler))
            for method, path, handler in routes
        )

    def _authorized(
        self, handler: Callable[[Request], Reply]
    ) -> Callable[[Request], Reply]:
        def authorized(req: Request) -> Reply:
            given = req.headers.get("authorization", "")
            expected = f"Bearer {self._key}" if self._key else given
            if not hmac.compare_digest(given.encode(), expected.encode()):
                return Problem(401, "unknown_key", "unknown platform key")
            try:
                return handler(req)
            except (WireError, KeyError, TypeError, ValueError) as exc:
                return Problem(400, "bad_request", repr(exc))

        return authorized

    def _transact(self, req: Request) -> Reply:
        ops = tuple(op_from_json(doc) for doc in _body(req)["ops"])
        result = self._platform.transact(ops)
        if result.is_error():
            return _error_reply(result.error)
        return json_answer({"versions": result.ok.versions})

    def _read(self, req: Request) -> Reply:
        result = self._platform.read(req.query["table"], req.query["key"])
        if result.is_error():
            return _error_reply(result.error)
        return json_answer({"row": row_to_json(result.ok)})

    def _scan(self, req: Request) -> Reply:
        limit = int(req.query.get("limit", MAX_SCAN_ROWS))
        result = self._platform.scan(
            req.query["table"],
            req.query.get("prefix", ""),
            req.query.get("after", ""),
            max(1, min(limit, MAX_SCAN_ROWS)),
        )
        if result.is_error():
            return _error_reply(result.error)
        return json_answer(page_to_json(result.ok))

    def _put_object(self, req: Request) -> Reply:
        data = req.body.read(req.body_bytes)
        result = self._platform.put_object(req.query["key"], data)
        if result.is_error():
            return _error_reply(result.error)
        return json_answer({}, HTTPStatus.CREATED)

    def _get_object(self, req: Request) -> Reply:
        result = self._platform.get_object(req.query["key"])
        if result.is_error():
            return _error_reply(result.error)
        return _range_reply(result.ok, req.headers.get("range", ""))

    def _delete_object(self, req: Request) -> Reply:
        result = self._platform.delete_object(req.query["key"])
        if result.is_error():
            return _error_reply(result.error)
        return json_answer({})

    def _instances(self, _req: Request) -> Reply:
        result = self._platform.listed()
        if result.is_error():
            return _error_reply(result.error)
        entries = [listed_to_json(entry) for entry in result.ok]
        return json_answer({"entries": entries})

    def _reserve(self, req: Request) -> Reply:
        doc = _body(req)
        result = self._platform.reserve(doc["weights"], doc["size_bytes"])
        if result.is_error():
            return _error_reply(result.error)
        return json_answer({"start_in_s": result.ok})

    def _set_instances(self, req: Request) -> Reply:
        doc = _body(req)
        at_once = bool(doc.get("at_once", False))
        listed = {e.name: e for e in self._platform.latest_listed()}
        match doc:
            case {"entries": list(entries)}:
                changed = [listed_from_json(entry) for entry in entries]
                listed = {entry.name: entry for entry in changed}
            case {"entry": dict(entry)}:
                one = listed_from_json(entry)
                listed[one.name] = one
            case {"remove": str(name)}:
                listed.pop(name, None)
            case _:
                raise WireError("entries, entry or remove is needed")
        self._platform.set_listed(listed.values(), at_once)
        return json_answer({"entries": len(listed)})

    def _set_faults(self, req: Request) -> Reply:
        doc = _body(req)
        script = [CallFault(name) for name in doc.pop("next_writes", ())]
        lose_next = int(doc.pop("lose_next", 0))
        if doc.pop("reset", False):
            self._platform.set_faults(Faults())
        faults = dataclasses.replace(self._platform.faults, **doc)
        self._platform.set_faults(faults)
        self._platform.script_writes(
            script + [CallFault.LOSE_REPLY] * lose_next
        )
        return json_answer(dataclasses.asdict(faults))

    def _get_faults(self, _req: Request) -> Reply:
        return json_answer(dataclasses.asdict(self._platform.faults))

    def _counters(self, _req: Request) -> Reply:
        return json_answer(dataclasses.asdict(self._platform.counters()))

    def _all_rows(self, req: Request) -> Reply:
        rows = self._platform.all_rows(req.query["table"])
        return json_answer({"rows": [row_to_json(row) for row in rows]})

    def _history(self, req: Request) -> Reply:
        rows = self._platform.rows.history(
            req.query["table"], req.query["key"]
        )
        return json_answer({"rows": [row_to_json(row) for row in rows]})

    def _object_keys(self, _req: Request) -> Reply:
        return json_answer({"keys": self._platform.object_keys()})


def _body(req: Request) -> dict[str, Any]:
    doc = json.loads(req.body.read(req.body_bytes))
    if not isinstance(doc, dict):
        raise WireError("not a JSON object")
    return doc


def _range_reply(data: bytes, header: str) -> Reply:
    match = RANGE_PATTERN.fullmatch(header)
    if match is None:
        return Answer(data, content_type=OCTET_STREAM)
    start = int(match[1])
    stop = int(match[2]) + 1 if match[2] else len(data)
    if start >= len(data):
        return Problem(
            HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE, "range", header
        )
    part = data[start:stop]
    content_range = f"bytes {start}-{start + len(part) - 1}/{len(data)}"
    headers = (("Content-Range", content_range),)
    return Answer(part, HTTPStatus.PARTIAL_CONTENT, OCTET_STREAM, headers)


def _error_reply(error: object) -> Reply:
    match error:
        case Conflict(index=index, found=found):
            doc = {"index": index, "found": row_to_json(found)}
            return json_answer(doc, HTTPStatus.CONFLICT)
        case Missing(key=key):
            return Problem(HTTPStatus.NOT_FOUND, "missing", key)
        case Exists(key=key):
            return Problem(HTTPStatus.PRECONDITION_FAILED, "exists", key)
        case Throttled(retry_after_s=wait_s):
            return Problem(
                HTTPStatus.TOO_MANY_REQUESTS,
                "throttled",
                "over the rate",
                retry_after_s=wait_s,
            )
        case Unavailable(reason=reason, maybe_applied=False):
            return Problem(
                HTTPStatus.SERVICE_UNAVAILABLE, "unavailable", reason
            )
    return _truncated_reply()


def _truncated_reply() -> Streamed:
    """Return an answer whose connection closes before it is complete."""
    headers = (("Content-Length", str(LOST_REPLY_BYTES)),)
    return Streamed(iter((b"",)), OCTET_STREAM, headers=headers)


__all__ = ["PlatformApp"]
