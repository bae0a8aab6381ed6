"""The HTTP border that programs share: routes, problems and a server."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from http import HTTPStatus
import json
import re
import socket
import threading
import time
from typing import TYPE_CHECKING, Any, Protocol, cast
from urllib.parse import parse_qsl, unquote

from waitress.channel import HTTPChannel
import waitress.server
from waitress.task import WSGITask

from mulberrypass.runtime.dispatcher import PooledDispatcher
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping
    from typing import BinaryIO

    from mulberrypass.model.outcome import Ran

LOG = get_logger(__name__)
JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
MAX_HEADER_BYTES = 32_768
DRAIN_POLL_S = 0.02
FLUSH_S = 0.25


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with a body of known size.

    :param params: values of the route's named parts
    :param headers: names in lower case
    :param disconnected: whether the client has gone
    """

    method: str
    path: str
    params: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: BinaryIO
    body_bytes: int
    disconnected: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    body: bytes
    status: int = HTTPStatus.OK
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Streamed:
    """An answer that is sent as it is made.

    :param chunks: closed when the client goes or the answer ends
    """

    chunks: Iterator[bytes]
    content_type: str
    status: int = HTTPStatus.OK
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Problem:
    """An error answer after RFC 9457.

    :param code: stable name of the kind of error
    :param ran: whether the refused work ran, where that is a question
    :param retry_after_s: seconds after which a retry may succeed
    :param extra: further members of the document
    """

    status: int
    code: str
    detail: str
    ran: Ran | None = None
    retry_after_s: float | None = None
    extra: Mapping[str, Any] = field(default_factory=dict)

    def document(self) -> dict[str, Any]:
        """Give the members of the problem document."""
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
        """Give the HTTP answer that carries the document."""
        headers: tuple[tuple[str, str], ...] = ()
        if self.retry_after_s is not None:
            seconds = max(1, round(self.retry_after_s + 0.5))
            headers = (("Retry-After", str(seconds)),)
        body = json.dumps(self.document()).encode()
        return Answer(body, self.status, PROBLEM_TYPE, headers)


Reply = Answer | Streamed | Problem


@dataclass(frozen=True, slots=True)
class Route:
    """Requests with a method and a path, and what answers them.

    :param pattern: path in which ``{name}`` stands for one segment
    """

    method: str
    pattern: str
    handler: Callable[[Request], Reply]


def json_answer(
    value: Any,
    status: int = HTTPStatus.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
    """Give a JSON answer."""
    return Answer(json.dumps(value).encode(), status, JSON_TYPE, headers)


class WsgiApp:
    """Matches requests to routes and counts those in flight."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = [(_compile(r.pattern), r) for r in routes]
        self._lock = threading.Lock()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests that have started and have not been answered whole."""
        with self._lock:
            return self._in_flight

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        with self._lock:
            self._in_flight += 1
        try:
            reply = self._reply(environ)
        except BaseException:
            self._done()
            raise
        return self._send(reply, start_response)

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
        self, route: Route, environ: dict[str, Any], params: dict[str, str]
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
        self, reply: Answer | Streamed, start_response: Any
    ) -> Iterable[bytes]:
        status = f"{int(reply.status)} {HTTPStatus(reply.status).phrase}"
        headers = [("Content-Type", reply.content_type), *reply.headers]
        if isinstance(reply, Answer):
            headers.append(("Content-Length", str(len(reply.body))))
            start_response(status, headers)
            return ClosingChunks(iter((reply.body,)), self._done)
        start_response(status, headers)
        return ClosingChunks(reply.chunks, self._done)

    def _done(self) -> None:
        with self._lock:
            self._in_flight -= 1


class ClosingChunks:
    """Chunks of an answer; calls back when it is over, exactly once.

    A generator would not do: one that is closed before its first chunk
    runs no ``finally``.
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
        """Close the chunks, then call back."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._done()


def _channel_class(closing: threading.Event) -> type[HTTPChannel]:
    """Give a kind of connection that ends after an answer when told to."""

    class ClosingTask(WSGITask):
        def build_response_header(self) -> bytes:
            if closing.is_set():
                self.set_close_on_finish()
            return bytes(super().build_response_header())

    class ClosingChannel(HTTPChannel):
        task_class = ClosingTask

    return ClosingChannel


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


def _never() -> bool:
    return False


class ServedApp(Protocol):
    """A WSGI application that counts what it has not answered yet."""

    @property
    def in_flight(self) -> int:
        """Requests that have started and have not been answered whole."""

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer one request."""


class HttpServer:
    """Serves an application on its own accept queue and thread pool.

    :param threads: answers being made at once
    :param max_body_bytes: larger bodies are refused before they are read
    :param idle_s: a connection that sends nothing for so long is closed
    """

    def __init__(
        self,
        app: ServedApp,
        host: str,
        port: int,
        threads: int,
        max_body_bytes: int,
        idle_s: int = 60,
    ) -> None:
        self._app = app
        self._closing = threading.Event()
        self._server = cast("Any", waitress.server.create_server)(
            app,
            _dispatcher=PooledDispatcher(f"http-{port}", threads),
            host=host,
            port=port,
            backlog=1_024,
            connection_limit=2_000,
            channel_timeout=idle_s,
            cleanup_interval=max(1, min(30, idle_s // 2)),
            channel_request_lookahead=1,
            max_request_body_size=max_body_bytes,
            max_request_header_size=MAX_HEADER_BYTES,
            clear_untrusted_proxy_headers=True,
            asyncore_use_poll=True,
            log_socket_errors=False,
            ident=None,
        )
        self._server.channel_class = _channel_class(self._closing)
        self._thread = threading.Thread(
            target=self._server.run, name=f"http-{port}", daemon=True
        )

    @property
    def port(self) -> int:
        """The port that is served, also where 0 was asked for."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def close_kept(self) -> None:
        """End each kept connection with its next answer, and say so."""
        self._closing.set()

    def stop(self, grace_s: float) -> bool:
        """Finish what is in flight, then close.

        :param grace_s: seconds after which what is in flight is cut off
        :returns: whether nothing was cut off
        """
        deadline = time.monotonic() + grace_s
        self._refuse_connections()
        self._drain(deadline)
        # Answers reach their sockets, and connections that were kept open
        # may bring one request more.
        time.sleep(FLUSH_S)
        whole = self._drain(deadline)
        self._server.close()
        return whole

    def _refuse_connections(self) -> None:
        """Stop to listen at once; closing alone takes a poll's time."""
        listening = self._server.socket
        if listening is not None:
            with contextlib.suppress(OSError):
                listening.shutdown(socket.SHUT_RDWR)

    def _drain(self, deadline: float) -> bool:
        while self._app.in_flight and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_S)
        return self._app.in_flight == 0


__all__ = [
    "Answer",
    "ClosingChunks",
    "HttpServer",
    "JSON_TYPE",
    "PROBLEM_TYPE",
    "Problem",
    "Reply",
    "Request",
    "Route",
    "Streamed",
    "WsgiApp",
    "json_answer",
]
