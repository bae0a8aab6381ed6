"""Pooled HTTP connections to a backend server, with deadlines."""

from __future__ import annotations

from collections import deque
import contextlib
from dataclasses import dataclass
from email.errors import MissingHeaderBodySeparatorDefect
import http.client
import json
import re
import select
import socket
import threading
import time
from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from mulberrypass.runtime.bounded import MAX_FRAMING_BYTES, ReadBound, bind
from mulberrypass.runtime.sockets import keep_alive

if TYPE_CHECKING:
    from collections.abc import Mapping
    from email.message import Message
    import ssl

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
MAX_IDLE_S = 20.0
# Bounds the memory for the ids of the requests on a connection.
MAX_REQUESTS_PER_CONNECTION = 512
MAX_ANSWER_BYTES = 8_388_608
MAX_ERROR_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
FIRST_FINAL_STATUS = 200
UNPROCESSABLE = 422
LENGTH = re.compile(r"[0-9]+")
CUT = EngineFailed("cut", Ran.MAYBE, resumable=True, closed=True)
JSON_HEADERS = {"Content-Type": "application/json"}


class WireError(Exception):
    """A call failed before its answer was complete.

    :param failed: the failure to report to the caller
    :param unanswered: whether no byte of an answer was received
    """

    def __init__(self, failed: EngineFailed, unanswered: bool = False) -> None:
        super().__init__(failed.reason)
        self.failed = failed
        self.unanswered = unanswered


@dataclass(frozen=True, slots=True)
class Deadline:
    """The time after which an answer is of no use.

    :param at: seconds on the monotonic clock
    """

    at: float

    @classmethod
    def after(cls, seconds: float) -> Deadline:
        """Return the deadline that is ``seconds`` from now."""
        return cls(time.monotonic() + seconds)

    def within(self, seconds: float) -> Deadline:
        """Return this deadline or one ``seconds`` from now, if earlier."""
        return Deadline(min(self.at, time.monotonic() + seconds))

    def left_s(self) -> float:
        """Return the seconds left.

        :raises WireError: if the deadline has passed
        """
        left = self.at - time.monotonic()
        if left <= 0:
            raise WireError(
                EngineFailed("deadline", Ran.MAYBE, resumable=True)
            )
        return max(left, MIN_TIMEOUT_S)


