"""What a server's connections do beyond what waitress does."""

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
    """Give a kind of connection that ends when it is told to.

    :param closing: once set, each connection ends after its next answer
    :param head_s: seconds that a request's head may take
    """

    class ClosingTask(WSGITask):
        def build_response_header(self) -> bytes:
            if closing.is_set():
                self.set_close_on_finish()
            return bytes(super().build_response_header())

    class LimitedChannel(HTTPChannel):
        task_class = ClosingTask
        _head_since: float | None = None
        _warned = False

        def readable(self) -> bool:
            """Look at the head's time too; asked each second at least.

            A process that was paused reads what has come before it judges.
            """
            late = self._head_late()
            if late and self._warned:
                self.will_close = True
            self._warned = late
            return bool(super().readable())

        def _head_late(self) -> bool:
            request = self.request
            if request is None or request.headers_finished:
                self._head_since = None
                return False
            now = time.monotonic()
            if self._head_since is None:
                self._head_since = now
            return now - self._head_since > head_s()

    return LimitedChannel


__all__ = ["connection_class"]
