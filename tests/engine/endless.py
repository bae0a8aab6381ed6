"""Servers that answer with bytes that never end, or with an answer."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
import re
import socket
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import unittest

HOST = "127.0.0.1"
# Far more than a bound allows, so that a test without one ends and fails.
MAX_SENDING_S = 3.0
REPEAT = 32_768
# Long enough for the client to have read the answer on a busy machine.
SURPLUS_DELAY_S = 0.1
OK_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Mulberrypass-Request-Id: r1\r\n"
    b"X-Mulberrypass-Response-Stamp: 3e1b.07\r\n"
)
CHUNKED = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
NO_LENGTH = OK_HEAD + b"\r\n"
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *([0-9]+)")


@dataclass(frozen=True, slots=True)
class Bytes:
    """What the server sends after a request.

    :param first: sent once
    :param unit: sent again and again; nothing if it is empty
    :param pause_s: between two units; 0 to send as fast as possible
    """

    first: bytes
    unit: bytes
    pause_s: float = 0.0


class EndlessServer:
    """Sends the same bytes on each connection until the caller closes.

    :ivar closed: set when a caller has closed its connection
    :ivar requests: number of connections on which a request arrived
    """

    def __init__(self, test: unittest.TestCase, sent: Bytes) -> None:
        self._sent = sent
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.closed = threading.Event()
        self.requests = 0
        self._threads = [threading.Thread(target=self._accept)]
        self._threads[0].start()
        test.addCleanup(self._stop)

    def _stop(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for thread in list(self._threads):
            thread.join()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(target=self._serve, args=(conn,))
            self._threads.append(thread)
            thread.start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            conn.settimeout(MAX_SENDING_S)
            try:
                self._answer(conn)
            except TimeoutError:
                return
            except OSError:
                self.closed.set()

    def _answer(self, conn: socket.socket) -> None:
        if not conn.recv(65_536):
            return
        self.requests += 1
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.sendall(self._sent.first)
        end = time.monotonic() + MAX_SENDING_S
        unit = self._sent.unit
        if not self._sent.pause_s:
            unit *= REPEAT
        while unit and time.monotonic() < end:
            conn.sendall(unit)
            time.sleep(self._sent.pause_s)
        while not unit and conn.recv(65_536):
            continue
        if not unit:
            self.closed.set()


class AnsweringServer:
    """Sends the same bytes after each request on a connection.

    :param then: sent a moment after the first answer
    :param close: whether it ends the connection after an answer
    """

    def __init__(
        self,
        test: unittest.TestCase,
        answer: bytes,
        then: bytes = b"",
        close: bool = False,
    ) -> None:
        self._parts = (answer, then)
        self._close = close
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.channels = 0
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        test.addCleanup(thread.join)
        test.addCleanup(self._listener.close)
        test.addCleanup(self._listener.shutdown, socket.SHUT_RDWR)

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.channels += 1
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            self._answer(conn)

    def _answer(self, conn: socket.socket) -> None:
        answer, then = self._parts
        while _receive_request(conn):
            conn.sendall(answer)
            if self._close:
                conn.shutdown(socket.SHUT_WR)
                continue
            if then:
                time.sleep(SURPLUS_DELAY_S)
                conn.sendall(then)


def _receive_request(conn: socket.socket) -> bool:
    """Receive a request with its body; return whether there was one."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        length = LENGTH.search(head)
        if end and len(body) >= (int(length[1]) if length else 0):
            return True
        part = conn.recv(65_536)
        if not part:
            return False
        data += part


__all__ = [
    "AnsweringServer",
    "Bytes",
    "CHUNKED",
    "EndlessServer",
    "HOST",
    "NO_LENGTH",
    "OK_HEAD",
    "SURPLUS_DELAY_S",
]
