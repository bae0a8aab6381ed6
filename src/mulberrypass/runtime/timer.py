"""Calls functions at given times, on one thread per process."""

from __future__ import annotations

import sched
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = get_logger(__name__)


class Timer:
    """Calls functions at given times; safe on any thread.

    Its thread starts with the first call.

    :param name: name of the thread
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._calls = sched.scheduler(time.monotonic)
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None
        self._next_at = float("inf")
        self._stopped = False

    def call_at(self, at: float, function: Callable[[], None]) -> None:
        """Call a function, which must not block, at a monotonic time."""
        self._calls.enterabs(at, 0, self._call, (function,))
        if at < self._next_at:
            self._wake.set()
        if self._thread is None:
            self._start()

    def stop(self) -> None:
        """End the thread; what is still to be called is dropped."""
        self._stopped = True
        self._wake.set()

    def _start(self) -> None:
        with self._lock:
            if self._thread is not None:
                return
            self._thread = threading.Thread(
                target=self._run, name=self._name, daemon=True
            )
            self._thread.start()

    def _run(self) -> None:
        while not self._stopped:
            # Any call that is added while this is computed wakes the thread.
            self._next_at = float("inf")
            wait_s = self._calls.run(blocking=False)
            if wait_s is not None:
                self._next_at = time.monotonic() + wait_s
            self._wake.wait(wait_s)
            self._wake.clear()

    def _call(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            LOG.exception("a timed call failed")


__all__ = ["Timer"]
