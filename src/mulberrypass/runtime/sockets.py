"""Socket options by which a silent connection is noticed."""

from __future__ import annotations

import contextlib
import socket

# A peer that answers no probe for about three seconds is gone.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
UNACKED_MS = 2_500


def keep_alive(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer fell silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, value in options:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)


__all__ = ["keep_alive"]
