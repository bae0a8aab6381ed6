"""Small WSGI framework of the programs: routes, answers and problems."""

from __future__ import annotations

from dataclasses import field
from http import HTTPStatus
from io import BytesIO
import json
import re
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote

from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.in_flight import CallCounter
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping
    from typing import BinaryIO

    from mulberrypass.model.outcome import Ran

LOG = get_logger(__name__)
JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
# An answer bears the value of its request, whose sender tells it apart from
# an earlier answer that is written again.
CALL_ID = "X-Request-Id"
CALL_ID_KEY = "HTTP_X_REQUEST_ID"
CALL_ID_TEXT = re.compile(r"[0-9A-Za-z._-]{1,64}")


@value_class
class Request:
    """An HTTP request with a body of known size.

    :param params: values of the path parameters
    :param headers: names in lower case
    :param disconnected: whether the client has disconnected
    """

    method: str
    path: str
    params: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: BinaryIO
    body_bytes: int
    disconnected: Callable[[], bool]


@value_class
class Answer:
    """An HTTP answer with a complete body."""

    body: bytes
    status: int = HTTPStatus.OK
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


@value_class
class Streamed:
    """An HTTP answer that is sent as it is generated.

    :param chunks: closed when the client disconnects or the answer ends
    """

    chunks: Iterator[bytes]
    content_type: str
    status: int = HTTPStatus.OK
    headers: tuple[tuple[str, str], ...] = ()


@value_class
class Problem:
    """An error answer as in RFC 9457.

    :param code: stable identifier of the error type
    :param ran: whether the refused work ran; ``None`` if not applicable
    :param retry_after_s: seconds after which a retry may succeed
    :param extra: additional members of the document
    """

    status: int
    code: str
    detail: str
    ran: Ran | None = None
    retry_after_s: float | None = None
    extra: Mapping[str, Any] = field(default_factory=dict)

    def document(self) -> dict[str, Any]:
        """Return the members of the problem document."""
        doc: dict[str, Any] = {
            "type": f"urn:mulberrypass:problem:{self.code}",
            "title": HTTPStatus(self.status).phrase,
            "status": int(self.status),
            "code": self.code,
            "detail": self.detail,
        }
        if self.ran is not None:
            doc["ran"] = self.ran.value
        if self.retry_after_s is not None:
            doc["retry_after_s"] = round(self.retry_after_s, 3)
        return doc | dict(self.extra)

    def answer(self) -> Answer:
        """Return the HTTP answer with the problem document."""
        headers: tuple[tuple[str, str], ...] = ()
        if self.retry_after_s is not None:
            seconds = max(1, round(self.retry_after_s + 0.5))
            headers = (("Retry-After", str(seconds)),)
        body = json.dumps(self.document()).encode()
        return Answer(body, self.status, PROBLEM_TYPE, headers)


Reply = Answer | Streamed | Problem


@value_class
class HttpRoute:
    """A handler for requests with a method and path.

    :param pattern: path; ``{name}`` matches one segment
    """

    method: str
    pattern: str
    handler: Callable[[Request], Reply]


def json_answer(
    value: Any,
    status: int = HTTPStatus.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
    """Return a JSON answer."""
    return Answer(json.dumps(value).encode(), status, JSON_TYPE, headers)


class WsgiApp(CallCounter):
    """A WSGI application that routes requests and counts those in flight."""

    def __init__(self, routes: Iterable[HttpRoute]) -> None:
        super().__init__()
        self._routes = [(_compile(r.pattern), r) for r in routes]

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a WSGI request."""
        self.enter()
        try:
            reply = self._reply(environ)
        except BaseException:
            self.leave()
            raise
        call_id = environ.get(CALL_ID_KEY, "")
        known = CALL_ID_TEXT.fullmatch(call_id)
        extra = ((CALL_ID, call_id),) if known else ()
        return self._send(reply, extra, start_response)

    def _reply(self, environ: dict[str, Any]) -> Answer | Streamed:
        method = environ["REQUEST_METHOD"]
        path = environ.get("PATH_INFO", "/")
        allowed = []
        for pattern, route in self._routes:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            if route.method == method:
                return self._handle(route, environ, match.groupdict())
            allowed.append(route.method)
        if allowed:
            detail = f"{path} takes {', '.join(sorted(allowed))}"
            return Problem(
                HTTPStatus.METHOD_NOT_ALLOWED, "method_not_allowed", detail
            ).answer()
        return Problem(
            HTTPStatus.NOT_FOUND, "no_such_path", f"no path {path}"
        ).answer()

    def _handle(
        self, route: HttpRoute, environ: dict[str, Any], params: dict[str, str]
    ) -> Answer | Streamed:
        try:
            reply = route.handler(_request(environ, params))
        except Exception:
            LOG.exception("handler failed", path=route.pattern)
            reply = Problem(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                "internal",
                "the system met a fault of its own",
            )
        return reply.answer() if isinstance(reply, Problem) else reply

    def _send(
        self,
        reply: Answer | Streamed,
        extra: tuple[tuple[str, str], ...],
        start_response: Any,
    ) -> Iterable[bytes]:
        status = f"{int(reply.status)} {HTTPStatus(reply.status).phrase}"
        headers = [
            ("Content-Type", reply.content_type),
            *reply.headers,
            *extra,
        ]
        if isinstance(reply, Answer):
            headers.append(("Content-Length", str(len(reply.body))))
            start_response(status, headers)
            return ClosingChunks(iter((reply.body,)), self.leave)
        start_response(status, headers)
        return ClosingChunks(reply.chunks, self.leave)


class ClosingChunks:
    """Chunks of an answer, with a callback on close that runs exactly once.

    Not a generator, since one that is closed before its first chunk doesn't
    run its ``finally`` blocks.

    :param done: called after the chunks have been closed
    """

    def __init__(
        self, chunks: Iterator[bytes], done: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._done = done
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._chunks)

    def close(self) -> None:
        """Close the chunks, then run the callback."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._done()


def _compile(pattern: str) -> re.Pattern[str]:
    parts = re.split(r"\{(\w+)\}", pattern)
    regex = "".join(
        f"(?P<{part}>[^/]+)" if index % 2 else re.escape(part)
        for index, part in enumerate(parts)
    )
    return re.compile(regex)


def _request(environ: dict[str, Any], params: dict[str, str]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if environ.get(name):
            headers[name.replace("_", "-").lower()] = environ[name]
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        params={name: unquote(value) for name, value in params.items()},
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"],
        body_bytes=int(environ.get("CONTENT_LENGTH") or 0),
        disconnected=environ.get("waitress.client_disconnected", _never),
    )


def read_body(environ: dict[str, Any]) -> bytes:
    """Return the whole body of a request.

    The server keeps its own until the answer ends. Reading that would copy
    it, as it has room to spare; its value shares the bytes.
    """
    stream = environ["wsgi.input"]
    if isinstance(stream, BytesIO) and not stream.tell():
        return stream.getvalue()
    body: bytes = stream.read()
    return body


def _never() -> bool:
    return False


__all__ = [
    "Answer",
    "CALL_ID",
    "ClosingChunks",
    "JSON_TYPE",
    "PROBLEM_TYPE",
    "Problem",
    "Reply",
    "Request",
    "HttpRoute",
    "Streamed",
    "WsgiApp",
    "json_answer",
    "read_body",
]
