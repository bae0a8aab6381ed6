"""HTTP API of batch jobs, which the platform calls lots."""

from __future__ import annotations

import base64
import binascii
from dataclasses import replace
from http import HTTPStatus
import json
import re
from typing import TYPE_CHECKING, Annotated
from urllib.parse import parse_qs, unquote

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.alias_generators import to_pascal

from mulberrypass.model.batch_jobs import (
    BatchItem,
    ItemState,
    JobIdTaken,
    NewJob,
    NoSuchJob,
    OverQuota,
    StoreUnavailable,
)
from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.headers import (
    LAST_EVENT_ID,
    REQUEST_ID,
    read_request,
)
from mulberrypass.platform.ingress import Reply, json_reply
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from mulberrypass.batches.manager import BatchJobManager
    from mulberrypass.model.batch_jobs import JobHead
    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.directory import Directory

LOG = get_logger(__name__)
LOT_PATH = re.compile(r"/lots/([^/]+)")
ITEM_PATH = re.compile(r"/items/([^/]+)")
POSITION = re.compile(r"[0-9]{1,9}")
# What an HTTP client can send.
ITEM_ID = r"^[!-~]([ -~]*[!-~])?$"
TARGET = r"^[!-~]+$"
HEADER_NAME = r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$"
HEADER_VALUE = r"^[\t -~\x80-\xff]*$"
MAX_ITEMS = 200
# The results of a page, encoded; callers take pages of 1 MB.
MAX_PAGE_BYTES = 900_000
MAX_TOKENS = 1_000_000_000
RETRY_AFTER_S = 0.3
QUOTA_RETRY_AFTER_S = 1.0
MAX_ID_LENGTH = 150
OCTET_STREAM = "application/octet-stream"
STATE_NAMES = {
    ItemState.COMPLETED: "completed",
    ItemState.ABANDONED: "dead_lettered",
}


class _Item(BaseModel):
    model_config = ConfigDict(extra="ignore", alias_generator=to_pascal)

    id: str = Field(max_length=MAX_ID_LENGTH, pattern=ITEM_ID)
    path: str = Field(pattern=TARGET)
    headers: dict[
        Annotated[str, Field(pattern=HEADER_NAME)],
        Annotated[str, Field(pattern=HEADER_VALUE)],
    ] = Field(default_factory=dict)
    body: str = ""
    tokens: int = Field(default=0, ge=0, le=MAX_TOKENS)


class _Lot(BaseModel):
    model_config = ConfigDict(extra="ignore", alias_generator=to_pascal)

    items: list[_Item] = Field(max_length=MAX_ITEMS)


