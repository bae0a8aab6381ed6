"""Remembers engines whose latest run has failed, for the choice of a retry.

The load that it addresses: several engines of a cell fail each run at once,
so that they are idle and are granted first. Their owner takes at most half
of the engines of a cell out, and a request has few attempts.
"""

from __future__ import annotations

import threading

# Longer than an owner takes to judge an engine, and short enough that engines
# that have recovered get retries again.
FAILING_S = 2.0


class FailingEngines:
    """The engines whose latest run here has failed; safe on any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._failed_at: dict[str, float] = {}

    def note(self, engine: str, sound: bool, now: float) -> None:
        """Note how a run has ended.

        :param sound: whether its answer was whole
        """
        with self._lock:
            if sound:
                self._failed_at.pop(engine, None)
            else:
                self._failed_at[engine] = now

    def names(self, now: float) -> tuple[str, ...]:
        """Return the engines that a retry had better not ask."""
        with self._lock:
            self._failed_at = {
                name: at
                for name, at in self._failed_at.items()
                if now - at < FAILING_S
            }
            return tuple(self._failed_at)


__all__ = ["FAILING_S", "FailingEngines"]
