"""Hands requests to threads that are started when they are needed."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from mulberrypass.runtime.logs import get_logger

LOG = get_logger(__name__)


class Task(Protocol):
    """One request on one connection."""

    def service(self) -> None:
        """Answer it."""


class PooledDispatcher:
    """What waitress asks of a dispatcher, on a pool that grows.

    Answers many processes on one machine: a thread for each request that
    an instance could ever have at once is more than the machine has room
    for, and most are never used.

    :param threads: requests that are answered at once; others wait
    """

    def __init__(self, name: str, threads: int) -> None:
        self._pool = ThreadPoolExecutor(threads, name)

    def add_task(self, task: Task) -> None:
        """Answer a request on a thread that is free, or on a new one."""
        try:
            self._pool.submit(_serve, task)
        except RuntimeError as exc:
            # The interpreter ends, and with it the connection.
            LOG.info("request dropped at the end", reason=str(exc))

    def set_thread_count(self, count: int) -> None:
        """Threads are started by need."""

    def shutdown(
        self, cancel_pending: bool = True, timeout: float = 5.0
    ) -> bool:
        """Start no more requests; those that are being answered go on."""
        self._pool.shutdown(wait=False, cancel_futures=cancel_pending)
        return True


def _serve(task: Task) -> None:
    try:
        task.service()
    except OSError as exc:
        LOG.info("connection lost with its server", reason=str(exc))
    except BaseException:
        LOG.exception("request failed outside of its handler")


__all__ = ["PooledDispatcher", "Task"]
