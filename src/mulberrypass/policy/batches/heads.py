"""Pure functions on job heads: outcomes, quotas, holders, takeover."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from mulberrypass.model.batch_jobs import ItemOutcome, JobHead


def record_outcomes(
    head: JobHead, outcomes: Iterable[ItemOutcome]
) -> tuple[JobHead, tuple[ItemOutcome, ...]]:
    """Record new outcomes in a head, in the order of the results.

    Only the first outcome of an item counts; a job that its caller has
    ended gets no more outcomes.

    :returns: the changed head, and the outcomes that were recorded, in
        order
    """
    if head.ended:
        return head, ()
    recorded: list[ItemOutcome] = []
    done = set(head.done)
    for outcome in outcomes:
        if outcome.index not in done:
            done.add(outcome.index)
            recorded.append(outcome)
    changed = replace(
        head,
        done=frozenset(done),
        results=head.results + len(recorded),
        busy=head.busy - done,
    )
    return changed, tuple(recorded)


def waiting_tokens(
    heads: Iterable[JobHead],
    route: str,
    customer: str | None = None,
    prefix: str = "",
) -> int:
    """Return the number of tokens in unfinished items on a route.

    :param route: name of the route
    :param customer: whose items to count; ``None`` for all
    :param prefix: that of the route, which may have been renamed since it
        accepted a job; empty to go by its name only
    """

    def is_on(head: JobHead) -> bool:
        renamed = bool(prefix) and head.prefix == prefix
        return head.route == route or renamed

    return sum(
        head.waiting_tokens
        for head in heads
        if is_on(head) and customer in (None, head.customer)
    )


def within_quota(waiting: int, tokens: int, quota: int) -> bool:
    """Return whether a job fits the quota; 0 means no limit."""
    return quota <= 0 or waiting + tokens <= quota


def next_holder(
    head: JobHead, live: Collection[str], known: Collection[str]
) -> str | None:
    """Return the live member that should take over a job.

    :param live: members that may run jobs
    :param known: members not known to be dead, including leaving ones
    :returns: ``None`` if the job needs no new holder
    """
    if not head.open or head.holder in live:
        return None
    if head.holder in known:
        # A leaving holder hands over its jobs itself.
        return None
    return rendezvous.pick(head.job_id, live)


def hand_over(
    head: JobHead,
    running: frozenset[int],
    me: str,
    live: Collection[str],
    for_s: float,
    now: float,
) -> JobHead:
    """Return the head with another member as its holder.

    Items that still run on this member stay with it.

    :param for_s: time by which this member has exited at the latest
    :param now: Unix time
    """
    others = [name for name in live if name != me]
    successor = rendezvous.pick(head.job_id, others) or ""
    return replace(
        head,
        holder=successor,
        busy=running - head.done,
        busy_by=me,
        busy_for_s=for_s,
        busy_until=now + for_s,
    )


def claim(head: JobHead, me: str) -> JobHead:
    """Return the head with a member as its new holder."""
    return replace(head, holder=me)


def runnable(
    head: JobHead, known: Collection[str], waited_s: float, now: float
) -> tuple[int, ...]:
    """Return the indexes of the items that the holder is to run, in order.

    Items that the former holder still ran stay with it only for
    ``busy_for_s``: a restarted member has its old name but not its items.
    Clocks may differ, and this member may have seen the hand-over late, so
    the earlier of both ends counts; an item may run twice.

    :param waited_s: time since this member first saw the hand-over
    :param now: Unix time
    """
    if not head.open:
        return ()
    waiting = waited_s < head.busy_for_s and now < head.busy_until
    busy = waiting and head.busy_by in known
    elsewhere = head.busy if busy else frozenset()
    return tuple(
        index
        for index in range(head.total)
        if index not in head.done and index not in elsewhere
    )


__all__ = [
    "claim",
    "hand_over",
    "next_holder",
    "record_outcomes",
    "runnable",
    "waiting_tokens",
    "within_quota",
]
