"""Stand-in for an engine of the platform, over HTTP."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
import random
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.platform import headers as names
from mulberrypass.platform.ingress import Reply, send_reply
from mulberrypass.platform.stand_in.site import (
    ITEM_PATHS,
    KEY_PREFIX,
    RESUMABLE_PATH,
)
from mulberrypass.runtime.connection import END_WITH_CONNECTION
from mulberrypass.runtime.in_flight import CallCounter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

RESPONSE_STAMP = names.RESPONSE_STAMP
INSTANCE_ID = names.INSTANCE_ID
RESUMABLE_PATHS = (*ITEM_PATHS, RESUMABLE_PATH)
# Each 0.6 s some engines are 2.5 times slower for a moment.
MOMENT_EVERY_S = 0.6
MOMENT_S = 0.3
MOMENT_PROBABILITY = 0.4
MOMENT_SLOWNESS = 2.5


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
    :param keyed: ids of the requests that bore a customer's key
    :param customers: names of customers in the requests, by id; an empty
        one where none is named
    """

    runs: Counter[str] = field(default_factory=Counter)
    began: list[tuple[float, str]] = field(default_factory=list)
    resumed: dict[str, list[int]] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    paths: dict[str, str] = field(default_factory=dict)
    closed: list[str] = field(default_factory=list)
    said: list[tuple[float, str]] = field(default_factory=list)
    keyed: list[str] = field(default_factory=list)
    customers: dict[str, set[str]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)


class EngineApp(CallCounter):
    """Streams events that depend only on the request id.

    :param event_s: seconds between two events
    :param moments: seed of the moments in which it is slower; ``None`` for
        an even speed
    """

    def __init__(
        self,
        name: str,
        events: int = 5,
        event_s: float = 0.0,
        moments: str | None = None,
    ) -> None:
        super().__init__()
        self.name = name
        self.events = events
        self.event_s = event_s
        self.moments = moments
        self.faults = EngineFaults()
        self.log = EngineLog()

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        body = environ["wsgi.input"].read()
        expected = _header(environ, names.EXPECT_INSTANCE)
        request_id = _header(environ, names.REQUEST_ID)
        self._note_customer(environ, request_id)
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

    def _note_customer(self, environ: dict[str, Any], request_id: str) -> None:
        """Note whose request it is said to be, also if it is refused."""
        keyed = bool(_header(environ, names.CUSTOMER_KEY)) or any(
            KEY_PREFIX in str(value)
            for name, value in environ.items()
            if name.startswith("HTTP_")
        )
        with self.log.lock:
            if keyed:
                self.log.keyed.append(request_id)
            seen = self.log.customers.setdefault(request_id, set())
            seen.add(_header(environ, names.CUSTOMER))

    def _slowness(self) -> float:
        """Return how much longer work takes at this moment."""
        if self.moments is None:
            return 1.0
        number, since_s = divmod(time.monotonic(), MOMENT_EVERY_S)
        rng = random.Random(f"{self.moments}-{number:.0f}")
        slow = since_s < MOMENT_S and rng.random() < MOMENT_PROBABILITY
        return MOMENT_SLOWNESS if slow else 1.0

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
                (names.SERVER_LOAD, f"1,0,8,{100 * self._slowness():.0f}"),
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
                    time.sleep(self.event_s * self._slowness())
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
