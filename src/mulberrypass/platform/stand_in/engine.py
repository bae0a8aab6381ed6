"""Stand-in for an engine of the platform, over HTTP."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.platform import headers as names
from mulberrypass.platform.ingress import Reply, send_reply
from mulberrypass.platform.stand_in.site import BATCH_PATH, RESUMABLE_PATH
from mulberrypass.runtime.connection import END_WITH_CONNECTION
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

RESPONSE_STAMP = names.RESPONSE_STAMP
INSTANCE_ID = names.INSTANCE_ID
RESUMABLE_PATHS = (BATCH_PATH, RESUMABLE_PATH)


@dataclass(slots=True)
class EngineFaults:
    """Faults to inject.

    :param full: refuse requests as not run
    :param status: run requests, then answer with this error status
    :param cut_after: break streams off after this many events
    :param skip: number of an event to leave out of streams
    :param other_id: answer with the id of another request
    :param leaving: say in all answers that it leaves
    :param unframed: send streams with neither a length nor chunks
    :param ends_after: number of events after which a stream without framing
        ends with its connection, if the request may be resumed
    """

    full: bool = False
    status: int = 0
    cut_after: int | None = None
    skip: int | None = None
    other_id: bool = False
    leaving: bool = False
    unframed: bool = False
    ends_after: int | None = None


@dataclass(slots=True)
class EngineLog:
    """Record of what the engine has done.

    :param runs: number of runs of each request, by request id
    :param began: monotonic start time and request id of each run
    :param resumed: numbers of the events after which streams resumed, by id
    :param closed: ids of the requests whose streams the client closed
    :param said: times and request ids of the answers that said it leaves
    """

    runs: Counter[str] = field(default_factory=Counter)
    began: list[tuple[float, str]] = field(default_factory=list)
    resumed: dict[str, list[int]] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    paths: dict[str, str] = field(default_factory=dict)
    closed: list[str] = field(default_factory=list)
    said: list[tuple[float, str]] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)


class EngineApp(CallCounter):
    """Streams events that depend only on the request id.

    :param event_s: seconds between two events
    """

    def __init__(
        self, name: str, events: int = 5, event_s: float = 0.0
    ) -> None:
        super().__init__()
        self.name = name
        self.events = events
        self.event_s = event_s
        self.faults = EngineFaults()
        self.log = EngineLog()

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        body = environ["wsgi.input"].read()
        expected = _header(environ, names.EXPECT_INSTANCE)
        request_id = _header(environ, names.REQUEST_ID)
        if expected and expected != self.name:
            reply = Reply(HTTPStatus.MISDIRECTED_REQUEST)
            reply.headers.append((INSTANCE_ID, self.name))
            return send_reply(reply, start_response)
        if self.faults.full:
            reply = Reply(HTTPStatus.SERVICE_UNAVAILABLE)
            reply.headers.append((names.NOT_RUN, "1"))
            reply.headers.append((names.REQUEST_ID, request_id))
            reply.headers += self._leaving_headers(request_id)
            return send_reply(reply, start_response)
        with self.log.lock:
            self.log.runs[request_id] += 1
            self.log.began.append((time.monotonic(), request_id))
            self.log.bodies[request_id] = body
            self.log.paths[request_id] = environ["REQUEST_URI"]
        if self.faults.status:
            reply = Reply(self.faults.status, b"failed")
            reply.headers.append((names.REQUEST_ID, request_id))
            reply.headers += self._leaving_headers(request_id)
            return send_reply(reply, start_response)
        return self._stream(environ, request_id, start_response)

    def _stream(
        self, environ: dict[str, Any], request_id: str, start_response: Any
    ) -> Iterator[bytes]:
        after = _header(environ, names.LAST_EVENT_ID)
        first = int(after) + 1 if after else 1
        if after:
            with self.log.lock:
                resumed = self.log.resumed.setdefault(request_id, [])
                resumed.append(int(after))
        # Nobody can find out how much is missing of what runs once.
        may_end = environ["REQUEST_URI"].startswith(RESUMABLE_PATHS)
        ends_after = self.faults.ends_after if may_end else None
        if self.faults.unframed or ends_after is not None:
            environ[END_WITH_CONNECTION]()
        answer_id = "another" if self.faults.other_id else request_id
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                (names.REQUEST_ID, answer_id),
                (RESPONSE_STAMP, f"stamp-{request_id}"),
                (names.SERVER_LOAD, "1,0,8,100"),
                *self._leaving_headers(request_id),
            ],
        )
        return self._events(request_id, first, ends_after)

    def _leaving_headers(self, request_id: str) -> list[tuple[str, str]]:
        if not self.faults.leaving:
            return []
        with self.log.lock:
            self.log.said.append((time.monotonic(), request_id))
        return [(names.SERVER_LEAVING, names.LEAVING)]

    def _events(
        self, request_id: str, first: int, ends_after: int | None
    ) -> Iterator[bytes]:
        produced = 0
        try:
            for number in range(first, self.events + 1):
                if self.faults.cut_after == produced:
                    raise ConnectionAbortedError("cut")
                if ends_after == produced:
                    return
                if self.event_s:
                    time.sleep(self.event_s)
                produced += 1
                if number != self.faults.skip:
                    yield event(request_id, number)
        except GeneratorExit:
            with self.log.lock:
                self.log.closed.append(request_id)
            raise


def event(request_id: str, number: int) -> bytes:
    """Return an event of a request as it is sent."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def output(request_id: str, events: int) -> str:
    """Return the complete output of a request."""
    numbers = range(1, events + 1)
    return "\n".join(f"{request_id}-{number}" for number in numbers)


def _header(environ: dict[str, Any], name: str) -> str:
    key = "HTTP_" + name.upper().replace("-", "_")
    return str(environ.get(key, ""))


__all__ = ["EngineApp", "EngineFaults", "EngineLog", "event", "output"]
