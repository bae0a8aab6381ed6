"""WSGI apps for callers' requests, address look-ups and readiness."""

from __future__ import annotations

import contextlib
from http import HTTPStatus
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from mulberrypass.platform.headers import read_request
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    Failed,
    NoRoute,
    QuotaExceeded,
    Refused,
    TruncatedAnswerError,
    Unauthorized,
    Unservable,
)
from mulberrypass.runtime.connection import END_WITH_CONNECTION
from mulberrypass.runtime.http import ClosingChunks, read_body
from mulberrypass.runtime.in_flight import CallCounter
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import (
        Callable,
        Generator,
        Iterable,
        Iterator,
        Mapping,
    )

    from mulberrypass.relay.api import (
        Headers,
        Relay,
        RelayEvent,
        RelayRequest,
    )

LOG = get_logger(__name__)
JSON_HEADER = ("Content-Type", "application/json")
MAX_ADDRESSES = 64


class FrontApp(CallCounter):
    """Answers callers' requests, and their calls about batch jobs.

    :param batch_jobs: answers calls about batch jobs, and returns ``None``
        for any other request
    """

    def __init__(
        self,
        relay: Relay,
        batch_jobs: Callable[[RelayRequest], Reply | None],
    ) -> None:
        super().__init__()
        self._relay = relay
        self._batch_jobs = batch_jobs

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        self.enter()
        try:
            chunks = self._answer(environ, start_response)
        except BaseException:
            self.leave()
            raise
        return ClosingChunks(chunks, self.leave)

    def _answer(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterator[bytes]:
        req = _request(environ)
        reply = self._batch_jobs(req)
        if reply is not None:
            return send_reply(reply, start_response)
        disconnected = environ.get("waitress.client_disconnected", _never)
        events = self._relay.run(req, disconnected)
        unframe = environ.get(END_WITH_CONNECTION, _nothing)
        return _chunks(events, start_response, unframe)


class Reply:
    """A complete response that doesn't come from an engine.

    :param retry_after_s: delay after which a retry may succeed
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        retry_after_s: float | None = None,
        content_type: str = JSON_HEADER[1],
    ) -> None:
        self.status = status
        self.body = body
        self.headers = [("Content-Type", content_type)]
        if retry_after_s is not None:
            self.headers.append(("Retry-After", f"{retry_after_s:.3f}"))


def json_reply(value: object, status: int = HTTPStatus.OK) -> Reply:
    """Create a JSON response."""
    return Reply(status, json.dumps(value).encode())


class AddressApp(CallCounter):
    """Tells callers which addresses to connect to.

    :param addresses: returns the addresses for a zone, the best first
    :param ttl_s: how long callers may cache an answer
    """

    def __init__(
        self, addresses: Callable[[str], tuple[str, ...]], ttl_s: float
    ) -> None:
        super().__init__()
        self._addresses = addresses
        self._ttl_s = ttl_s

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        if environ["PATH_INFO"] != "/resolve":
            return send_reply(Reply(HTTPStatus.NOT_FOUND), start_response)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        addresses = self._addresses(query.get("Zone", [""])[0])
        if not addresses:
            reply = Reply(HTTPStatus.SERVICE_UNAVAILABLE)
            return send_reply(reply, start_response)
        doc = {"Addresses": addresses[:MAX_ADDRESSES], "TtlS": self._ttl_s}
        return send_reply(json_reply(doc), start_response)


class TextApp(CallCounter):
    """Serves one document at one path.

    :param read: returns the document
    """

    def __init__(
        self, path: str, content_type: str, read: Callable[[], bytes]
    ) -> None:
        super().__init__()
        self._path = path
        self._content_type = content_type
        self._read = read

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        if environ["PATH_INFO"] != self._path:
            return send_reply(Reply(HTTPStatus.NOT_FOUND), start_response)
        reply = Reply(
            HTTPStatus.OK, self._read(), content_type=self._content_type
        )
        return send_reply(reply, start_response)


class ReadyApp(CallCounter):
    """Answers the platform's readiness checks.

    :param not_ready: returns why the process isn't ready, or an empty string
    """

    def __init__(self, not_ready: Callable[[], str]) -> None:
        super().__init__()
        self._not_ready = not_ready

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        if environ["PATH_INFO"] != "/readyz":
            return send_reply(Reply(HTTPStatus.NOT_FOUND), start_response)
        reason = self._not_ready()
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        return send_reply(
            json_reply({"reason": reason}, status), start_response
        )


def _request(environ: dict[str, Any]) -> RelayRequest:
    headers = _headers(environ)
    return read_request(
        environ["REQUEST_METHOD"],
        environ.get("REQUEST_URI") or environ["PATH_INFO"],
        headers,
        read_body(environ),
    )


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    """Return the headers as sent, keyed by name in lower case."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if environ.get(name):
            headers[name.replace("_", "-").lower()] = environ[name]
    return headers


def _chunks(
    events: Generator[RelayEvent, None, None],
    start_response: Any,
    unframe: Callable[[], None],
) -> Iterator[bytes]:
    """Start the response with the first event and yield its body.

    :param unframe: lets only the end of the connection end the response
    """
    with contextlib.closing(events):
        first = next(events)
        reply = _reply(first)
        if reply is not None:
            yield from send_reply(reply, start_response)
            return
        assert isinstance(first, AnswerHead)
        length = first.length
        if first.ends_with_connection:
            length = None
            unframe()
        _start(start_response, first.status, first.headers, length)
        for event in _abort_if_truncated(events):
            assert isinstance(event, AnswerBody)
            yield event.data


def _abort_if_truncated(events: Iterator[RelayEvent]) -> Iterator[RelayEvent]:
    """Close the connection if the answer is truncated.

    Raises a socket error, on which the server closes the connection.
    """
    try:
        yield from events
    except TruncatedAnswerError as exc:
        raise ConnectionAbortedError(str(exc))


def _reply(event: RelayEvent) -> Reply | None:
    """Return the response to a request that no engine has answered."""
    match event:
        case Refused(reason=reason, retry_after_s=retry_after_s):
            body = json.dumps({"reason": reason, "ran": "no"}).encode()
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return Reply(status, body, retry_after_s)
        case Unservable(reason=reason):
            # Callers come back after 503, and not where work must not run
            # twice after this status.
            doc = {"reason": reason, "ran": "no"}
            return json_reply(doc, HTTPStatus.BAD_GATEWAY)
        case NoRoute():
            return json_reply({"reason": "no_route"}, HTTPStatus.NOT_FOUND)
        case Unauthorized():
            doc = {"reason": "unknown_key", "ran": "no"}
            return json_reply(doc, HTTPStatus.UNAUTHORIZED)
        case QuotaExceeded(retry_after_s=retry_after_s):
            body = json.dumps({"reason": "quota", "ran": "no"}).encode()
            status = HTTPStatus.TOO_MANY_REQUESTS
            return Reply(status, body, retry_after_s)
        case Failed(reason=reason, late=late):
            status = (
                HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
            )
            return json_reply({"reason": reason, "ran": "maybe"}, status)
        case _:
            return None


def send_reply(reply: Reply, start_response: Any) -> Iterator[bytes]:
    """Send a complete response to a WSGI request."""
    _start(start_response, reply.status, tuple(reply.headers), len(reply.body))
    return iter((reply.body,))


def _start(
    start_response: Any, status: int, headers: Headers, length: int | None
) -> None:
    out = [(k, v) for k, v in headers if k.lower() != "content-length"]
    if length is not None:
        out.append(("Content-Length", str(length)))
    start_response(_status_line(status), out)


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _never() -> bool:
    return False


def _nothing() -> None:
    pass


__all__ = [
    "AddressApp",
    "FrontApp",
    "ReadyApp",
    "Reply",
    "TextApp",
    "json_reply",
    "send_reply",
]
