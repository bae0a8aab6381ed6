"""Signals that a process handles."""

from __future__ import annotations

import queue
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
# Delay until a signal is seen that the kernel gave to another thread.
POLL_S = 1.0


class SignalQueue:
    """Received signals, in order of arrival.

    A handler may run while the main thread is inside ``get``; unlike the
    lock of an event, a simple queue allows that.

    :param signums: signals to receive
    """

    def __init__(self, *signums: signal.Signals) -> None:
        self._signums = signums
        self._received: queue.SimpleQueue[signal.Signals] = queue.SimpleQueue()

    def install(self) -> None:
        """Install the signal handlers; call on the main thread."""
        for signum in self._signums:
            signal.signal(signum, self._on_signal)

    def get(self) -> signal.Signals:
        """Block until a signal arrives; call on the main thread."""
        while True:
            try:
                return self._received.get(timeout=POLL_S)
            except queue.Empty:
                continue

    def _on_signal(self, signum: int, _frame: object) -> None:
        self._received.put(signal.Signals(signum))


__all__ = ["RELOAD_SIGNAL", "STOP_SIGNALS", "SignalQueue"]
