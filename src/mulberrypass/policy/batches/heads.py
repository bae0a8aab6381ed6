"""Changes of a job's head, and who is to run a job; pure rules."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from mulberrypass.model.batch_jobs import ItemOutcome, JobHead


def list_outcomes(
    head: JobHead, outcomes: Iterable[ItemOutcome]
) -> tuple[JobHead, tuple[ItemOutcome, ...]]:
    """Give each outcome that is new the next position.

    The first outcome of an item stands; nothing is listed of a job that
    its caller has ended.

    :returns: the head with them, and those that were listed, in order
    """
    if head.ended:
        return head, ()
    listed: list[ItemOutcome] = []
    done = set(head.done)
    for outcome in outcomes:
        if outcome.index not in done:
            done.add(outcome.index)
            listed.append(outcome)
    changed = replace(
        head,
        done=frozenset(done),
        results=head.results + len(listed),
        busy=head.busy - done,
    )
    return changed, tuple(listed)


def waiting_tokens(heads: Iterable[JobHead], route: str) -> int:
    """Count the tokens of unfinished items on a route."""
    return sum(h.waiting_tokens for h in heads if h.route == route)


def fits(waiting: int, tokens: int, quota: int) -> bool:
    """Whether a job may be taken; a quota of 0 is no limit."""
    return quota <= 0 or waiting + tokens <= quota


def next_holder(
    head: JobHead, live: Collection[str], known: Collection[str]
) -> str | None:
    """Name the live member that should take a job over.

    :param live: members that may run jobs
    :param known: members not known to be dead, those that leave included
    :returns: ``None`` where its holder is well
    """
    if not head.open or head.holder in live:
        return None
    if head.holder in known:
        # It leaves, and hands its jobs over by itself.
        return None
    return rendezvous.pick(head.job_id, live)


def hand_over(
    head: JobHead,
    running: frozenset[int],
    me: str,
    live: Collection[str],
    until: float,
) -> JobHead:
    """Give a job to another member while some items still run here.

    :param until: Unix time at which this member has ended at the latest
    """
    others = [name for name in live if name != me]
    heir = rendezvous.pick(head.job_id, others) or ""
    return replace(
        head,
        holder=heir,
        busy=running - head.done,
        busy_by=me,
        busy_until=until,
    )


def claim(head: JobHead, me: str) -> JobHead:
    """Give a job to a member that takes it over."""
    return replace(head, holder=me)


def runnable(
    head: JobHead, known: Collection[str], now: float
) -> tuple[int, ...]:
    """Give the items that the holder is to run, in their order.

    A member that left and started again has the name that it had, so what
    it said to run still is believed for a while only.

    :param now: Unix time
    """
    if not head.open:
        return ()
    busy = head.busy_by in known and now < head.busy_until
    elsewhere = head.busy if busy else frozenset()
    return tuple(
        index
        for index in range(head.total)
        if index not in head.done and index not in elsewhere
    )


__all__ = [
    "claim",
    "fits",
    "hand_over",
    "list_outcomes",
    "next_holder",
    "runnable",
    "waiting_tokens",
]
