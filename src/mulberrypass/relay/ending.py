"""The planned end of a process, and what can be finished before it."""

from __future__ import annotations

from collections import deque
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.policy.online.answer_times import AnswerTime, may_finish

if TYPE_CHECKING:
    from collections.abc import Callable

REMEMBERED = 64
# Routes come and go with the configuration.
MAX_ROUTES = 1_024


class PlannedEnd:
    """Knows when work must have ended, and how long answers take here.

    Safe on any thread.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._at = float("inf")
        self._times: dict[str, deque[AnswerTime]] = {}

    @property
    def at(self) -> float:
        """When work must have ended, in monotonic seconds, or infinity."""
        return self._at

    def set(self, at: float) -> None:
        """Announce the end.

        :param at: monotonic seconds
        """
        self._at = at

    def note(self, route: str, tokens: int, seconds: float) -> None:
        """Note how long a complete answer took.

        :param tokens: expected length when the request came
        """
        with self._lock:
            times = self._times.get(route)
            if times is None:
                while len(self._times) >= MAX_ROUTES:
                    del self._times[next(iter(self._times))]
                times = self._times[route] = deque(maxlen=REMEMBERED)
            times.append(AnswerTime(tokens, seconds))

    def allows(self, route: str, tokens: int) -> bool:
        """Return whether an answer that begins now may end in time."""
        if self._at == float("inf"):
            return True
        with self._lock:
            times = tuple(self._times.get(route, ()))
        return may_finish(times, tokens, self._at - self._clock())


__all__ = ["PlannedEnd"]
