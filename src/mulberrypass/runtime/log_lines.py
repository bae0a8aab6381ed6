"""A writer of log lines that never blocks the thread that logs."""

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
    """Writes lines on a thread of its own; drops the newest when full.

    What is dropped is counted, and said in a line when there is room.

    :param stream: takes the lines; may block
    """

    def __init__(self, stream: TextIO, most: int = MAX_LINES) -> None:
        self._stream = stream
        self._most = most
        self._lines: deque[str] = deque()
        self._some = threading.Event()
        self._said = 0
        self._stopped = False
        self.dropped = 0
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def msg(self, message: str) -> None:
        """Take a line."""
        if len(self._lines) >= self._most:
            self.dropped += 1
            return
        self._lines.append(message)
        if not self._some.is_set():
            self._some.set()

    # The names that the logging library calls.
    log = debug = info = warning = error = critical = exception = msg
    warn = fatal = failure = msg

    def stop(self) -> None:
        """Write what there is, and end."""
        self._stopped = True
        self._some.set()
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopped or self._lines:
            self._some.wait()
            self._some.clear()
            self._write()

    def _write(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self.dropped > self._said:
            count = self.dropped - self._said
            self._said = self.dropped
            lines.append(
                json.dumps({"event": "log lines dropped", "count": count})
            )
        if lines:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()


def line_factory(writer: LineWriter) -> Callable[..., LineWriter]:
    """Give what the logging library asks for a logger."""
    return lambda *_args: writer


__all__ = ["LineWriter", "line_factory"]
