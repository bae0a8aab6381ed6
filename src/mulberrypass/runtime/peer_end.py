"""Tells a connection that its peer closed from one that was broken off.

A read at the end of a connection returns no bytes in both cases once the
error of a reset has been reported to a write, or if a reset follows a close.
"""

from __future__ import annotations

import array
import fcntl
import select
import socket
import ssl
import termios

HEAD_START = b"HTTP/1."
# A longer request may wait unread in the buffers of the peer's kernel. Its
# close then resets the connection, a moment after it ended its side.
LONG_REQUEST_BYTES = 65_536
RESET_WAIT_MS = 50


def check_closed(
    sock: socket.socket, request_bytes: int, left_s: float
) -> None:
    """Check that a peer which ended the connection has read the request.

    An answer that only this end ends is not whole otherwise.

    :param request_bytes: size of the request's body
    :param left_s: longest wait for the reset that follows an unread request
    :raises ConnectionResetError: if it was reset, or ended before the peer
        had received the request
    """
    long = request_bytes > LONG_REQUEST_BYTES
    wait_ms = min(RESET_WAIT_MS, max(0.0, left_s * 1_000)) if long else 0
    poll = select.poll()
    # Errors and hang-ups are reported without being asked for.
    poll.register(sock.fileno(), 0)
    if poll.poll(wait_ms):
        raise ConnectionResetError("reset by the peer")
    unsent = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, unsent)
    if unsent[0]:
        raise ConnectionResetError("ended before its request was received")


def received_beyond(sock: socket.socket) -> bytes:
    """Return the first bytes that have arrived and weren't read, if any.

    Bytes of a TLS connection can't be looked at.
    """
    if sock.fileno() < 0 or isinstance(sock, ssl.SSLSocket):
        return b""
    # ``recv`` waits for bytes, also without blocking, if there is a time-out.
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    if not poll.poll(0):
        return b""
    try:
        return sock.recv(len(HEAD_START), socket.MSG_PEEK)
    except OSError:
        return b""


def may_begin_answer(data: bytes) -> bool:
    """Return whether bytes behind an answer may begin another one.

    Some servers write an answer twice.
    """
    return HEAD_START.startswith(data[: len(HEAD_START)])


__all__ = ["check_closed", "may_begin_answer", "received_beyond"]
