"""Which members a member sends heartbeats to."""

from __future__ import annotations

from bisect import bisect_right
from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


@lru_cache(maxsize=16_384)
def _position(name: str, ring: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=ring)


def neighbours(me: str, others: Iterable[str], rings: int) -> tuple[str, ...]:
    """Return the member's successor on each of several hash rings.

    Every member has one predecessor and one successor on each ring, so it
    is monitored by about as many members as it monitors, and updates
    spread over the rings in few hops.

    :param others: names of all other members
    """
    names = tuple(others)
    if len(names) <= rings:
        return tuple(sorted(names))
    chosen: list[str] = []
    for ring in range(rings):
        chosen.append(_successor(me, names, ring, chosen))
    return tuple(sorted(chosen))


def _successor(
    me: str, names: tuple[str, ...], ring: int, chosen: list[str]
) -> str:
    """Return the next name on a ring that is not yet chosen."""
    ring_order = sorted((_position(name, ring), name) for name in names)
    start = bisect_right(ring_order, (_position(me, ring), me))
    for step in range(len(ring_order)):
        name = ring_order[(start + step) % len(ring_order)][1]
        if name not in chosen:
            return name
    raise ValueError("fewer names than rings")


__all__ = ["neighbours"]
