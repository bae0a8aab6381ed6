"""Calls to the platform that are retried until it answers."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from mulberrypass.jobs.rows import TABLE
from mulberrypass.model.store import (
    Committed,
    Conflict,
    Exists,
    Throttled,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    import threading

    from mulberrypass.model.store import (
        ObjectError,
        Objects,
        Op,
        ReadError,
        Row,
        Table,
        TableError,
    )
    from mulberrypass.policy.jobs.jobs import Holder

BASE_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
MAX_RETRY_DOUBLINGS = 10


class RetryAbortedError(Exception):
    """The process stops before the platform has answered."""


class RetryBackoff:
    """Waits between tries with exponential backoff and jitter."""

    def __init__(self, stop: threading.Event, seed: int) -> None:
        self._stop = stop
        self._random = random.Random(seed)

    def __call__(self, attempt: int, asked_s: float) -> None:
        """Wait before another try.

        :raises RetryAbortedError: if the process stops meanwhile
        """
        doublings = min(attempt - 1, MAX_RETRY_DOUBLINGS)
        longest = min(MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2**doublings)
        wait_s = max(asked_s, self._random.uniform(0, longest))
        if self._stop.wait(wait_s):
            raise RetryAbortedError


class RetryingWriter:
    """Retries each call until the platform answers it.

    :param pause: waits before a retry, given the number of the failed
        attempt and the delay in seconds that the platform asked for;
        raises ``RetryAbortedError`` if the process stops
    """

    def __init__(
        self,
        own: Holder,
        table: Table,
        objects: Objects,
        pause: Callable[[int, float], None],
    ) -> None:
        self._own = own
        self._table = table
        self._objects = objects
        self._pause = pause
        self._nonces = itertools.count(1)

    def nonce(self) -> str:
        """Return an id for one write, unique across the fleet."""
        own = self._own
        return f"{own.name}/{own.incarnation}/{next(self._nonces):08}"

    def write(self, ops: tuple[Op, ...]) -> Committed | Conflict:
        """Apply a transaction, retrying until the platform answers."""
        for attempt in itertools.count(1):
            done = self._table.transact(ops)
            if done.is_ok():
                return done.ok
            if isinstance(done.error, Conflict):
                return done.error
            self._wait(attempt, done.error)
        raise AssertionError

    def put_object(self, key: str, data: bytes) -> None:
        """Write an object under a key that no other write uses."""
        for attempt in itertools.count(1):
            done = self._objects.put(key, data)
            if done.is_ok() or isinstance(done.error, Exists):
                return
            self._wait(attempt, done.error)

    def read_row(self, key: str) -> Row | None:
        """Read a row."""
        for attempt in itertools.count(1):
            found = self._table.read(TABLE, key)
            if found.is_ok():
                return found.ok
            self._wait(attempt, found.error)
        raise AssertionError

    def _wait(
        self, attempt: int, error: TableError | ReadError | ObjectError
    ) -> None:
        asked_s = 0.0
        if isinstance(error, Throttled):
            asked_s = error.retry_after_s
        self._pause(attempt, asked_s)


__all__ = ["RetryAbortedError", "RetryBackoff", "RetryingWriter"]
