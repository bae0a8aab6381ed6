"""Runs requests on a thread pool whose threads start on demand."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import Protocol

from mulberrypass.runtime.logs import get_logger

LOG = get_logger(__name__)


class Task(Protocol):
    """A request on a connection."""

    def service(self) -> None:
        """Answer the request."""


class PooledDispatcher:
    """A waitress task dispatcher on a pool that grows on demand.

    With many processes on one machine, starting every thread that an
    instance could ever need takes more resources than the machine has, and
    most of them would never be used.

    :param threads: maximum number of requests answered at once; others wait
    """

    def __init__(self, name: str, threads: int) -> None:
        self._pool = ThreadPoolExecutor(threads, name)
        self._lock = threading.Lock()
        self._threads = threads
        # Those that wait for a thread or are answered.
        self._open = 0
        self._waits_since: float | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a thread."""
        return max(0, self._open - self._threads)

    @property
    def waits_s(self) -> float:
        """Seconds for which requests have been waiting without a pause."""
        since = self._waits_since
        return 0.0 if since is None else time.monotonic() - since

    def add_task(self, task: Task) -> None:
        """Answer a request on an idle thread, or on a new one."""
        self._count(1)
        try:
            self._pool.submit(_serve, task).add_done_callback(self._note_end)
        except RuntimeError as exc:
            self._note_end()
            # The pool or interpreter has shut down; the connection ends too.
            LOG.info("request dropped at the end", reason=str(exc))

    def set_thread_count(self, count: int) -> None:
        """Do nothing; threads start on demand."""

    def shutdown(
        self, cancel_pending: bool = True, timeout: float = 5.0
    ) -> bool:
        """Start no more requests; running ones go on."""
        self._pool.shutdown(wait=False, cancel_futures=cancel_pending)
        return True

    def _note_end(self, _served: object = None) -> None:
        """Count a request that was answered or dropped."""
        self._count(-1)

    def _count(self, count: int) -> None:
        with self._lock:
            self._open += count
            if not self.waiting:
                self._waits_since = None
            elif self._waits_since is None:
                self._waits_since = time.monotonic()


def _serve(task: Task) -> None:
    try:
        task.service()
    except OSError as exc:
        LOG.info("connection lost with its server", reason=str(exc))
    except BaseException:
        LOG.exception("request failed outside of its handler")


__all__ = ["PooledDispatcher", "Task"]
