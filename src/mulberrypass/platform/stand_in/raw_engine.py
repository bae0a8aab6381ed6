"""Stand-in for an engine that misbehaves below the level of HTTP."""

from __future__ import annotations

from collections import Counter, deque
import contextlib
from dataclasses import dataclass, field
from http import HTTPStatus
import socket
import struct
import threading
import time

from mulberrypass.model.value_class import value_class
from mulberrypass.platform import headers as names
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import (
    INSTANCE_ID,
    RESPONSE_STAMP,
    event,
)

SERVER_LIMIT = "Server-Limit"
SERVER_LEAVING = "Server-Leaving"
ERROR_TEXT = "the engine failed"
HEAD_END = b"\r\n\r\n"
READ_BYTES = 65_536
BACKLOG = 64
# Closing with a linger time of 0 resets a connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@value_class
class RunEnd:
    """How one run ends.

    :param events: number of events that it writes; ``None`` for all
    :param more: bytes that it writes of the event after them
    :param reset: whether it resets its connection instead of ending it
    :param unframed: whether its answer has neither a length nor chunks
    :param again: whether it writes its whole answer once more
    :param gone: whether its engine takes no connections from then on
    """

    events: int | None = None
    more: int = 0
    reset: bool = False
    unframed: bool = True
    again: bool = False
    gone: bool = False


@dataclass(slots=True)
class RawFaults:
    """How the engine misbehaves.

    :param crash_parts: parts of a prompt on which it ends as soon as it
        begins to write the answer
    :param crash_bodies: bodies of requests that do the same
    :param limit: requests per second that it says it takes; ``None`` to name
        no limit
    :param refusals: number of requests to refuse as not run, each refusal
        being written once more when the next request arrives
    :param ids_in_refusals: whether refusals carry the id of their request
    :param head_bytes: bytes of the head after which it closes
    :param unframed: whether only the end of the connection ends its answers
    :param break_after: bytes of the events after which it closes
    :param resumed_bytes: the same of requests that resume a stream
    :param error: status of its answers to requests that resume a stream
    :param failures: number of requests to run and answer with status 500
    :param unstamped: number of requests to answer with a framed success that
        has one event and no stamp
    :param repeated: whether each answer is written once more when the next
        request arrives on its connection
    :param ends: how the next runs end, in order, whatever engine runs them;
        later ones end as the other faults say
    """

    crash_parts: frozenset[str] = frozenset()
    crash_bodies: frozenset[bytes] = frozenset()
    limit: str | None = None
    refusals: int = 0
    ids_in_refusals: bool = False
    head_bytes: int | None = None
    unframed: bool = False
    break_after: int | None = None
    resumed_bytes: int | None = None
    error: int | None = None
    failures: int = 0
    unstamped: int = 0
    repeated: bool = False
    ends: deque[RunEnd] = field(default_factory=deque)


class _Answer:
    """An answer that is written to a connection.

    :param unframed: whether only the end of the connection ends it
    """

    def __init__(self, sock: socket.socket, unframed: bool) -> None:
        self._sock = sock
        self.unframed = unframed
        self.written = b""

    def sendall(self, data: bytes) -> None:
        """Send part of the answer."""
        self.written += data
        self._sock.sendall(data)

    def reset_on_close(self) -> None:
        """Let the connection be reset when it is closed."""
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )


@value_class
class RawRequest:
    """A request as received.

    :param at: when its head was complete, on the monotonic clock
    """

    at: float
    headers: dict[str, str]
    body: bytes = b""

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.headers.get(names.REQUEST_ID.lower(), "")

    @property
    def parts(self) -> tuple[str, ...]:
        """The ids of the parts of its prompt."""
        text = self.headers.get(names.PROMPT_PREFIX.lower(), "")
        return tuple(entry.partition(":")[0] for entry in text.split(","))


