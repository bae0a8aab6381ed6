"""A stand-in for one of the site's engines, over HTTP."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.platform import headers as names
from mulberrypass.platform.ingress import Reply, whole
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

STAMP = "X-Mulberrypass-Response-Stamp"
INSTANCE_ID = "X-Mulberrypass-Instance-Id"


@dataclass(slots=True)
class EngineFaults:
    """What goes wrong.

    :param full: requests are refused as not run
    :param status: requests are answered with this status, after they ran
    :param cut_after: streams are cut after so many events
    :param skip: leaves this event out of streams
    :param other_id: answers carry the id of another request
    """

    full: bool = False
    status: int = 0
    cut_after: int | None = None
    skip: int | None = None
    other_id: bool = False


@dataclass(slots=True)
class EngineLog:
    """What the engine has done.

    :param runs: how often each request began to run, by its id
    :param resumed: after which event it went on, by its id
    :param began: when each run began, by a monotonic clock, and its id
    """

    runs: Counter[str] = field(default_factory=Counter)
    began: list[tuple[float, str]] = field(default_factory=list)
    resumed: dict[str, list[int]] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    paths: dict[str, str] = field(default_factory=dict)
    closed: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)


class EngineApp(CallCounter):
    """Streams events for each request, the same ones for the same id.

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
        """Answer one WSGI request."""
        body = environ["wsgi.input"].read()
        expected = _header(environ, names.EXPECT_INSTANCE)
        request_id = _header(environ, names.REQUEST_ID)
        if expected and expected != self.name:
            reply = Reply(HTTPStatus.MISDIRECTED_REQUEST)
            reply.headers.append((INSTANCE_ID, self.name))
            return whole(reply, start_response)
        if self.faults.full:
            reply = Reply(HTTPStatus.SERVICE_UNAVAILABLE)
            reply.headers.append((names.NOT_RUN, "1"))
            reply.headers.append((names.REQUEST_ID, request_id))
            return whole(reply, start_response)
        with self.log.lock:
            self.log.runs[request_id] += 1
            self.log.began.append((time.monotonic(), request_id))
            self.log.bodies[request_id] = body
            self.log.paths[request_id] = environ["REQUEST_URI"]
        if self.faults.status:
            reply = Reply(self.faults.status, b"failed")
            reply.headers.append((names.REQUEST_ID, request_id))
            return whole(reply, start_response)
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
        said = "another" if self.faults.other_id else request_id
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                (names.REQUEST_ID, said),
                (STAMP, f"stamp-{request_id}"),
                (names.SERVER_LOAD, "1,0,8,100"),
            ],
        )
        return self._events(request_id, first)

    def _events(self, request_id: str, first: int) -> Iterator[bytes]:
        made = 0
        try:
            for number in range(first, self.events + 1):
                if self.faults.cut_after == made:
                    raise ConnectionAbortedError("cut")
                if self.event_s:
                    time.sleep(self.event_s)
                made += 1
                if number != self.faults.skip:
                    yield event(request_id, number)
        except GeneratorExit:
            with self.log.lock:
                self.log.closed.append(request_id)
            raise


def event(request_id: str, number: int) -> bytes:
    """Give the bytes of one event of a request."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def output(request_id: str, events: int) -> str:
    """Give the whole output of a request."""
    numbers = range(1, events + 1)
    return "\n".join(f"{request_id}-{number}" for number in numbers)


def _header(environ: dict[str, Any], name: str) -> str:
    key = "HTTP_" + name.upper().replace("-", "_")
    return str(environ.get(key, ""))


__all__ = ["EngineApp", "EngineFaults", "EngineLog", "event", "output"]
