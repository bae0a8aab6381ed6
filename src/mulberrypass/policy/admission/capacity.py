"""What engines can take, by their slots and the limits that they name."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.engine_limits import MIN_PER_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from mulberrypass.policy.admission.engines import Engine


def free_slots(engine: Engine, now: float) -> int:
    """Return the slots that online work can have now."""
    free = engine.backend.slots - engine.running + engine.revocable
    if engine.limit is not None:
        free = min(free, int(engine.limit.left(now)))
    return max(0, free)


def usable_slots(engine: Engine, mean_s: float) -> int:
    """Return the slots that online work can keep busy.

    :param mean_s: mean service time; 0 if unknown
    """
    slots = max(0, min(engine.cap, engine.backend.slots - engine.fixed))
    if engine.limit is None or mean_s <= 0:
        return slots
    return min(slots, math.ceil(engine.limit.per_s * mean_s))


def limited_wait_s(
    engines: Collection[Engine], requests: int, now: float
) -> float:
    """Return when engines take the last of some requests.

    :returns: 0 unless all engines name limits
    """
    limits = [engine.limit for engine in engines if engine.limit is not None]
    if not limits or len(limits) < len(engines):
        return 0.0
    missing = requests - sum(limit.left(now) for limit in limits)
    rate = sum(max(MIN_PER_S, limit.per_s) for limit in limits)
    return max(0.0, missing / rate)


__all__ = ["free_slots", "limited_wait_s", "usable_slots"]
