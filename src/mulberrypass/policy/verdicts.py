"""Remembers released permits whose runs may still be judged."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from mulberrypass.policy.messages import ReleaseOutcome

if TYPE_CHECKING:
    from mulberrypass.policy.messages import Release

V = TypeVar("V")

# A stream's end is settled within 1 s of doubt; an item's second run may wait
# for a slot and a pause of 1 s too.
VERDICT_WAIT_S = 10.0
# Permits; 100 a second for that time.
MAX_AWAITED = 1_000
VERDICTS = (ReleaseOutcome.DONE, ReleaseOutcome.FAILED)


class AwaitedVerdicts(Generic[V]):
    """Holds a value for each permit that was released as cancelled.

    A second release of it, as done or failed, is the verdict on its run.
    """

    def __init__(self) -> None:
        self._values: dict[str, tuple[float, V]] = {}

    def __contains__(self, ask_id: object) -> bool:
        return ask_id in self._values

    def __len__(self) -> int:
        return len(self._values)

    def put(self, ask_id: str, value: V, now: float) -> None:
        """Remember a permit for a short time, instead of the oldest ones."""
        self._drop(now)
        self._values.pop(ask_id, None)
        while len(self._values) >= MAX_AWAITED:
            del self._values[next(iter(self._values))]
        self._values[ask_id] = (now + VERDICT_WAIT_S, value)

    def take(self, message: Release, now: float) -> V | None:
        """Return and forget the value of the permit that is judged.

        :returns: ``None`` if it is unknown, or if this is no verdict
        """
        self._drop(now)
        if message.outcome not in VERDICTS:
            return None
        held = self._values.pop(message.ask_id, None)
        return None if held is None else held[1]

    def _drop(self, now: float) -> None:
        while self._values:
            oldest = next(iter(self._values))
            if now < self._values[oldest][0]:
                return
            del self._values[oldest]


__all__ = ["AwaitedVerdicts", "MAX_AWAITED", "VERDICT_WAIT_S"]
