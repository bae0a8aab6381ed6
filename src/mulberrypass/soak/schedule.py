"""Draws the fault schedule of a run from its seed."""

from __future__ import annotations

from dataclasses import dataclass
import enum
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_GAP_S = 0.1
MAX_GAP_S = 1.6
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
# Probability that a fault kind is repeated at once, on a random target.
REPEAT_PROBABILITY = 0.25
REPEAT_GAP_S = 0.3


class FaultKind(enum.StrEnum):
    """Kinds of faults and of planned operations."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_LOSES = "store loses answers"
    STORE_LATE = "store writes late"
    STORE_FORGETS = "store forgets its history"
    STORE_CUT = "instance cut from the store"
    STORE_ONE_WAY = "store's answers cut from an instance"
    STORE_SLOW = "store far from an instance"
    ENGINE_CUT = "engine cut off"
    ENGINE_DEAF = "engine's answers cut off"
    ENGINE_RESET = "engine's connections reset"
    ENGINE_SLOW = "engine far away"
    ENGINE_FULL = "engine full"
    ENGINE_BREAKS = "engine breaks streams off"
    ENGINE_DRAINS = "engine leaves and comes back"
    CONFIG = "configuration changes"


PLANNED_KINDS = frozenset(
    {FaultKind.STOP, FaultKind.CONFIG, FaultKind.ENGINE_DRAINS}
)
INSTANCE_KINDS = frozenset(
    {
        FaultKind.KILL,
        FaultKind.PAUSE,
        FaultKind.STOP,
        FaultKind.STORE_CUT,
        FaultKind.STORE_ONE_WAY,
        FaultKind.STORE_SLOW,
    }
)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One scheduled fault.

    :param at: seconds from the start of the run
    :param target: number of the instance or engine
    """

    at: float
    kind: FaultKind
    target: int
    duration_s: float

    @property
    def end(self) -> float:
        """End of the fault in seconds from the start of the run."""
        return self.at + self.duration_s


def draw_faults(
    seed: int, seconds: float, instances: int, engines: int
) -> tuple[ScheduledFault, ...]:
    """Draw the faults of a run, which may overlap and repeat."""
    return tuple(
        _draw_faults(random.Random(seed), seconds, instances, engines)
    )


def _draw_faults(
    rng: random.Random, seconds: float, instances: int, engines: int
) -> Iterator[ScheduledFault]:
    at = rng.uniform(MIN_GAP_S, MAX_GAP_S)
    kinds = list(FaultKind)
    while at < seconds:
        kind = rng.choice(kinds)
        targets = instances if kind in INSTANCE_KINDS else engines
        fault = ScheduledFault(
            at,
            kind,
            rng.randrange(targets),
            rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
        )
        yield fault
        if rng.random() < REPEAT_PROBABILITY:
            at += REPEAT_GAP_S
            other = rng.randrange(targets)
            yield ScheduledFault(at, kind, other, fault.duration_s)
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)


__all__ = [
    "ScheduledFault",
    "FaultKind",
    "INSTANCE_KINDS",
    "PLANNED_KINDS",
    "draw_faults",
]
