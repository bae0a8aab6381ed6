"""Waitress connections with a head timeout and a planned close."""

from __future__ import annotations

from dataclasses import field
import fcntl
import socket
import sys
import termios
import threading
import time
from typing import TYPE_CHECKING, Any, cast

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.client_bytes import Holder
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.sockets import end_on_close, reset_on_close

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.runtime.client_bytes import ClientBytes

LOG = get_logger(__name__)
# A request that arrives in part ends a stop's wait after so much silence: a
# lost segment is sent again within about a second.
ARRIVAL_PAUSE_S = 2.0
# What a caller still sends while it reads an answer is read so long: a close
# with unread bytes is a reset. Time for a lost segment, as above.
LINGER_S = 2.0
# A caller that reads takes bytes more often.
TAKING_S = 0.2
# A caller's kernel tells of space in steps of a 16th of its receive buffer. Of
# 16 MB, that is 16 reads of 64 KB, each of them in half of the idle time.
IDLE_TIMES_OF_STEP = 8
# Name in the environment of a function of the server: called before the
# answer starts, it lets only the end of the connection end the answer.
END_WITH_CONNECTION = "mulberrypass.end_with_connection"


class UnansweredError(Exception):
    """An application ended with a socket error before its answer began."""


@value_class
class StopSteps:
    """Steps of a planned stop of a server, in this order.

    :param closing: once set, each connection closes after its next answer
    :param ending: once set, connections without a request are closed
    :param overdue: once set, requests are told that nobody waits for them
    """

    closing: threading.Event = field(default_factory=threading.Event)
    ending: threading.Event = field(default_factory=threading.Event)
    overdue: threading.Event = field(default_factory=threading.Event)


