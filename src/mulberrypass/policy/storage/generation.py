"""Selection of the source of the next configuration, and polling."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Mapping

POLL_S = 1.0
MAX_BACKOFF_S = 4.0
FLEET_POLLS_PER_S = 200.0
JITTER_SHARE = 0.25


@value_class
class UpToDate:
    """No configuration newer than the one in force is known."""


@value_class
class FromPeer:
    """Fetch from a member that has announced a newer configuration."""

    member: str
    at_least: int


@value_class
class FromStore:
    """Fetch the snapshot that the head row names."""

    generation: int


@value_class
class Unreachable:
    """A newer configuration exists, but no source of it is left."""

    generation: int


NextSource = UpToDate | FromPeer | FromStore | Unreachable


def next_source(
    in_force: int,
    head: int,
    hints: Mapping[str, int],
    store_failed: bool,
    draw: float,
) -> NextSource:
    """Choose the source of a newer configuration.

    Members that hold the same generation are preferred to the object
    store, so that reads of the store don't grow with the fleet.

    :param head: highest generation read from the head row
    :param hints: generation that each member has announced, without the
        members from which a fetch has failed
    :param store_failed: whether the store has returned no snapshot since
        the head was last read
    :param draw: uniform random number from 0 to 1
    """
    newest_hint = max(hints.values(), default=0)
    if head > max(in_force, newest_hint) and not store_failed:
        return FromStore(head)
    if newest_hint > in_force:
        holders = sorted(m for m, held in hints.items() if held == newest_hint)
        return FromPeer(_choose(holders, draw), newest_hint)
    if head > in_force:
        return Unreachable(head)
    return UpToDate()


def applies(in_force: int, offered: int) -> bool:
    """Return whether an offered configuration is newer than the current."""
    return offered > in_force


def poll_after_s(members: int, failures: int, draw: float) -> float:
    """Return the seconds until the next read of the head row.

    :param members: number of processes that poll the same row
    :param failures: number of consecutive failed reads
    :param draw: uniform random number from 0 to 1
    """
    interval = max(POLL_S, members / FLEET_POLLS_PER_S)
    if failures:
        interval = max(interval, min(MAX_BACKOFF_S, POLL_S * 2**failures))
    return interval * (1 - JITTER_SHARE + 2 * JITTER_SHARE * draw)


def _choose(names: list[str], draw: float) -> str:
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