@dataclass(slots=True)
class RawEngine:
    """Streams events on raw sockets, a thread for each connection.

    :param at: where it listens; port 0 for any free port
    :param event_s: seconds between two events
    :param leaving: what its answers say of whether it leaves; ``None`` to
        say nothing
    :ivar said_at: when it first said so, on the monotonic clock
    :ivar requests: all requests received
    :ivar runs: number of runs of each request, by its id
    :ivar ended: whether it has crashed or was stopped
    """

    name: str
    at: HostPort
    events: int = 3
    event_s: float = 0.0
    faults: RawFaults = field(default_factory=RawFaults)
    leaving: str | None = None
    said_at: float | None = None
    requests: list[RawRequest] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    ended: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _open: set[socket.socket] = field(default_factory=set)
    _listening: socket.socket | None = None

    def start(self) -> None:
        """Start accepting connections."""
        self._listening = socket.create_server(
            (self.at.host, self.at.port), backlog=BACKLOG
        )
        port = self._listening.getsockname()[1]
        self.at = HostPort(self.at.host, port)
        threading.Thread(target=self._accept, daemon=True).start()

    def end(self) -> None:
        """End as a crash does: reset all connections, refuse new ones."""
        with self._lock:
            self.ended.set()
            self._stop_listening()
            for conn in self._open:
                with contextlib.suppress(OSError):
                    conn.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                    conn.shutdown(socket.SHUT_RDWR)
                    conn.close()
            self._open.clear()

    def _stop_listening(self) -> None:
        if self._listening is not None:
            with contextlib.suppress(OSError):
                self._listening.shutdown(socket.SHUT_RDWR)
            self._listening.close()

    def _accept(self) -> None:
        assert self._listening is not None
        while not self.ended.is_set():
            try:
                conn, _ = self._listening.accept()
            except OSError:
                return
            with self._lock:
                self._open.add(conn)
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        late = b""
        with contextlib.suppress(OSError), sock:
            while (req := _read_request(sock)) is not None:
                self.requests.append(req)
                sock.sendall(late)
                answer = _Answer(sock, self.faults.unframed)
                refusal = self._refusal(req)
                if refusal:
                    answer.sendall(refusal)
                elif not self._answer(answer, req):
                    break
                repeated = self.faults.repeated or refusal
                late = answer.written if repeated else b""
        with self._lock:
            self._open.discard(sock)

    def _refusal(self, req: RawRequest) -> bytes:
        """Return a refusal if one is due."""
        with self._lock:
            if self.faults.refusals <= 0:
                return b""
            self.faults.refusals -= 1
        lines = [
            "HTTP/1.1 503 Service Unavailable",
            "Content-Length: 0",
            f"{names.NOT_RUN}: 1",
        ]
        if self.faults.ids_in_refusals:
            lines.append(f"{names.REQUEST_ID}: {req.request_id}")
        self._say_leaving(lines)
        return _head(lines)

    def _answer(self, answer: _Answer, req: RawRequest) -> bool:
        """Run a request; return whether the connection goes on."""
        self.runs[req.request_id] += 1
        if self._is_due("failures"):
            answer.sendall(self._error(req, HTTPStatus.INTERNAL_SERVER_ERROR))
            return True
        after = req.headers.get(names.LAST_EVENT_ID.lower())
        if self._is_due("unstamped"):
            answer.sendall(_unstamped(req, int(after or 0) + 1))
            return True
        if after is not None and self.faults.error is not None:
            answer.sendall(self._error(req, self.faults.error))
            return True
        end = self._next_end()
        if end is not None:
            answer.unframed = end.unframed
        head = self._head(req, answer.unframed)
        if self.faults.head_bytes is not None:
            answer.sendall(head[: self.faults.head_bytes])
            return False
        answer.sendall(head)
        if self._crashes(req):
            self.end()
            return False
        return self._send_events(answer, req, int(after or 0) + 1, end)

    def _is_due(self, fault: str) -> bool:
        """Return whether a fault that is counted down is due."""
        with self._lock:
            left = getattr(self.faults, fault)
            if left <= 0:
                return False
            setattr(self.faults, fault, left - 1)
            return True

    def _next_end(self) -> RunEnd | None:
        with self._lock:
            ends = self.faults.ends
            return ends.popleft() if ends else None

    def _crashes(self, req: RawRequest) -> bool:
        if self.faults.crash_parts.intersection(req.parts):
            return True
        return req.body in self.faults.crash_bodies

    def _send_events(
        self, answer: _Answer, req: RawRequest, first: int, end: RunEnd | None
    ) -> bool:
        left = self.faults.break_after
        if first > 1:
            left = self.faults.resumed_bytes
        for number in range(first, self.events + 1):
            time.sleep(self.event_s)
            data = event(req.request_id, number)
            if end is not None and end.events == number - first:
                return self._end_early(answer, data, end)
            if left is not None and len(data) > left:
                answer.sendall(_framed(answer, data[:left]))
                return False
            answer.sendall(_framed(answer, data))
            left = None if left is None else left - len(data)
        if end is not None and end.reset:
            return self._end_early(answer, b"", end)
        if not answer.unframed:
            answer.sendall(_chunk(b""))
        if end is not None and end.again:
            answer.sendall(answer.written)
        return not answer.unframed

    def _end_early(self, answer: _Answer, data: bytes, end: RunEnd) -> bool:
        """End a run before this event; its connection doesn't go on."""
        if end.more:
            answer.sendall(_framed(answer, data[: end.more]))
            time.sleep(self.event_s)
        if end.gone:
            self._stop_listening()
        if end.reset:
            answer.reset_on_close()
        return False

    def _error(self, req: RawRequest, status: int) -> bytes:
        text = ERROR_TEXT.encode()
        lines = [
            f"HTTP/1.1 {status} Failed",
            f"Content-Length: {len(text)}",
            f"{names.REQUEST_ID}: {req.request_id}",
        ]
        self._say_leaving(lines)
        return _head(lines) + text

    def _head(self, req: RawRequest, unframed: bool) -> bytes:
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"{names.REQUEST_ID}: {req.request_id}",
            f"{INSTANCE_ID}: {self.name}",
            f"{RESPONSE_STAMP}: stamp-{req.request_id}",
        ]
        if not unframed:
            lines.append("Transfer-Encoding: chunked")
        if self.faults.limit is not None:
            lines.append(f"{SERVER_LIMIT}: {self.faults.limit}")
        self._say_leaving(lines)
        return _head(lines)

    def _say_leaving(self, lines: list[str]) -> None:
        if self.leaving is not None:
            lines.append(f"{SERVER_LEAVING}: {self.leaving}")
            self.said_at = self.said_at or time.monotonic()


def _read_request(conn: socket.socket) -> RawRequest | None:
    """Read one request with its body; ``None`` at the end."""
    data = b""
    while HEAD_END not in data:
        part = conn.recv(READ_BYTES)
        if not part:
            return None
        data += part
    head, _, body = data.partition(HEAD_END)
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    at = time.monotonic()
    size = int(headers.get("content-length", 0))
    while len(body) < size:
        part = conn.recv(READ_BYTES)
        if not part:
            return None
        body += part
    return RawRequest(at, headers, body)


def _unstamped(req: RawRequest, number: int) -> bytes:
    """Return an answer with one event, which looks whole but for its stamp."""
    data = event(req.request_id, number)
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"Content-Length: {len(data)}",
        f"{names.REQUEST_ID}: {req.request_id}",
    ]
    return _head(lines) + data


def _head(lines: list[str]) -> bytes:
    return "\r\n".join(lines).encode() + HEAD_END


def _framed(answer: _Answer, data: bytes) -> bytes:
    return data if answer.unframed else _chunk(data)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


__all__ = ["ERROR_TEXT", "RawEngine", "RawFaults", "RawRequest", "RunEnd"]
