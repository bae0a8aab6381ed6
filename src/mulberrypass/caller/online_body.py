"""Validation of the bodies and headers of online requests."""

from __future__ import annotations

from http import HTTPStatus
import json
import re
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mulberrypass.model.objects import ServiceKind
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.http import Problem

if TYPE_CHECKING:
    from mulberrypass.model.objects import Service
    from mulberrypass.runtime.http import Request

MAX_BODY_BYTES = 1_048_576
MAX_KEY_CHARS = 200
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,200}")


class OnlineBody(BaseModel):
    """The JSON body of an online request."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    input: Any
    max_tokens: int | None = Field(default=None, ge=1)
    stream: bool = False


@value_class
class RequestOptions:
    """Options of a request, from its headers.

    :param timeout_s: seconds from now to the deadline
    :param key: idempotency key; empty if none was sent
    :param asynchronous: whether the caller will fetch the answer later
    """

    timeout_s: float
    key: str
    asynchronous: bool


def read_body(req: Request, service: Service) -> Result[OnlineBody, Problem]:
    """Parse and validate a request's body for a service."""
    raw = req.body.read(MAX_BODY_BYTES + 1)
    if len(raw) < req.body_bytes:
        return Error(
            _bad_request("cut_body", "the body ended before its length")
        )
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError):
        return Error(
            _bad_request("not_json", "the body must be JSON in UTF-8")
        )
    try:
        body = OnlineBody.model_validate(value)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        return Error(_bad_request("bad_field", f"{where}: {first['msg']}"))
    return _check_for_service(body, service)


def _check_for_service(
    body: OnlineBody, service: Service
) -> Result[OnlineBody, Problem]:
    if service.kind is ServiceKind.PLAIN:
        if body.stream or body.max_tokens is not None:
            detail = f"service {service.name!r} takes input alone"
            return Error(_bad_request("bad_field", detail))
        return Ok(body)
    if not isinstance(body.input, str) or not body.input.strip():
        return Error(
            _bad_request("bad_field", "input: must be text, not empty")
        )
    if body.stream and not service.streams:
        detail = f"stream: service {service.name!r} doesn't stream"
        return Error(_bad_request("bad_field", detail))
    asked = body.max_tokens or 0
    if asked > service.max_output_tokens:
        detail = f"max_tokens: at most {service.max_output_tokens}"
        return Error(_bad_request("bad_field", detail))
    return Ok(body)


def read_options(
    req: Request, service: Service
) -> Result[RequestOptions, Problem]:
    """Parse and validate the headers for deadline, key and mode."""
    given = req.headers.get("request-timeout-ms", str(service.timeout_ms))
    if not given.isascii() or not given.isdigit() or int(given) == 0:
        detail = "Request-Timeout-Ms: must be a whole number from 1"
        return Error(_bad_request("bad_header", detail))
    timeout_ms = min(int(given), service.max_timeout_ms)
    key = req.headers.get("idempotency-key", "")
    if key and _IDEMPOTENCY_KEY.fullmatch(key) is None:
        detail = (
            f"Idempotency-Key: at most {MAX_KEY_CHARS} printable "
            "ASCII characters without spaces"
        )
        return Error(_bad_request("bad_header", detail))
    prefer = req.headers.get("prefer", "")
    return Ok(
        RequestOptions(timeout_ms / 1_000, key, "respond-async" in prefer)
    )


def _bad_request(code: str, detail: str) -> Problem:
    return Problem(HTTPStatus.BAD_REQUEST, code, detail, Ran.NO)


__all__ = [
    "MAX_BODY_BYTES",
    "OnlineBody",
    "RequestOptions",
    "read_body",
    "read_options",
]