class Exchange:
    """One request and its answer on a connection.

    :param reused: whether the connection has had an earlier request
    """

    def __init__(
        self,
        pool: ConnectionPool,
        conn: http.client.HTTPConnection,
        reused: bool = False,
    ) -> None:
        self.reused = reused
        self._pool = pool
        self._conn = conn
        self._sock: socket.socket = conn.sock
        self._bound = ReadBound()
        self._resp: http.client.HTTPResponse | None = None
        self._lock = threading.Lock()
        self._shut_down = False
        self._released = False

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        assert self._resp is not None
        return self._resp.status

    @property
    def head(self) -> Message:
        """Headers of the answer."""
        assert self._resp is not None
        return self._resp.headers

    @property
    def length(self) -> int | None:
        """Bytes of the body still to be read, if known."""
        assert self._resp is not None
        return self._resp.length

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        assert self._resp is not None
        return self._resp.length is None and not self._resp.chunked

    def shut_down(self) -> None:
        """Shut the socket down, so that blocked reads and writes fail.

        Does nothing once the exchange has ended, as its connection may
        carry another one by then.
        """
        with self._lock:
            if self._released:
                return
            self._shut_down = True
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline: Deadline,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send the request and read the head of the answer.

        :param headers: replace the default headers of a JSON body
        :raises WireError: if either fails
        """
        if headers is None:
            headers = {} if body is None else JSON_HEADERS
        self._bound.allow(deadline.at, MAX_FRAMING_BYTES)
        bind(self._conn, self._bound)
        try:
            self._sock.settimeout(deadline.left_s())
            self._conn.request(method, path, body, dict(headers))
            self._resp = self._conn.getresponse()
            if self._resp.status < FIRST_FINAL_STATUS:
                raise http.client.BadStatusLine(str(self._resp.status))
            _check_framing(self._resp.headers)
        except TimeoutError:
            raise WireError(
                EngineFailed("deadline", Ran.MAYBE, resumable=True)
            )
        except (OSError, http.client.HTTPException) as exc:
            failed = EngineFailed(
                f"no answer: {type(exc).__name__}",
                Ran.MAYBE,
                resumable=True,
                closed=True,
            )
            raise WireError(failed, unanswered=not self._bound.received)

    def read_some(self, size: int, deadline: Deadline) -> bytes:
        """Read the next part of the body; empty at its end.

        :raises WireError: if the read fails, the deadline passes or
            ``shut_down`` was called before the end
        """
        assert self._resp is not None
        deadline.left_s()
        self._bound.allow(
            deadline.at, size + MAX_FRAMING_BYTES, not self._resp.chunked
        )
        try:
            data = self._resp.read1(size)
        except TimeoutError:
            raise WireError(
                EngineFailed("deadline", Ran.MAYBE, resumable=True)
            )
        except (OSError, ValueError, http.client.HTTPException):
            raise WireError(CUT)
        if not data and self._shut_down and self.ends_with_connection:
            # The engine may not have ended it.
            raise WireError(CUT)
        return data

    def read_whole(self, limit: int, deadline: Deadline) -> bytes:
        """Read the rest of the body.

        :raises WireError: if it is truncated or longer than the limit
        """
        assert self._resp is not None
        expected = self._resp.length
        parts: list[bytes] = []
        size = 0
        while True:
            part = self.read_some(limit + 1 - size, deadline)
            if not part:
                break
            parts.append(part)
            size += len(part)
            if size > limit:
                raise WireError(EngineFailed("answer too large", Ran.MAYBE))
        if expected is not None and size < expected:
            raise WireError(CUT)
        return b"".join(parts)

    def finish(self) -> None:
        """Reuse the connection if the answer is complete, else close it."""
        with self._lock:
            self._released = True
        resp = self._resp
        if resp is None or self._conn.sock is None or self._shut_down:
            self.close()
            return
        if not resp.isclosed() and resp.length != 0:
            self.close()
            return
        resp.close()
        if self._bound.surplus:
            self.close()
        else:
            self._pool.put(self._conn)

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            self._released = True
        if self._resp is not None:
            self._resp.close()
        self._conn.close()


class ConnectionPool:
    """Idle connections to one backend server, reused last in, first out.

    :param address: IP address and port
    :param ssl_context: for TLS; ``None`` for plain HTTP
    """

    def __init__(
        self,
        address: str,
        ssl_context: ssl.SSLContext | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._ssl = ssl_context
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._closed = False
        self._idle: deque[tuple[float, http.client.HTTPConnection]] = deque()
        self._request_ids: WeakKeyDictionary[
            http.client.HTTPConnection, set[str]
        ] = WeakKeyDictionary()

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline: Deadline,
        repeatable: bool,
    ) -> Exchange:
        """Send a request and read the head of its answer.

        :param repeatable: whether to send the request again if a pooled
            connection returned no answer
        :raises WireError: if it fails
        """
        conn = self.take_idle()
        pooled = conn is not None
        exchange = Exchange(self, conn or self._connect(deadline))
        try:
            exchange.send(method, path, body, deadline)
            return exchange
        except WireError as exc:
            exchange.close()
            if not (pooled and repeatable and exc.unanswered):
                raise
        exchange = Exchange(self, self._connect(deadline))
        try:
            exchange.send(method, path, body, deadline)
        except WireError:
            exchange.close()
            raise
        return exchange

    def open(self, deadline: Deadline, request_id: str) -> Exchange:
        """Return an exchange on an idle connection or a new one.

        The connection has carried no request with this id before: an engine
        may repeat an earlier answer, which only the id tells apart.

        :raises WireError: if connecting fails; nothing ran
        """
        conn = self.take_idle(request_id)
        reused = conn is not None
        if conn is None:
            conn = self._connect(deadline)
        with self._lock:
            self._request_ids.setdefault(conn, set()).add(request_id)
        return Exchange(self, conn, reused)

    def put(self, conn: http.client.HTTPConnection) -> None:
        """Return a connection to the pool after a complete answer."""
        now = time.monotonic()
        unused = []
        with self._lock:
            while self._idle and now - self._idle[0][0] >= MAX_IDLE_S:
                unused.append(self._idle.popleft()[1])
            full = len(self._idle) >= MAX_IDLE_CONNECTIONS
            carried = len(self._request_ids.get(conn, ()))
            worn = carried >= MAX_REQUESTS_PER_CONNECTION
            if not (self._closed or full or worn):
                self._idle.append((now, conn))
            else:
                unused.append(conn)
        for each in unused:
            each.close()

    def close(self) -> None:
        """Close idle connections; those in use close after their answer."""
        with self._lock:
            self._closed = True
            idle = list(self._idle)
            self._idle.clear()
        for _, conn in idle:
            conn.close()

    def take_idle(
        self, request_id: str | None = None
    ) -> http.client.HTTPConnection | None:
        """Remove and return an idle connection that is still open, if any.

        :param request_id: leave those that have carried it before
        """
        while True:
            with self._lock:
                entry = self._latest_without(request_id)
                if entry is None:
                    return None
                self._idle.remove(entry)
            since, conn = entry
            fresh = time.monotonic() - since < MAX_IDLE_S
            if fresh and _is_reusable(conn):
                return conn
            conn.close()

    def _latest_without(
        self, request_id: str | None
    ) -> tuple[float, http.client.HTTPConnection] | None:
        for entry in reversed(self._idle):
            if request_id not in self._request_ids.get(entry[1], ()):
                return entry
        return None

    def _connect(self, deadline: Deadline) -> http.client.HTTPConnection:
        timeout = min(
            self._connect_timeout_s, _remaining_before_send(deadline)
        )
        conn: http.client.HTTPConnection
        if self._ssl is None:
            conn = http.client.HTTPConnection(
                self._host, self._port, timeout=timeout
            )
        else:
            conn = http.client.HTTPSConnection(
                self._host, self._port, timeout=timeout, context=self._ssl
            )
        try:
            conn.connect()
            keep_alive(conn.sock)
        except OSError as exc:
            conn.close()
            reason = f"no connection: {type(exc).__name__}"
            raise WireError(EngineFailed(reason, Ran.NO))
        return conn


def parse_failure(status: int, body: bytes) -> EngineFailed:
    """Return the failure that an error answer describes."""
    reason = f"status {status}"
    ran = Ran.MAYBE
    try:
        doc = json.loads(body)
    except ValueError:
        doc = None
    if isinstance(doc, dict):
        reason = str(doc.get("code", reason))
        reported_ran = doc.get("ran")
        if reported_ran in (Ran.NO, Ran.YES):
            ran = Ran(reported_ran)
    permanent = status == UNPROCESSABLE
    return EngineFailed(reason, ran, status=status, permanent=permanent)


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    :raises WireError: if the body is not a JSON object
    """
    try:
        doc = json.loads(body)
    except ValueError:
        doc = None
    if not isinstance(doc, dict):
        raise WireError(EngineFailed("wrong answer", Ran.MAYBE))
    return doc


