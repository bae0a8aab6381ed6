"""Socket options that detect unresponsive peers."""

from __future__ import annotations

import contextlib
import socket
import struct

# A peer that doesn't answer for about three seconds is considered gone.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
USER_TIMEOUT_MS = 2_500
# Closing with a linger time of 0 resets a connection.
NO_LINGER = struct.pack("ii", 1, 0)
DEFAULT_LINGER = struct.pack("ii", 0, 0)


def keep_alive(sock: socket.socket) -> None:
    """Make the kernel close the connection when its peer is unresponsive."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, value in options:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)


def reset_on_close(sock: socket.socket) -> None:
    """Make the close of a connection a reset, which is no end of data."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def end_on_close(sock: socket.socket) -> None:
    """Make the close of a connection the end of its data again.

    :raises OSError: if the connection has ended
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DEFAULT_LINGER)


__all__ = ["end_on_close", "keep_alive", "reset_on_close"]
