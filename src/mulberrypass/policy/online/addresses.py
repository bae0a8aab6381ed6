"""Selection of the entry instances that a caller is to use."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ADDRESSES = 3
# How long a caller may cache the addresses.
TTL_S = 10


@value_class
class Candidate:
    """An entry instance whose address may be returned to a caller.

    :param in_flight: number of requests that it is known to process
    """

    member: str
    zone: str
    address: str
    in_flight: int = 0


def choose(
    candidates: Sequence[Candidate], zone: str, caller: str
) -> tuple[Candidate, ...]:
    """Choose addresses for a caller, spread over instances and zones.

    Instances in the caller's zone come first, in an order that differs
    between callers. The last address is in another zone, so that a caller
    keeps one when a zone fails.

    :param zone: zone of the caller, empty if unknown
    :param caller: identifies the caller
    """
    ranked = sorted(candidates, key=lambda c: _score(c, caller), reverse=True)
    local = [c for c in ranked if c.zone == zone] if zone else ranked
    first = local[: MAX_ADDRESSES - 1]
    zones = {c.zone for c in first}
    others = [c for c in ranked if c not in first]
    other_zones = [c for c in others if c.zone not in zones]
    rest = other_zones + [c for c in others if c not in other_zones]
    return tuple((first + rest)[:MAX_ADDRESSES])


def _score(candidate: Candidate, caller: str) -> float:
    """Return the weighted rendezvous score; load lowers the weight."""
    label = f"{caller}/{candidate.member}"
    uniform = (xxhash.xxh3_64_intdigest(label.encode()) + 1) / (2**64 + 1)
    weight = 1.0 / (1.0 + candidate.in_flight)
    return -weight / math.log(uniform)


__all__ = ["Candidate", "MAX_ADDRESSES", "TTL_S", "choose"]