class BatchJobApi:
    """Handles callers' requests about batch jobs."""

    def __init__(self, manager: BatchJobManager, directory: Directory) -> None:
        self._manager = manager
        self._directory = directory

    def handle(self, req: RelayRequest) -> Reply | None:
        """Answer a request; ``None`` if it isn't about batch jobs."""
        table = self._directory.routes()
        lot = LOT_PATH.fullmatch(req.path)
        item = ITEM_PATH.fullmatch(req.path)
        about_lot = lot is not None and req.method in ("GET", "DELETE")
        if about_lot or (item is not None and req.method == "GET"):
            if table.version == 0:
                return _error_reply(StoreUnavailable("no configuration"))
            found = self._manager.identify(req.host, req.key)
            if found.is_error():
                return self._unknown_key(req)
            caller = found.ok
            if item is not None:
                return self._item_body(req, unquote(item[1]), caller)
            assert lot is not None
            if req.method == "GET":
                return self._results(req, unquote(lot[1]), caller)
            return self._cancel(req, unquote(lot[1]), caller)
        route = table.find(req.host, req.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        if req.method != "POST":
            return json_reply(
                {"reason": "a batch job is handed in by POST"},
                HTTPStatus.METHOD_NOT_ALLOWED,
            )
        owner = self._manager.identify_owner(req.host, req.path, req.key)
        if owner.is_error():
            return self._unknown_key(req)
        return self._submit(req, owner.ok)

    def _unknown_key(self, req: RelayRequest) -> Reply:
        LOG.info(
            "unknown key",
            id=req.request_id,
            path=req.path,
            version=self._directory.routes().version,
        )
        doc = {"reason": "unknown_key"}
        return json_reply(doc, HTTPStatus.UNAUTHORIZED)

    def _submit(self, req: RelayRequest, customer: str | None) -> Reply:
        try:
            job = read_job(req, customer)
        except ValueError as exc:
            doc = {"reason": str(exc)}
            return json_reply(doc, HTTPStatus.BAD_REQUEST)
        submitted = self._manager.submit(job)
        if submitted.is_ok():
            return json_reply({"Id": job.job_id}, HTTPStatus.ACCEPTED)
        match submitted.error:
            case OverQuota(waiting_tokens=waiting):
                refusal = {"reason": "quota", "waiting": waiting}
                body = json.dumps(refusal).encode()
                return Reply(
                    HTTPStatus.TOO_MANY_REQUESTS, body, QUOTA_RETRY_AFTER_S
                )
            case NoSuchJob():
                doc = {"reason": "no_route"}
                return json_reply(doc, HTTPStatus.NOT_FOUND)
            case JobIdTaken():
                doc = {"reason": "the id is taken"}
                return json_reply(doc, HTTPStatus.CONFLICT)
            case StoreUnavailable() as lost:
                return _submit_error_reply(lost)

    def _results(
        self, req: RelayRequest, job_id: str, caller: str | None
    ) -> Reply:
        after = _read_after(req)
        if after is None:
            doc = {"reason": "After is not a position"}
            return json_reply(doc, HTTPStatus.BAD_REQUEST)
        # Encoded, an output is at least as long.
        read = self._manager.results(
            req.host, job_id, after, MAX_PAGE_BYTES, caller
        )
        if read.is_error():
            return _error_reply(read.error)
        results: list[dict[str, str]] = []
        size = 0
        for outcome in read.ok.outcomes:
            result = {
                "Id": outcome.item_id,
                "State": STATE_NAMES[outcome.state],
                "Output": outcome.output,
            }
            size += len(json.dumps(result))
            if results and size > MAX_PAGE_BYTES:
                break
            results.append(result)
        return json_reply(
            {
                "Total": read.ok.total,
                "Results": results,
                "Next": after + len(results),
            }
        )

    def _cancel(
        self, req: RelayRequest, job_id: str, caller: str | None
    ) -> Reply:
        cancelled = self._manager.end(req.host, job_id, caller)
        if cancelled.is_error():
            return _error_reply(cancelled.error)
        return json_reply({})

    def _item_body(
        self, req: RelayRequest, job_id: str, caller: str | None
    ) -> Reply:
        query = parse_qs(req.target.partition("?")[2])
        item_id = query.get("Id", [""])[0]
        read = self._manager.body(req.host, job_id, item_id, caller)
        if read.is_error():
            return _error_reply(read.error)
        return Reply(HTTPStatus.OK, read.ok, content_type=OCTET_STREAM)


def read_job(req: RelayRequest, customer: str | None = None) -> NewJob:
    """Read a new batch job from a request.

    :param customer: whose job it is, see ``NewJob``
    :raises ValueError: if it is invalid; the message names the field
    """
    if not req.request_id or len(req.request_id) > MAX_ID_LENGTH:
        raise ValueError("the request id is missing or too long")
    if "/" in req.request_id:
        raise ValueError("the request id holds a slash")
    try:
        lot = _Lot.model_validate_json(req.body)
    except ValidationError as exc:
        error = exc.errors()[0]
        field = ".".join(map(str, error["loc"]))
        raise ValueError(f"{field}: {error['msg']}")
    items = tuple(map(_read_item, lot.items))
    if len({item.item_id for item in items}) != len(items):
        raise ValueError("two items have the same Id")
    return NewJob(req.request_id, req.host, req.path, items, customer)


def item_request(
    head: JobHead, item: BatchItem, after: int | None
) -> RelayRequest:
    """Build the request that runs an item.

    :param after: number of the last stored event; the stream resumes after it
    """
    headers = {name.lower(): value for name, value in item.headers}
    headers["host"] = head.host
    headers[REQUEST_ID.lower()] = item.item_id
    if after is not None:
        headers[LAST_EVENT_ID.lower()] = str(after)
    req = read_request("POST", item.path, headers, item.body)
    # The job may have been accepted with a key that is withdrawn by now.
    return replace(req, customer=head.customer)


def _read_item(item: _Item) -> BatchItem:
    try:
        body = base64.b64decode(item.body, validate=True)
    except binascii.Error:
        raise ValueError(f"item {item.id}: Body is not base64")
    headers = tuple(item.headers.items())
    return BatchItem(item.id, item.path, headers, body, item.tokens)


def _read_after(req: RelayRequest) -> int | None:
    query = parse_qs(req.target.partition("?")[2])
    text = query.get("After", ["0"])[0]
    return int(text) if POSITION.fullmatch(text) else None


def _error_reply(error: NoSuchJob | StoreUnavailable) -> Reply:
    match error:
        case NoSuchJob():
            doc = {"reason": "no_such_job"}
            return json_reply(doc, HTTPStatus.NOT_FOUND)
        case StoreUnavailable(reason=reason):
            body = json.dumps({"reason": reason}).encode()
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, body, RETRY_AFTER_S)


def _submit_error_reply(lost: StoreUnavailable) -> Reply:
    """Return 503 only if the job is surely not stored.

    A 503 promises callers that nothing runs.
    """
    body = json.dumps({"reason": lost.reason}).encode()
    if lost.maybe_done:
        return Reply(HTTPStatus.BAD_GATEWAY, body)
    return Reply(HTTPStatus.SERVICE_UNAVAILABLE, body, RETRY_AFTER_S)


__all__ = ["BatchJobApi", "item_request", "read_job"]
