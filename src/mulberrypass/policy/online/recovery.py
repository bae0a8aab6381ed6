"""Which recorded requests have lost their holder, and who looks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

SWEEPERS = 2


@dataclass(frozen=True, slots=True)
class Claim:
    """Who runs a request that has no outcome yet."""

    request_id: str
    holder: str
    incarnation: int


def is_sweeper(member: str, live: Sequence[str]) -> bool:
    """Say whether a member is one of the few that look for lost holders."""
    ranked = sorted(live, key=_rank)
    return member in ranked[:SWEEPERS]


def orphans(
    claims: Iterable[Claim], incarnations: Mapping[str, int]
) -> tuple[str, ...]:
    """Give the requests whose holder is gone or has started anew.

    :param incarnations: incarnation of each member that isn't dead
    """
    return tuple(
        claim.request_id
        for claim in claims
        if incarnations.get(claim.holder, -1) != claim.incarnation
    )


def _rank(member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"sweeper/{member}".encode())


__all__ = ["Claim", "SWEEPERS", "is_sweeper", "orphans"]
