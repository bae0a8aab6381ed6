"""HTTP client of the platform with pooled connections."""

from __future__ import annotations

from dataclasses import dataclass
import http.client
import select
import threading
import time
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.store import Unavailable
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.bounded import (
    MAX_FRAMING_BYTES,
    OversizeError,
    ReadBound,
    bind,
)
from mulberrypass.runtime.framing import check_framing
from mulberrypass.runtime.sockets import keep_alive

if TYPE_CHECKING:
    from collections.abc import Mapping
    import ssl

    from expression import Result

MAX_IDLE_S = 20.0
# A page of 1 MB or an object of 8 MB, over a link that is squeezed.
MAX_TRANSFER_S = 10.0
# Twice the largest object that the store keeps.
MAX_REPLY_BYTES = 16_777_216
READ_BYTES = 65_536


@value_class
class Endpoint:
    """Address of the platform, and how to connect to it.

    :param key: sent as bearer token; empty for none
    :param tls: context of TLS connections; ``None`` for plain HTTP
    :param max_idle: maximum number of idle connections
    """

    host: str
    port: int
    key: str = ""
    tls: ssl.SSLContext | None = None
    connect_timeout_s: float = 1.0
    read_timeout_s: float = 5.0
    max_idle: int = 16


@value_class
class HttpReply:
    """A response.

    :param framed: whether more than the end of the connection ends the body
    """

    status: int
    body: bytes
    framed: bool = True


@dataclass(slots=True)
class _IdleConnection:
    conn: http.client.HTTPConnection
    since: float


class HttpClient:
    """Makes calls from any thread, each on its own connection."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._lock = threading.Lock()
        self._idle: list[_IdleConnection] = []
        self._headers = {"Content-Type": "application/json"}
        if endpoint.key:
            self._headers["Authorization"] = f"Bearer {endpoint.key}"

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, Unavailable]:
        """Make one call; retry a GET that failed on a reused connection.

        :returns: the response whatever its status, or ``Unavailable`` with
            ``maybe_applied`` set if the request may have arrived
        """
        all_headers = {**self._headers, **(headers or {})}
        reused = self._take_idle()
        if reused is not None:
            result = self._exchange(reused, method, target, body, all_headers)
            if result.is_ok() or method != "GET":
                return result
        opened = self._open()
        if opened.is_error():
            return Error(opened.error)
        return self._exchange(opened.ok, method, target, body, all_headers)

    def _exchange(
        self,
        conn: http.client.HTTPConnection,
        method: str,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Result[HttpReply, Unavailable]:
        timeout_s = self._endpoint.read_timeout_s
        bound = ReadBound()
        bound.request_bytes = len(body)
        bind(conn, bound)
        try:
            conn.sock.settimeout(timeout_s)
            conn.request(method, target, body, headers)
            bound.allow(time.monotonic() + timeout_s, MAX_FRAMING_BYTES)
            resp = conn.getresponse()
            check_framing(resp.headers)
            framed = resp.chunked or resp.length is not None
            bound.allow(
                time.monotonic() + MAX_TRANSFER_S,
                MAX_REPLY_BYTES + MAX_FRAMING_BYTES,
                may_end=not resp.chunked,
                silence_s=timeout_s,
            )
            reply = HttpReply(resp.status, _read_body(resp), framed)
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            return Error(Unavailable(f"no answer: {exc!r}", True))
        self._release(conn, resp.will_close or bound.surplus)
        return Ok(reply)

    def close(self) -> None:
        """Close idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for entry in idle:
            entry.conn.close()

    def _take_idle(self) -> http.client.HTTPConnection | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                entry = self._idle.pop()
            fresh = time.monotonic() - entry.since < MAX_IDLE_S
            if fresh and not _closed_by_peer(entry.conn):
                return entry.conn
            entry.conn.close()

    def _open(self) -> Result[http.client.HTTPConnection, Unavailable]:
        endpoint = self._endpoint
        timeout_s = endpoint.connect_timeout_s
        conn: http.client.HTTPConnection
        if endpoint.tls is None:
            conn = http.client.HTTPConnection(
                endpoint.host, endpoint.port, timeout_s
            )
        else:
            conn = http.client.HTTPSConnection(
                endpoint.host,
                endpoint.port,
                timeout=timeout_s,
                context=endpoint.tls,
            )
        try:
            conn.connect()
        except OSError as exc:
            conn.close()
            return Error(Unavailable(f"no connection: {exc!r}", False))
        keep_alive(conn.sock)
        return Ok(conn)

    def _release(
        self, conn: http.client.HTTPConnection, will_close: bool
    ) -> None:
        with self._lock:
            if not will_close and len(self._idle) < self._endpoint.max_idle:
                self._idle.append(_IdleConnection(conn, time.monotonic()))
                return
        conn.close()


def _read_body(resp: http.client.HTTPResponse) -> bytes:
    """Read the body in parts, whatever size it claims to have.

    :raises HTTPException: if it is truncated or too large
    """
    parts: list[bytes] = []
    size = 0
    with resp:
        while part := resp.read1(READ_BYTES):
            parts.append(part)
            size += len(part)
            if size > MAX_REPLY_BYTES:
                raise OversizeError("a reply is too large")
        if resp.length:
            raise http.client.IncompleteRead(b"", resp.length)
    return b"".join(parts)


def _closed_by_peer(conn: http.client.HTTPConnection) -> bool:
    if conn.sock is None:
        return True
    poller = select.poll()
    poller.register(conn.sock, select.POLLIN)
    return bool(poller.poll(0))


__all__ = ["Endpoint", "HttpClient", "HttpReply"]