def _check_framing(head: Message) -> None:
    """Check that a head tells where the body ends, or names no end at all.

    What can't be read counts as no length otherwise, and so as a body that
    the connection ends.

    :raises HTTPException: if it can't be read
    """
    # The lines after one that is no header are left out of the head.
    for defect in head.defects:
        if isinstance(defect, MissingHeaderBodySeparatorDefect):
            raise http.client.HTTPException("a line that is no header")
    codings = head.get_all("Transfer-Encoding", [])
    if codings:
        if [coding.lower() for coding in codings] != ["chunked"]:
            raise http.client.HTTPException("an unknown transfer coding")
        return
    lengths = {text.strip() for text in head.get_all("Content-Length", [])}
    if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        raise http.client.HTTPException("an unreadable length")


def _is_reusable(conn: http.client.HTTPConnection) -> bool:
    """Return whether an idle connection is open and has no unread data."""
    if conn.sock is None:
        return False
    poll = select.poll()
    poll.register(conn.sock, select.POLLIN)
    return not poll.poll(0)


def _remaining_before_send(deadline: Deadline) -> float:
    try:
        return deadline.left_s()
    except WireError:
        raise WireError(EngineFailed("deadline", Ran.NO))


__all__ = [
    "CUT",
    "ConnectionPool",
    "Deadline",
    "Exchange",
    "MAX_ANSWER_BYTES",
    "MAX_ERROR_BYTES",
    "WireError",
    "decode_object",
    "parse_failure",
]