def connection_class(
    steps: StopSteps,
    head_s: Callable[[], float],
    client_bytes: ClientBytes,
    requests_wait: Callable[[], bool],
) -> type[HTTPChannel]:
    """Return a channel class for a server.

    :param head_s: returns the seconds that a request's head may take
    :param client_bytes: bounds the bytes held for all connections
    :param requests_wait: returns whether requests wait for a thread
    """

    class ClosingTask(WSGITask):
        channel: Any
        _unframe = False
        _in_unframed_head = False

        def execute(self) -> None:
            """Answer; waitress takes any OSError for the client's end."""
            try:
                super().execute()
            except Exception as exc:
                if self.wrote_header or not isinstance(exc, OSError):
                    raise
                LOG.exception("request failed outside of its handler")
                raise UnansweredError(str(exc))

        def finish(self) -> None:
            """Note that the answer is whole."""
            super().finish()
            self.channel.whole = True

        def get_environment(self) -> dict[str, Any]:
            environ: dict[str, Any] = super().get_environment()
            environ[END_WITH_CONNECTION] = self._end_with_connection
            return environ

        def _end_with_connection(self) -> None:
            self._unframe = True

        @property
        def has_body(self) -> bool:
            """Whether there is a body; a head with one names its end."""
            return bool(super().has_body) and not self._in_unframed_head

        def build_response_header(self) -> bytes:
            if steps.closing.is_set():
                self.set_close_on_finish()
            self._in_unframed_head = self._unframe
            head = bytes(super().build_response_header())
            self._in_unframed_head = False
            framed = self.chunked_response or self.content_length is not None
            if self._unframe or (self.has_body and not framed):
                self.channel.begin_unframed()
            return head

    class LimitedChannel(HTTPChannel):
        task_class = ClosingTask
        requests_lock: threading.Lock
        _head_started_at: float | None = None
        _was_late = False
        _read_at = 0.0
        whole = False
        _unframed = False
        _lingers_until: float | None = None
        _taken_at = 0.0
        _serving = False
        _is_over = False

        def begin_unframed(self) -> None:
            """Make any end a reset until the whole answer is sent.

            So is the end of the process, however it comes.
            """
            self._unframed = True
            self.whole = False
            sock = self.socket
            if sock is not None:
                reset_on_close(sock)

        def handle_close(self) -> None:
            """Close; a whole answer without framing is ended first."""
            sent = self.whole and not self.total_outbufs_len
            if self._unframed and sent and self._end_answer():
                return
            super().handle_close()
            # The loop may hold the lock, as it sends "100 Continue".
            if not self.requests_lock.acquire(blocking=False):
                return
            try:
                if not self._serving:
                    for each in self.requests:
                        each.close()
                    self.requests = []
            finally:
                self.requests_lock.release()

        def service(self) -> None:
            """Answer a request, unless its connection has closed before."""
            with self.requests_lock:
                self._serving = bool(self.requests)
            if not self._serving:
                return
            try:
                super().service()
            finally:
                self._serving = False

        def _end_answer(self) -> bool:
            """End what is sent, once; return whether to read on."""
            if self._lingers_until is not None or self.socket is None:
                return False
            self._lingers_until = time.monotonic() + LINGER_S
            self.will_close = False
            try:
                end_on_close(self.socket)
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                return False
            return True

        def check_client_disconnected(self) -> Any:
            """Whether the request's work is no longer needed."""
            return not self.connected or steps.overdue.is_set()

        def received(self, data: bytes) -> bool:
            """Note when bytes of a request arrived, then read them."""
            self._read_at = time.monotonic()
            client_bytes.note_received(len(data))
            if self._lingers_until is not None:
                return False
            return bool(super().received(data))

        def readable(self) -> bool:
            """Check for a close too; polled at least once a second.

            A late head closes only on the second late poll in a row, so that
            a process that was paused first reads what has arrived.
            """
            if client_bytes.due():
                self._check_bytes()
            if self.socket is None:
                return False
            if self._is_over:
                self._is_over = False
                if self.holder().may_end:
                    self.reset("too many bytes held")
                    return False
            stuck = self._is_stuck()
            late = stuck or self._head_is_late()
            if late and self._was_late:
                if stuck:
                    # The client's socket won't be ready for a close.
                    self.reset("client takes no bytes")
                    return False
                self.will_close = True
            self._was_late = late
            until = self._lingers_until
            if until is None:
                done = steps.ending.is_set() and self._is_idle()
            else:
                taken = steps.ending.is_set() and not _unsent(self.socket)
                done = taken or time.monotonic() >= until
            if done:
                self.will_close = True
            return bool(super().readable())

        def writable(self) -> bool:
            """Return whether to send or close, never once it is closed.

            The number of its file may be that of the next caller's by the
            time the poll tells of it.
            """
            return self.socket is not None and bool(super().writable())

        def send(self, data: bytes, do_close: bool = True) -> int:
            """Send; note when the client took bytes."""
            count = int(super().send(data, do_close))
            if count:
                self._taken_at = time.monotonic()
            return count

        def _is_stuck(self) -> bool:
            """Whether the client has taken no byte for too long.

            A client that reads slowly may look like this for a while, and
            keeps its thread unless other requests wait for one.
            """
            now = time.monotonic()
            if not self.total_outbufs_len:
                self._taken_at = now
            patience_s = self.adj.channel_timeout
            if not requests_wait():
                patience_s *= IDLE_TIMES_OF_STEP
            return bool(now - self._taken_at > patience_s)

        def reset(self, reason: str) -> None:
            """End the connection; an answer on it is cut."""
            LOG.info(
                "client reset", reason=reason, waiting=self.total_outbufs_len
            )
            if self.socket is not None:
                reset_on_close(self.socket)
            self.handle_close()

        def holder(self) -> Holder[LimitedChannel]:
            """Return the bytes held of bodies and answers."""
            arriving = self.request
            requests = list(self.requests)
            bodies = [r.body_rcv for r in [*requests, arriving] if r]
            size = sum(len(body) for body in bodies if body is not None)
            size += self.total_outbufs_len
            pause_s = time.monotonic() - self._taken_at
            slow = self.total_outbufs_len > 0 and pause_s > TAKING_S
            may_end = slow or (arriving is not None and not requests)
            return Holder(self, size, may_end)

        def note_over(self) -> None:
            """End when next polled, as too many bytes are held."""
            self._is_over = True
            cast("Any", self.server).pull_trigger()

        @property
        def ends(self) -> bool:
            """Whether it is about to end, as too many bytes are held."""
            return self._is_over

        def _check_bytes(self) -> None:
            """End the connections that hold most, if all hold too much.

            Each ends itself when it is next polled: the loop may have listed
            it already, and polls no closed file.
            """
            channels = cast("Any", self.server).active_channels
            holders = [
                each.holder()
                for each in list(channels.values())
                if not each.ends
            ]
            for each in client_bytes.excess(holders):
                each.channel.note_over()

        def _is_idle(self) -> bool:
            """Whether no request is read, answered, sent or left to be read.

            Only the loop reads requests, and it is the loop that asks.
            """
            if self.requests or self.total_outbufs_len:
                return False
            pause_s = time.monotonic() - self._read_at
            if self.request is not None and pause_s < ARRIVAL_PAUSE_S:
                return False
            return self.socket is not None and not _has_bytes(self.socket)

        def _head_is_late(self) -> bool:
            request = self.request
            if request is None or request.headers_finished:
                self._head_started_at = None
                return False
            now = time.monotonic()
            if self._head_started_at is None:
                self._head_started_at = now
            return now - self._head_started_at > head_s()

    return LimitedChannel


def _unsent(sock: socket.socket) -> int:
    """Return how many bytes the peer hasn't acknowledged."""
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def _has_bytes(sock: socket.socket) -> bool:
    """Whether a socket that doesn't block has something to read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


__all__ = ["END_WITH_CONNECTION", "StopSteps", "connection_class"]
