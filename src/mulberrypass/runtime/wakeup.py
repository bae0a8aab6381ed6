"""Wakes a server's loop safely while the server is being closed."""

from __future__ import annotations

import threading
from typing import Any

from waitress import wasyncore


class Wakeup:
    """Guards the pipe by which threads wake the loop of a server.

    Waitress writes to the pipe's descriptor even after a close, when the
    descriptor may belong to an unrelated connection. It also closes the pipe
    with the listening socket, though open connections still need it.

    :param server: a waitress server; its ``pull_trigger`` and
        ``handle_close`` are replaced
    """

    def __init__(self, server: Any) -> None:
        self._server = server
        self._trigger = server.trigger
        self._open = True
        self._lock = threading.Lock()
        server.pull_trigger = self.pull
        server.handle_close = self._close_listening

    def pull(self) -> None:
        """Wake the loop, unless the server is closed."""
        with self._lock:
            if self._open:
                self._trigger.pull_trigger()

    def close(self) -> None:
        """Close the server and its pipe."""
        with self._lock:
            self._open = False
            self._server.close()

    def _close_listening(self) -> None:
        """Close the listening socket only; called by the loop."""
        wasyncore.dispatcher.close(self._server)


__all__ = ["Wakeup"]
