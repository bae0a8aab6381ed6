"""Repeats calls to the object store whose reply was lost."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.store import (
    Exists,
    Missing,
    Objects,
    Throttled,
    Unavailable,
)
from mulberrypass.runtime.metrics import Decision
from mulberrypass.storage.retrying_table import RetryPolicy

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.model.store import ObjectError
    from mulberrypass.runtime.metrics import Metrics


class RetryingObjects(Objects):
    """An object store that resolves lost replies by repeating calls.

    An ``Exists`` error after a lost reply counts as success if the stored
    bytes are the same.
    """

    def __init__(
        self,
        objects: Objects,
        rng: random.Random | None = None,
        sleep: Callable[[float], None] = time.sleep,
        metrics: Metrics | None = None,
        policy: RetryPolicy | None = None,
    ) -> None:
        self._objects = objects
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._metrics = metrics
        self._policy = policy or RetryPolicy()

    def put(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Write an object."""
        result, ambiguous = self._retry(lambda: self._objects.put(key, data))
        if not ambiguous or result.is_ok():
            return result
        if not isinstance(result.error, Exists):
            return result
        stored = self._objects.get(key)
        match stored.error if stored.is_error() else None:
            case None:
                return Ok(None) if stored.ok == data else result
            case Missing():
                return Error(Unavailable("removed meanwhile", True))
        return Error(Unavailable("not read back", maybe_applied=True))

    def get(self, key: str) -> Result[bytes, ObjectError]:
        """Read a whole object."""
        return self._objects.get(key)

    def delete(self, key: str) -> Result[None, ObjectError]:
        """Delete an object."""
        result, ambiguous = self._retry(lambda: self._objects.delete(key))
        if result.is_ok() or not ambiguous:
            return result
        gone = isinstance(result.error, Missing)
        return Ok(None) if gone else result

    def _retry(
        self, call: Callable[[], Result[None, ObjectError]]
    ) -> tuple[Result[None, ObjectError], bool]:
        """Repeat a call until it is answered or the attempts run out.

        :returns: the last result, and whether an earlier reply was lost
        """
        ambiguous = False
        for attempt in range(1, self._policy.attempts + 1):
            result = call()
            if result.is_ok():
                return result, ambiguous
            match result.error:
                case Missing() | Exists():
                    return result, ambiguous
                case Unavailable(maybe_applied=True):
                    ambiguous = True
                case _ if not ambiguous:
                    return result, ambiguous
            if attempt < self._policy.attempts:
                self._wait(attempt, result.error)
        return Error(Unavailable("not settled", maybe_applied=True)), ambiguous

    def _wait(self, attempt: int, error: ObjectError) -> None:
        wait_s = self._policy.backoff.wait_s(attempt, self._rng.random())
        if isinstance(error, Throttled):
            wait_s = max(wait_s, error.retry_after_s)
        if self._metrics is not None:
            self._metrics.count(Decision.PLATFORM_RETRIED)
        self._sleep(wait_s)


__all__ = ["RetryingObjects"]
