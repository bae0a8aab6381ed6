"""Draws the fault schedule of a run from its seed."""

from __future__ import annotations

from dataclasses import replace
import enum
import random
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_GAP_S = 0.1
MAX_GAP_S = 1.6
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
# Probability that a fault kind is repeated at once, on a random target.
REPEAT_PROBABILITY = 0.25
REPEAT_GAP_S = 0.3
# Planned work comes alone first: requests near an unplanned fault or the
# start of the instances are not judged, up to the checks' margin of 3 s.
CALM_S = 8.5
CALM_FIRST_S = 3.0
CALM_LAST_S = 5.5
# A series of reloads, its gaps short enough for their effects to overlap.
MAX_SERIES = 4
SERIES_GAP_S = 0.25
# Gaps between two series.
MIN_SERIES_GAP_S = 0.4
MAX_SERIES_GAP_S = 2.5
# Probability that all instances are lost at once, while other faults go on
# and at the end of a run.
LOSS_PROBABILITY = 0.3
LAST_LOSS_PROBABILITY = 0.5
# Time before the first engine that says that it leaves while the store is
# away, and gaps between two, in which other checks can judge.
FIRST_SAYS_S = 6.0
MIN_SAYS_GAP_S = 4.0
MAX_SAYS_GAP_S = 14.0
# Gaps between two series of answers without framing.
MAX_ENDS_GAP_S = 4.0
# Gaps between two changes of keys.
MIN_KEYS_GAP_S = 1.0
MAX_KEYS_GAP_S = 4.0
# Gaps between two series of moves of the routes.
MIN_MOVE_GAP_S = 2.0
MAX_MOVE_GAP_S = 6.0
# How long a customer sends several times its rate: most of a window of 5 s.
HOT_S = (3.0, 5.0)


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
    RELOAD = "reload"
    RELOAD_SERIES = "reloads of all in quick series"
    RELOAD_CHANGED = "reload of changed settings"
    RELOAD_BROKEN = "reload of broken settings"
    RELOAD_STOPPING = "reloads during a stop"
    RELOAD_STARTING = "reloads during a start"
    LOSS = "all instances lost at once"
    ENGINE_SAYS = "engine says that it leaves, store away"
    KEYS = "keys change, store away from an instance"
    HOT = "customer sends several times its rate"
    ENGINE_UNFRAMED = "engine's answers end with their connections"
    ENGINE_ENDS = "engine ends such answers between two events"
    MOVE = "routes move to another service"


RELOAD_KINDS = (
    FaultKind.RELOAD,
    FaultKind.RELOAD_SERIES,
    FaultKind.RELOAD_CHANGED,
    FaultKind.RELOAD_BROKEN,
    FaultKind.RELOAD_STOPPING,
    FaultKind.RELOAD_STARTING,
)
CUSTOMER_KINDS = (FaultKind.KEYS, FaultKind.HOT)
END_KINDS = (FaultKind.ENGINE_UNFRAMED, FaultKind.ENGINE_ENDS)
LATER_KINDS = frozenset(
    {
        *RELOAD_KINDS,
        FaultKind.LOSS,
        FaultKind.ENGINE_SAYS,
        *CUSTOMER_KINDS,
        *END_KINDS,
        FaultKind.MOVE,
    }
)
# Drawn from the seed's first stream, which must not change: a seed that once
# failed must give the same faults again.
FIRST_KINDS = tuple(kind for kind in FaultKind if kind not in LATER_KINDS)
PLANNED_KINDS = frozenset(
    {
        FaultKind.STOP,
        FaultKind.CONFIG,
        FaultKind.HOT,
        FaultKind.MOVE,
        FaultKind.ENGINE_DRAINS,
        *RELOAD_KINDS,
    }
) - {FaultKind.RELOAD_STARTING}
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


@value_class
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
    """Draw the faults of the first stream, which may overlap and repeat."""
    return tuple(
        _draw_faults(random.Random(seed), seconds, instances, engines)
    )


def _draw_faults(
    rng: random.Random, seconds: float, instances: int, engines: int
) -> Iterator[ScheduledFault]:
    at = rng.uniform(MIN_GAP_S, MAX_GAP_S)
    while at < seconds:
        kind = rng.choice(FIRST_KINDS)
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


