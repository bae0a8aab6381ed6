"""Wakes a server's loop, and touches no descriptor once it is closed."""

from __future__ import annotations

import threading
from typing import Any


class Wakeup:
    """Guards the pipe by which threads wake the loop of a server.

    The library writes to the pipe's number at any time. After a close that
    number may belong to a connection that has nothing to do with the server.

    :param server: a server of waitress, whose wake-ups go through here
    """

    def __init__(self, server: Any) -> None:
        self._server = server
        self._trigger = server.trigger
        self._open = True
        self._lock = threading.Lock()
        server.pull_trigger = self.pull

    def pull(self) -> None:
        """Wake the loop, if it has not been closed."""
        with self._lock:
            if self._open:
                self._trigger.pull_trigger()

    def close(self) -> None:
        """Close the server and its pipe."""
        with self._lock:
            self._open = False
            self._server.close()


__all__ = ["Wakeup"]
