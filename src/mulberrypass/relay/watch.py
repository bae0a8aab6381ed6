"""Aborts abandoned calls, on one thread per process."""

from __future__ import annotations

from dataclasses import dataclass
import threading
from typing import TYPE_CHECKING

from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = get_logger(__name__)
# Work must stop within 0.5 s after its caller has disconnected.
POLL_S = 0.05


@dataclass(slots=True, eq=False)
class WatchedCall:
    """A call in flight.

    :param abandoned: returns whether the result is no longer needed
    :param abort: closes the connection that the call waits on
    :param ended: whether the watch has aborted the call
    """

    abandoned: Callable[[], bool]
    abort: Callable[[], None]
    ended: bool = False


class CallWatch:
    """Polls all calls in flight and aborts abandoned ones."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: set[WatchedCall] = set()
        self._not_empty = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="call-watch", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped = True
        self._not_empty.set()

    def add(self, call: WatchedCall) -> None:
        """Start watching a call."""
        with self._lock:
            self._calls.add(call)
            self._not_empty.set()

    def remove(self, call: WatchedCall) -> None:
        """Stop watching a call."""
        with self._lock:
            self._calls.discard(call)
            if not self._calls:
                self._not_empty.clear()

    def _run(self) -> None:
        pause = threading.Event()
        while not self._stopped:
            self._not_empty.wait()
            pause.wait(POLL_S)
            with self._lock:
                calls = tuple(self._calls)
            for call in calls:
                self._abort_if_abandoned(call)

    def _abort_if_abandoned(self, call: WatchedCall) -> None:
        if call.ended or not call.abandoned():
            return
        call.ended = True
        try:
            call.abort()
        except Exception:
            LOG.exception("a call could not be ended")


__all__ = ["CallWatch", "WatchedCall"]
