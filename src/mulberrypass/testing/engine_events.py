"""The cache events of a stand-in engine: late and with gaps."""

from __future__ import annotations

from collections import deque
import random
import threading
import time

from mulberrypass.engine.api import CacheEvent

KEPT_EVENTS = 10_000


class CacheLog:
    """Numbers cache events, loses some and tells the others late.

    :param lag_s: seconds after which an event is told
    :param loss: share of the events that are never told
    """

    def __init__(self, lag_s: float, loss: float, seed: int) -> None:
        self._lag_s = lag_s
        self._loss = loss
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=KEPT_EVENTS
        )

    def append(self, block: int, stored: bool) -> None:
        """Note that a block was stored or evicted."""
        with self._lock:
            self._sequence += 1
            if self._random.random() < self._loss:
                return
            event = CacheEvent(self._sequence, stored, block)
            self._events.append((time.monotonic(), event))

    def after(self, sequence: int) -> list[CacheEvent]:
        """Give the events after a number that are old enough."""
        horizon = time.monotonic() - self._lag_s
        with self._lock:
            return [
                event
                for at, event in self._events
                if event.sequence > sequence and at <= horizon
            ]


__all__ = ["CacheLog"]
