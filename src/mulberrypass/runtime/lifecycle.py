"""Stop signals of a process."""

from __future__ import annotations

import signal
import threading


class StopSignal:
    """An event that is set on SIGTERM or SIGINT."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def install(self) -> None:
        """Install the signal handlers; call on the main thread."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, self._on_signal)

    def wait(self) -> None:
        """Block until a stop signal arrives; call on the main thread."""
        while not self._event.wait(1.0):
            pass

    def _on_signal(self, _signum: int, _frame: object) -> None:
        self._event.set()


__all__ = ["StopSignal"]
