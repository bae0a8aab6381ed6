"""Pools of HTTP connections to backend servers."""

from __future__ import annotations

from collections import deque
import http.client
import select
import threading
import time
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WRONG_CALL, Deadline, Exchange, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.runtime.sockets import keep_alive

if TYPE_CHECKING:
    import ssl

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
MAX_IDLE_S = 20.0
# Bounds the memory for the ids of the requests on a connection.
MAX_REQUESTS_PER_CONNECTION = 512
# How long a process that ends takes to close its sockets one by one: over
# 10 ms on a busy machine.
ENDING_MS = 50
# A server that is ending may still have reset the first.
CHECKS = 2


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
            connection returned no answer, or none that is its own for certain
        :raises WireError: if it fails
        """
        conn = self.take_idle()
        pooled = conn is not None
        exchange = Exchange(self, conn or self._connect(deadline), pooled)
        try:
            exchange.send(method, path, body, deadline)
            if exchange.is_own or not repeatable:
                return exchange
            exchange.close()
        except WireError as exc:
            exchange.close()
            unsure = exc.unanswered or exc.failed is WRONG_CALL
            if not (pooled and repeatable and unsure):
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

    def check_listening(self, deadline: Deadline) -> None:
        """Check that the server has not ended.

        A connection that stays open shows it, an idle one too. A server with
        all its connections in use resets a new one, and so does one that is
        ending, which refuses the next.

        :raises WireError: if it refuses connections
        """
        conn = self.take_idle()
        for _ in range(CHECKS if conn is None else CHECKS + 1):
            try:
                conn = conn or self._connect(deadline)
            except WireError as exc:
                if exc.refused:
                    raise
                return
            if _is_reusable(conn, ENDING_MS):
                self.put(conn)
                return
            conn.close()
            conn = None

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
            refused = isinstance(exc, ConnectionRefusedError)
            raise WireError(EngineFailed(reason, Ran.NO), refused=refused)
        return conn


def _is_reusable(
    conn: http.client.HTTPConnection, watched_ms: int = 0
) -> bool:
    """Return whether an idle connection is open and has no unread data.

    :param watched_ms: how long it must stay so
    """
    if conn.sock is None:
        return False
    poll = select.poll()
    poll.register(conn.sock, select.POLLIN)
    return not poll.poll(watched_ms)


def _remaining_before_send(deadline: Deadline) -> float:
    try:
        return deadline.left_s()
    except WireError:
        raise WireError(EngineFailed("deadline", Ran.NO))


__all__ = ["ConnectionPool", "MAX_IDLE_S"]
