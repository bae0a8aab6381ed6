"""Waitress connections with a head timeout and a planned close."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

if TYPE_CHECKING:
    from collections.abc import Callable
    import threading


def connection_class(
    closing: threading.Event, head_s: Callable[[], float]
) -> type[HTTPChannel]:
    """Return a channel class for a server.

    :param closing: once set, each connection closes after its next answer
    :param head_s: returns the seconds that a request's head may take
    """

    class ClosingTask(WSGITask):
        def build_response_header(self) -> bytes:
            if closing.is_set():
                self.set_close_on_finish()
            return bytes(super().build_response_header())

    class LimitedChannel(HTTPChannel):
        task_class = ClosingTask
        _head_started_at: float | None = None
        _was_late = False

        def readable(self) -> bool:
            """Check the head timeout too; polled at least once a second.

            Closes only on the second late poll in a row, so that a process
            that was paused first reads what has arrived.
            """
            late = self._head_is_late()
            if late and self._was_late:
                self.will_close = True
            self._was_late = late
            return bool(super().readable())

        def _head_is_late(self) -> bool:
            request = self.request
            if request is None or request.headers_finished:
                self._head_started_at = None
                return False
            now = time.monotonic()
            if self._head_started_at is None:
                self._head_started_at = now
            return now - self._head_started_at > head_s()

    return LimitedChannel


__all__ = ["connection_class"]
