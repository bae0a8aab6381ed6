"""Where the next configuration comes from, and when to look for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

POLL_S = 1.0
MAX_BACKOFF_S = 4.0
FLEET_POLLS_PER_S = 200.0
JITTER = 0.25


@dataclass(frozen=True, slots=True)
class UpToDate:
    """Nothing newer than the configuration in force is known."""


@dataclass(frozen=True, slots=True)
class FromPeer:
    """Fetch from a member that is known to hold a newer configuration."""

    member: str
    at_least: int


@dataclass(frozen=True, slots=True)
class FromStore:
    """Fetch the snapshot that the head row names."""

    generation: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Something newer is known, but no source of it is left to ask."""

    generation: int


NextSource = UpToDate | FromPeer | FromStore | Unreachable


def next_source(
    in_force: int,
    head: int,
    hints: Mapping[str, int],
    store_failed: bool,
    draw: float,
) -> NextSource:
    """Choose where to fetch a newer configuration from.

    Members are asked before the object store where they hold as much, so
    that the reads of the store do not grow with the fleet.

    :param head: the highest generation that the head row has shown
    :param hints: generation that each member has said it holds, without
        those that were asked in vain
    :param store_failed: whether the store gave no snapshot since the head
        was last read
    :param draw: uniform random number from 0 to 1
    """
    hinted = max(hints.values(), default=0)
    if head > max(in_force, hinted) and not store_failed:
        return FromStore(head)
    if hinted > in_force:
        holders = sorted(m for m, held in hints.items() if held == hinted)
        return FromPeer(_pick(holders, draw), hinted)
    if head > in_force:
        return Unreachable(head)
    return UpToDate()


def applies(in_force: int, offered: int) -> bool:
    """Say whether a configuration may take the place of the one in force."""
    return offered > in_force


def poll_after_s(members: int, failures: int, draw: float) -> float:
    """Give the time until the next read of the head row.

    :param members: processes that poll the same row
    :param failures: reads that have failed in a row
    :param draw: uniform random number from 0 to 1
    """
    interval = max(POLL_S, members / FLEET_POLLS_PER_S)
    if failures:
        interval = max(interval, min(MAX_BACKOFF_S, POLL_S * 2**failures))
    return interval * (1 - JITTER + 2 * JITTER * draw)


def _pick(names: list[str], draw: float) -> str:
    return names[min(int(draw * len(names)), len(names) - 1)]


__all__ = [
    "FromPeer",
    "FromStore",
    "NextSource",
    "Unreachable",
    "UpToDate",
    "applies",
    "next_source",
    "poll_after_s",
]
