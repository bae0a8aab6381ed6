"""Prefix cache events of a stand-in engine, delayed and lossy."""

from __future__ import annotations

from collections import deque
import random
import threading
import time

from mulberrypass.engine.api import CacheEvent

MAX_EVENTS = 10_000


class CacheLog:
    """Numbers cache events, drops some and delays the others.

    :param lag_s: delay after which an event is visible
    :param loss: probability that an event is dropped
    """

    def __init__(self, lag_s: float, loss: float, seed: int) -> None:
        self._lag_s = lag_s
        self._loss = loss
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_EVENTS
        )

    def append(self, block: int, stored: bool) -> None:
        """Record that a block was stored or evicted."""
        with self._lock:
            self._sequence += 1
            if self._rng.random() < self._loss:
                return
            event = CacheEvent(self._sequence, stored, block)
            self._events.append((time.monotonic(), event))

    def after(self, sequence: int) -> list[CacheEvent]:
        """Return the visible events after a sequence number."""
        horizon = time.monotonic() - self._lag_s
        with self._lock:
            return [
                event
                for at, event in self._events
                if event.sequence > sequence and at <= horizon
            ]


__all__ = ["CacheLog"]
