"""HTTP requests to a backend server and their answers, with deadlines."""

from __future__ import annotations

import contextlib
import http.client
import json
import secrets
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.bounded import MAX_FRAMING_BYTES, ReadBound, bind
from mulberrypass.runtime.framing import check_framing
from mulberrypass.runtime.http import CALL_ID

if TYPE_CHECKING:
    from collections.abc import Mapping
    from email.message import Message

    from mulberrypass.engine.pool import ConnectionPool

MAX_ANSWER_BYTES = 8_388_608
MAX_ERROR_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
FIRST_ERROR_STATUS = 400
UNPROCESSABLE = 422
CUT = EngineFailed("cut", Ran.MAYBE, resumable=True, closed=True)
LATE = EngineFailed("deadline", Ran.MAYBE, resumable=True)
JSON_HEADERS = {"Content-Type": "application/json"}
CALL_ID_BYTES = 8
WRONG_CALL = EngineFailed("an answer to another call", Ran.MAYBE)


class WireError(Exception):
    """A call failed before its answer was complete.

    :param failed: the failure to report to the caller
    :param unanswered: whether no byte of an answer was received
    :param refused: whether the server doesn't listen
    """

    def __init__(
        self,
        failed: EngineFailed,
        unanswered: bool = False,
        refused: bool = False,
    ) -> None:
        super().__init__(failed.reason)
        self.failed = failed
        self.unanswered = unanswered
        self.refused = refused


@value_class
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
            raise WireError(LATE)
        return max(left, MIN_TIMEOUT_S)


class Exchange:
    """One request and its answer on a connection.

    :param reused: whether the connection has had an earlier request
    :ivar is_own: whether the answer is that to this request: it bears the
        id of the call, or is the first one on its connection
    """

    def __init__(
        self,
        pool: ConnectionPool,
        conn: http.client.HTTPConnection,
        reused: bool = False,
    ) -> None:
        self.reused = reused
        self.is_own = not reused
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

        :param headers: replace the default headers, which are those of a
            JSON body and an id of the call
        :raises WireError: if either fails, or the answer bears the id of
            another call
        """
        call_id = None
        if headers is None:
            call_id = secrets.token_hex(CALL_ID_BYTES)
            headers = {CALL_ID: call_id}
            headers |= {} if body is None else JSON_HEADERS
        self._bound.allow(deadline.at, MAX_FRAMING_BYTES)
        self._bound.request_bytes = len(body or b"")
        bind(self._conn, self._bound)
        try:
            self._sock.settimeout(deadline.left_s())
            written = self._write(method, path, body, headers)
            self._resp = self._conn.getresponse()
            check_framing(self._resp.headers)
            if not (written or self._is_framed_error):
                raise ConnectionResetError("the request was not read")
        except TimeoutError:
            raise WireError(LATE)
        except (OSError, http.client.HTTPException) as exc:
            failed = EngineFailed(
                f"no answer: {type(exc).__name__}",
                Ran.MAYBE,
                resumable=True,
                closed=True,
            )
            raise WireError(failed, unanswered=not self._bound.received)
        if call_id is not None:
            self._check_call(call_id)

    def _write(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> bool:
        """Write the request; return whether all of it could be written.

        A server may refuse a request before it has read all of it, and close.
        What it wrote can still be read, but after the error of the write its
        reset looks like an end.
        """
        try:
            self._conn.request(method, path, body, dict(headers))
        except ConnectionError:
            if not body or self._shut_down:
                raise
            return False
        return True

    @property
    def _is_framed_error(self) -> bool:
        is_error = self.status >= FIRST_ERROR_STATUS
        return is_error and not self.ends_with_connection

    def _check_call(self, call_id: str) -> None:
        """Check that an answer bears the id of its call, if any.

        :raises WireError: if it bears another
        """
        found = set(self.head.get_all(CALL_ID, []))
        if found - {call_id}:
            raise WireError(WRONG_CALL)
        self.is_own = self.is_own or bool(found)

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
            raise WireError(LATE)
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


def parse_failure(
    status: int, body: bytes, is_own: bool = True
) -> EngineFailed:
    """Return the failure that an error answer describes.

    :param is_own: whether it is the answer to this request for certain
    """
    reason = f"status {status}"
    ran = Ran.MAYBE
    try:
        doc = json.loads(body)
    except ValueError:
        doc = None
    if isinstance(doc, dict):
        reason = str(doc.get("code", reason))
        reported_ran = doc.get("ran")
        if is_own and reported_ran in (Ran.NO, Ran.YES):
            ran = Ran(reported_ran)
    permanent = is_own and status == UNPROCESSABLE
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


__all__ = [
    "CUT",
    "Deadline",
    "Exchange",
    "LATE",
    "MAX_ANSWER_BYTES",
    "MAX_ERROR_BYTES",
    "WRONG_CALL",
    "WireError",
    "decode_object",
    "parse_failure",
]