def draw_run(
    seed: int, seconds: float, instances: int, engines: int
) -> tuple[ScheduledFault, ...]:
    """Draw all faults of a run in order.

    Reloads come alone until ``CALM_S``; then the faults of the first stream
    begin, with reloads and at times a loss of all instances among them.
    """
    rng = random.Random(f"{seed}-second")
    end = CALM_S + seconds
    faults = [
        replace(fault, at=CALM_S + fault.at)
        for fault in draw_faults(seed, seconds, instances, engines)
    ]
    faults += _draw_reloads(
        rng,
        CALM_FIRST_S,
        CALM_LAST_S,
        tuple(kind for kind in RELOAD_KINDS if kind in PLANNED_KINDS),
        instances,
    )
    faults += _draw_reloads(rng, CALM_S, end, RELOAD_KINDS, instances)
    if rng.random() < LOSS_PROBABILITY:
        faults.append(_draw_loss(rng, rng.uniform(CALM_S, end)))
    if rng.random() < LAST_LOSS_PROBABILITY:
        faults.append(_draw_loss(rng, end))
    third = random.Random(f"{seed}-third")
    faults += _draw_says(third, CALM_S, end, engines)
    fourth = random.Random(f"{seed}-fourth")
    gaps_s = (MIN_GAP_S, MAX_ENDS_GAP_S)
    faults += _draw_series(
        fourth, (CALM_S, end), MAX_ENDS_GAP_S, gaps_s, END_KINDS, engines
    )
    fifth = random.Random(f"{seed}-fifth")
    faults += _draw_keys(fifth, CALM_S, end, instances)
    sixth = random.Random(f"{seed}-sixth")
    for span in ((CALM_FIRST_S, CALM_LAST_S), (CALM_S, end)):
        faults += _draw_series(
            sixth,
            span,
            MIN_SERIES_GAP_S,
            (MIN_MOVE_GAP_S, MAX_MOVE_GAP_S),
            (FaultKind.MOVE,),
            1,
        )
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw_loss(rng: random.Random, at: float) -> ScheduledFault:
    duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    return ScheduledFault(at, FaultKind.LOSS, 0, duration_s)


def _draw_keys(
    rng: random.Random, begin: float, end: float, instances: int
) -> Iterator[ScheduledFault]:
    """Draw changes of keys, and moments in which a customer sends more."""
    at = begin + rng.uniform(0.0, MAX_KEYS_GAP_S)
    while at < end:
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        target = rng.randrange(instances)
        yield ScheduledFault(at, FaultKind.KEYS, target, duration_s)
        at += rng.uniform(MIN_KEYS_GAP_S, MAX_KEYS_GAP_S)
    # In the calm no fault holds up the callers, so that all send at once.
    calm_at = rng.uniform(CALM_FIRST_S, CALM_LAST_S)
    for at in (calm_at, begin + rng.uniform(0.0, MAX_KEYS_GAP_S)):
        yield ScheduledFault(at, FaultKind.HOT, 0, rng.uniform(*HOT_S))


def _draw_says(
    rng: random.Random, begin: float, end: float, engines: int
) -> Iterator[ScheduledFault]:
    at = begin + rng.uniform(0.0, FIRST_SAYS_S)
    while at < end:
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        kind = FaultKind.ENGINE_SAYS
        yield ScheduledFault(at, kind, rng.randrange(engines), duration_s)
        at += duration_s + rng.uniform(MIN_SAYS_GAP_S, MAX_SAYS_GAP_S)


def _draw_series(
    rng: random.Random,
    span: tuple[float, float],
    first_gap_s: float,
    gaps_s: tuple[float, float],
    kinds: tuple[FaultKind, ...],
    targets: int,
) -> Iterator[ScheduledFault]:
    """Draw overlapping series of faults, a single one now and then.

    :param span: begin and end
    :param first_gap_s: longest time before the first series
    :param gaps_s: shortest and longest gap between two series
    """
    begin, end = span
    at = begin + rng.uniform(0.0, first_gap_s)
    while at < end:
        for _ in range(rng.randint(1, MAX_SERIES)):
            yield ScheduledFault(
                at,
                rng.choice(kinds),
                rng.randrange(targets),
                rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
            )
            at += rng.uniform(0.0, SERIES_GAP_S)
        at += rng.uniform(*gaps_s)


def _draw_reloads(
    rng: random.Random,
    begin: float,
    end: float,
    kinds: tuple[FaultKind, ...],
    instances: int,
) -> Iterator[ScheduledFault]:
    gaps_s = (MIN_SERIES_GAP_S, MAX_SERIES_GAP_S)
    span = (begin, end)
    return _draw_series(rng, span, MIN_SERIES_GAP_S, gaps_s, kinds, instances)


__all__ = [
    "CALM_S",
    "INSTANCE_KINDS",
    "LATER_KINDS",
    "PLANNED_KINDS",
    "RELOAD_KINDS",
    "FaultKind",
    "ScheduledFault",
    "draw_faults",
    "draw_run",
]
