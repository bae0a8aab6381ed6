"""HTTP connections to one backend server: pooled, bounded, with deadlines."""

from __future__ import annotations

from collections import deque
import contextlib
from dataclasses import dataclass
import http.client
import json
import select
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from mulberrypass.runtime.sockets import keep_alive

if TYPE_CHECKING:
    from collections.abc import Mapping
    from email.message import Message
    import ssl

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE = 64
MAX_IDLE_S = 20.0
MAX_ANSWER_BYTES = 8_388_608
MAX_ERROR_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
UNPROCESSABLE = 422
JSON_HEADERS = {"Content-Type": "application/json"}


class WireError(Exception):
    """A call failed before its answer was whole.

    :param failed: what the layers above are told
    :param unanswered: whether not one byte of an answer came
    """

    def __init__(self, failed: EngineFailed, unanswered: bool = False) -> None:
        super().__init__(failed.reason)
        self.failed = failed
        self.unanswered = unanswered


@dataclass(frozen=True, slots=True)
class Deadline:
    """A time after which a caller has no use for an answer.

    :param at: on the monotonic clock, in seconds
    """

    at: float

    @classmethod
    def after(cls, seconds: float) -> Deadline:
        """Give the deadline that is some seconds from now."""
        return cls(time.monotonic() + seconds)

    def within(self, seconds: float) -> Deadline:
        """Give the deadline that comes so soon from now, if not this one."""
        return Deadline(min(self.at, time.monotonic() + seconds))

    def left_s(self) -> float:
        """Give the seconds that are left.

        :raises WireError: where none are left
        """
        left = self.at - time.monotonic()
        if left <= 0:
            raise WireError(
                EngineFailed("deadline", Ran.MAYBE, resumable=True)
            )
        return max(left, MIN_TIMEOUT_S)


class Exchange:
    """One request that was sent, and its answer as it comes."""

    def __init__(
        self, pool: ConnectionPool, conn: http.client.HTTPConnection
    ) -> None:
        self._pool = pool
        self._conn = conn
        self._sock: socket.socket = conn.sock
        self._resp: http.client.HTTPResponse | None = None

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
        """Bytes of the body still to come, where that is known."""
        assert self._resp is not None
        return self._resp.length

    def shut_down(self) -> None:
        """End the connection under whatever waits on it."""
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
        """Send the request, and read the head of the answer.

        :param headers: in place of those of a JSON body
        :raises WireError: where either fails
        """
        if headers is None:
            headers = {} if body is None else JSON_HEADERS
        try:
            self._sock.settimeout(deadline.left_s())
            self._conn.request(method, path, body, dict(headers))
            self._sock.settimeout(deadline.left_s())
            self._resp = self._conn.getresponse()
        except TimeoutError:
            raise WireError(
                EngineFailed("deadline", Ran.MAYBE, resumable=True)
            )
        except (OSError, http.client.HTTPException) as exc:
            failed = EngineFailed(
                f"no answer: {type(exc).__name__}", Ran.MAYBE, resumable=True
            )
            raise WireError(failed, unanswered=True)

    def read_some(self, size: int, deadline: Deadline) -> bytes:
        """Read what has come of the body; empty at its end.

        :raises WireError: where the body is cut off
        """
        assert self._resp is not None
        try:
            self._sock.settimeout(deadline.left_s())
            return self._resp.read1(size)
        except TimeoutError:
            raise WireError(
                EngineFailed("deadline", Ran.MAYBE, resumable=True)
            )
        except (OSError, ValueError, http.client.HTTPException):
            raise WireError(EngineFailed("cut", Ran.MAYBE, resumable=True))

    def read_whole(self, limit: int, deadline: Deadline) -> bytes:
        """Read the rest of the body.

        :raises WireError: where it is cut off or longer than the limit
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
            raise WireError(EngineFailed("cut", Ran.MAYBE, resumable=True))
        return b"".join(parts)

    def finish(self) -> None:
        """Keep the connection if the answer is whole, else close it."""
        resp = self._resp
        if resp is None or self._conn.sock is None:
            self.close()
            return
        if not resp.isclosed() and resp.length != 0:
            self.close()
            return
        resp.close()
        self._pool.put(self._conn)

    def close(self) -> None:
        """Drop the connection."""
        if self._resp is not None:
            self._resp.close()
        self._conn.close()


class ConnectionPool:
    """Idle connections to one backend server; the last used goes first.

    :param address: IP number and port
    :param ssl_context: speaks TLS where it is given
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

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline: Deadline,
        repeatable: bool,
    ) -> Exchange:
        """Send a request and read the head of its answer.

        :param repeatable: whether it may be sent again where a pooled
            connection gave no answer
        :raises WireError: where it fails
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

    def open(self, deadline: Deadline) -> Exchange:
        """Give an exchange on an idle connection, or on a new one.

        :raises WireError: where there is none to be had; nothing ran
        """
        conn = self.take_idle()
        return Exchange(self, conn or self._connect(deadline))

    def put(self, conn: http.client.HTTPConnection) -> None:
        """Take back a connection whose answer was read whole."""
        now = time.monotonic()
        with self._lock:
            if not self._closed and len(self._idle) < MAX_IDLE:
                self._idle.append((now, conn))
                return
        conn.close()

    def close(self) -> None:
        """Close idle connections; those in use close when they end."""
        with self._lock:
            self._closed = True
            idle = list(self._idle)
            self._idle.clear()
        for _, conn in idle:
            conn.close()

    def take_idle(self) -> http.client.HTTPConnection | None:
        """Take an idle connection that is still open, if there is one."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                since, conn = self._idle.pop()
            fresh = time.monotonic() - since < MAX_IDLE_S
            if fresh and _is_quiet(conn):
                return conn
            conn.close()

    def _connect(self, deadline: Deadline) -> http.client.HTTPConnection:
        timeout = min(self._connect_timeout_s, _left_before_send(deadline))
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


def refusal(status: int, body: bytes) -> EngineFailed:
    """Read what an error answer says of whether the work ran."""
    reason = f"status {status}"
    ran = Ran.MAYBE
    try:
        doc = json.loads(body)
    except ValueError:
        doc = None
    if isinstance(doc, dict):
        reason = str(doc.get("code", reason))
        said = doc.get("ran")
        if said in (Ran.NO, Ran.YES):
            ran = Ran(said)
    permanent = status == UNPROCESSABLE
    return EngineFailed(reason, ran, status=status, permanent=permanent)


def decode_object(body: bytes) -> dict[str, Any]:
    """Read a JSON object.

    :raises WireError: where it is none
    """
    try:
        doc = json.loads(body)
    except ValueError:
        doc = None
    if not isinstance(doc, dict):
        raise WireError(EngineFailed("wrong answer", Ran.MAYBE))
    return doc


def _is_quiet(conn: http.client.HTTPConnection) -> bool:
    """Whether an idle connection has neither been closed nor sent to."""
    if conn.sock is None:
        return False
    poll = select.poll()
    poll.register(conn.sock, select.POLLIN)
    return not poll.poll(0)


def _left_before_send(deadline: Deadline) -> float:
    try:
        return deadline.left_s()
    except WireError:
        raise WireError(EngineFailed("deadline", Ran.NO))


__all__ = [
    "ConnectionPool",
    "Deadline",
    "Exchange",
    "MAX_ANSWER_BYTES",
    "MAX_ERROR_BYTES",
    "WireError",
    "decode_object",
    "refusal",
]
