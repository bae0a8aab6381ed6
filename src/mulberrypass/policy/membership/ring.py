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
    """Give the member's successor on each of several hashed rings.

    Each member follows one other on each ring, so that it is watched by as
    many as it watches, and news crosses the rings in few steps.

    :param others: names without the member itself
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
    """Give the next name on a ring that is not chosen already."""
    placed = sorted((_position(name, ring), name) for name in names)
    start = bisect_right(placed, (_position(me, ring), me))
    for step in range(len(placed)):
        name = placed[(start + step) % len(placed)][1]
        if name not in chosen:
            return name
    raise ValueError("fewer names than rings")


__all__ = ["neighbours"]
