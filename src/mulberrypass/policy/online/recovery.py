"""Detection of recorded requests whose holder is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

SWEEPER_COUNT = 2


@value_class
class PendingRequest:
    """A recorded request without an outcome, and the process that runs it."""

    request_id: str
    holder: str
    incarnation: int


def is_sweeper(member: str, live: Sequence[str]) -> bool:
    """Return whether a member is one of the few that sweep for orphans."""
    ranked = sorted(live, key=_rank)
    return member in ranked[:SWEEPER_COUNT]


def orphans(
    pending: Iterable[PendingRequest], incarnations: Mapping[str, int]
) -> tuple[str, ...]:
    """Return the requests whose holder is gone or has restarted.

    :param incarnations: incarnation of each member that isn't dead
    """
    return tuple(
        req.request_id
        for req in pending
        if incarnations.get(req.holder, -1) != req.incarnation
    )


def _rank(member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"sweeper/{member}".encode())


__all__ = ["PendingRequest", "SWEEPER_COUNT", "is_sweeper", "orphans"]
