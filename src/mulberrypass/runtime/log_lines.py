"""Log writer that never blocks the threads that log."""

from __future__ import annotations

from collections import deque
import json
import threading
from typing import TYPE_CHECKING, TextIO

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES = 4_000
STOP_TIMEOUT_S = 0.5


class LineWriter:
    """Writes lines on its own thread; drops new lines when its queue is full.

    Reports the number of dropped lines in the log once the queue moves.

    :param stream: where lines are written; may block
    :param max_lines: size of the queue
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_LINES) -> None:
        self._stream = stream
        self._max_lines = max_lines
        self._lines: deque[str] = deque()
        self._pending = threading.Event()
        self._reported = 0
        self._stopped = False
        self.dropped = 0
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def msg(self, message: str) -> None:
        """Queue a line."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(message)
        if not self._pending.is_set():
            self._pending.set()

    # The methods that structlog calls.
    log = debug = info = warning = error = critical = exception = msg
    warn = fatal = failure = msg

    def stop(self) -> None:
        """Write the queued lines, and end the thread."""
        self._stopped = True
        self._pending.set()
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopped or self._lines:
            self._pending.wait()
            self._pending.clear()
            self._write()

    def _write(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self.dropped > self._reported:
            count = self.dropped - self._reported
            self._reported = self.dropped
            lines.append(
                json.dumps({"event": "log lines dropped", "count": count})
            )
        if lines:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()


def line_factory(writer: LineWriter) -> Callable[..., LineWriter]:
    """Return a structlog logger factory for the writer."""
    return lambda *_args: writer


__all__ = ["LineWriter", "line_factory"]
