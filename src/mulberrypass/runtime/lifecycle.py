"""Start and planned stop of a process."""

from __future__ import annotations

import signal
import threading


class StopSignal:
    """Becomes set on SIGTERM or SIGINT."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def install(self) -> None:
        """Take the signals; call on the main thread."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, self._on_signal)

    def wait(self) -> None:
        """Block the main thread until a stop is asked for."""
        while not self._event.wait(1.0):
            pass

    def _on_signal(self, _signum: int, _frame: object) -> None:
        self._event.set()


__all__ = ["StopSignal"]
