"""Wakes a server's loop safely while the server is being closed."""

from __future__ import annotations

import threading
from typing import Any


class Wakeup:
    """Guards the pipe by which threads wake the loop of a server.

    Waitress writes to the pipe's descriptor even after a close, when the
    descriptor may belong to an unrelated connection.

    :param server: a waitress server; its ``pull_trigger`` is replaced
    """

    def __init__(self, server: Any) -> None:
        self._server = server
        self._trigger = server.trigger
        self._open = True
        self._lock = threading.Lock()
        server.pull_trigger = self.pull

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


__all__ = ["Wakeup"]
