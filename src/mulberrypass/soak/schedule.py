"""Draws the faults of a run from its seed."""

from __future__ import annotations

from dataclasses import dataclass
import enum
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_GAP_S = 0.1
MAX_GAP_S = 1.6
MIN_LENGTH_S = 0.3
MAX_LENGTH_S = 3.0
# Faults come in series: the same once more, right after.
SERIES = 0.25
SERIES_GAP_S = 0.3


class FaultKind(enum.StrEnum):
    """What goes wrong, or is done as planned."""

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


PLANNED = frozenset(
    {FaultKind.STOP, FaultKind.CONFIG, FaultKind.ENGINE_DRAINS}
)
ON_INSTANCES = frozenset(
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
class Fault:
    """One fault.

    :param at: seconds from the start of the run
    :param target: number of the instance or engine
    :param for_s: seconds until it is mended
    """

    at: float
    kind: FaultKind
    target: int
    for_s: float

    @property
    def end(self) -> float:
        """Seconds from the start of the run at which it is mended."""
        return self.at + self.for_s


def draw(
    seed: int, seconds: float, instances: int, engines: int
) -> tuple[Fault, ...]:
    """Draw the faults of a run; they overlap and come in series."""
    return tuple(_faults(random.Random(seed), seconds, instances, engines))


def _faults(
    rng: random.Random, seconds: float, instances: int, engines: int
) -> Iterator[Fault]:
    at = rng.uniform(MIN_GAP_S, MAX_GAP_S)
    kinds = list(FaultKind)
    while at < seconds:
        kind = rng.choice(kinds)
        targets = instances if kind in ON_INSTANCES else engines
        fault = Fault(
            at,
            kind,
            rng.randrange(targets),
            rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S),
        )
        yield fault
        if rng.random() < SERIES:
            at += SERIES_GAP_S
            other = rng.randrange(targets)
            yield Fault(at, kind, other, fault.for_s)
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)


__all__ = ["Fault", "FaultKind", "ON_INSTANCES", "PLANNED", "draw"]
