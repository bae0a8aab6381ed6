"""The site's calls: addresses, readiness, requests and batch jobs."""

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
    Refused,
    TruncatedAnswerError,
)
from mulberrypass.runtime.http import ClosingChunks
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
JSON = ("Content-Type", "application/json")
MAX_ADDRESSES = 64


class FrontApp(CallCounter):
    """Answers requesters' calls: requests, and all about batch jobs.

    :param lots: answers calls about batch jobs; ``None`` from it means
        that the call is about something else
    """

    def __init__(
        self,
        relay: Relay,
        lots: Callable[[RelayRequest], Reply | None],
    ) -> None:
        super().__init__()
        self._relay = relay
        self._lots = lots

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
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
        reply = self._lots(req)
        if reply is not None:
            return whole(reply, start_response)
        gone = environ.get("waitress.client_disconnected", _never)
        events = self._relay.run(req, gone)
        return _chunks(events, start_response)


class Reply:
    """A whole answer of our own.

    :param retry_after_s: when a new attempt may succeed
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        retry_after_s: float | None = None,
        content_type: str = JSON[1],
    ) -> None:
        self.status = status
        self.body = body
        self.headers = [("Content-Type", content_type)]
        if retry_after_s is not None:
            self.headers.append(("Retry-After", f"{retry_after_s:.3f}"))


def json_reply(value: object, status: int = HTTPStatus.OK) -> Reply:
    """Give a JSON answer."""
    return Reply(status, json.dumps(value).encode())


class DirectoryApp(CallCounter):
    """Tells requesters where to connect.

    :param addresses: gives addresses, the best first
    :param ttl_s: how long an answer may be kept
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
        """Answer one WSGI request."""
        if environ["PATH_INFO"] != "/resolve":
            return whole(Reply(HTTPStatus.NOT_FOUND), start_response)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        found = self._addresses(query.get("Zone", [""])[0])
        if not found:
            reply = Reply(HTTPStatus.SERVICE_UNAVAILABLE)
            return whole(reply, start_response)
        doc = {"Addresses": found[:MAX_ADDRESSES], "TtlS": self._ttl_s}
        return whole(json_reply(doc), start_response)


class TextApp(CallCounter):
    """Shows one text at one path.

    :param read: gives the text
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
        """Answer one WSGI request."""
        if environ["PATH_INFO"] != self._path:
            return whole(Reply(HTTPStatus.NOT_FOUND), start_response)
        reply = Reply(
            HTTPStatus.OK, self._read(), content_type=self._content_type
        )
        return whole(reply, start_response)


class ReadyApp(CallCounter):
    """Tells the platform whether requesters are served.

    :param not_ready: says why not; empty where they are
    """

    def __init__(self, not_ready: Callable[[], str]) -> None:
        super().__init__()
        self._not_ready = not_ready

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        if environ["PATH_INFO"] != "/readyz":
            return whole(Reply(HTTPStatus.NOT_FOUND), start_response)
        reason = self._not_ready()
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        return whole(json_reply({"reason": reason}, status), start_response)


def _request(environ: dict[str, Any]) -> RelayRequest:
    headers = _headers(environ)
    return read_request(
        environ["REQUEST_METHOD"],
        environ.get("REQUEST_URI") or environ["PATH_INFO"],
        headers,
        environ["wsgi.input"].read(),
    )


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    """Give the headers as sent, by name in lower case."""
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
    events: Generator[RelayEvent, None, None], start_response: Any
) -> Iterator[bytes]:
    """Start the answer with its first event, and give its body."""
    with contextlib.closing(events):
        first = next(events)
        reply = _reply(first)
        if reply is not None:
            yield from whole(reply, start_response)
            return
        assert isinstance(first, AnswerHead)
        _start(start_response, first.status, first.headers, first.length)
        for event in _uncut(events):
            assert isinstance(event, AnswerBody)
            yield event.data


def _uncut(events: Iterator[RelayEvent]) -> Iterator[RelayEvent]:
    """Let a cut end the connection, as the server does on socket errors."""
    try:
        yield from events
    except TruncatedAnswerError as exc:
        raise ConnectionAbortedError(str(exc))


def _reply(event: RelayEvent) -> Reply | None:
    """Give the answer to a request that no engine has answered."""
    match event:
        case Refused(reason=reason, retry_after_s=retry_after_s):
            body = json.dumps({"reason": reason, "ran": "no"}).encode()
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return Reply(status, body, retry_after_s)
        case NoRoute():
            return json_reply({"reason": "no_route"}, HTTPStatus.NOT_FOUND)
        case Failed(reason=reason, late=late):
            status = (
                HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
            )
            return json_reply({"reason": reason, "ran": "maybe"}, status)
        case _:
            return None


def whole(reply: Reply, start_response: Any) -> Iterator[bytes]:
    """Answer a WSGI request with an answer of our own."""
    _start(start_response, reply.status, tuple(reply.headers), len(reply.body))
    return iter((reply.body,))


def _start(
    start_response: Any, status: int, headers: Headers, length: int | None
) -> None:
    sent = [(k, v) for k, v in headers if k.lower() != "content-length"]
    if length is not None:
        sent.append(("Content-Length", str(length)))
    start_response(_status_line(status), sent)


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _never() -> bool:
    return False


__all__ = [
    "DirectoryApp",
    "FrontApp",
    "ReadyApp",
    "Reply",
    "TextApp",
    "json_reply",
    "whole",
]
