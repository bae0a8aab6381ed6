"""Which entry instances a caller is told to use."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

ANSWER_SIZE = 3
TTL_S = 10


@dataclass(frozen=True, slots=True)
class Candidate:
    """One entry instance that a caller may be told to use.

    :param in_flight: requests that it is known to be answering
    """

    member: str
    zone: str
    address: str
    in_flight: int = 0


def choose(
    candidates: Sequence[Candidate], zone: str, caller: str
) -> tuple[Candidate, ...]:
    """Choose addresses, spread over instances and zones.

    Callers of a zone are told of its instances first, in an order that
    differs between callers; the last address is in another zone, so that
    the loss of a zone leaves the caller one.

    :param zone: zone of the caller, empty if unknown
    :param caller: what tells callers apart
    """
    ranked = sorted(candidates, key=lambda c: _score(c, caller), reverse=True)
    near = [c for c in ranked if c.zone == zone] if zone else ranked
    first = near[: ANSWER_SIZE - 1]
    zones = {c.zone for c in first}
    others = [c for c in ranked if c not in first]
    elsewhere = [c for c in others if c.zone not in zones]
    rest = elsewhere + [c for c in others if c not in elsewhere]
    return tuple((first + rest)[:ANSWER_SIZE])


def _score(candidate: Candidate, caller: str) -> float:
    """Rank by weighted rendezvous hashing, less for a loaded instance."""
    label = f"{caller}/{candidate.member}"
    draw = (xxhash.xxh3_64_intdigest(label.encode()) + 1) / (2**64 + 1)
    weight = 1.0 / (1.0 + candidate.in_flight)
    return -weight / math.log(draw)


__all__ = ["ANSWER_SIZE", "Candidate", "TTL_S", "choose"]
