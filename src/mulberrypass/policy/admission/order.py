"""Order of the asks of one customer.

This handles refusals of a pulse, whose callers return together with the first
attempts of the next requests: who returns goes first among equals.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.admission.queueing import QueuedAsk, lane_of
from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from mulberrypass.policy.messages import Ask


def make_queued(
    ask: Ask,
    work: float,
    needed_s: float,
    now: float,
    *,
    sequence: int,
    patience_s: float,
    returns: bool,
) -> QueuedAsk:
    """Return an ask with its place in its customer's order.

    Online work sorts by latest start, and behind all other work once late;
    batch work sorts by deadline and is refused after its latest start.

    :param needed_s: expected service time
    :param patience_s: time after which online work is refused; 0 for no limit
    :param returns: whether its request was refused before
    """
    deadline = now + ask.budget_s
    order = deadline
    drop_at = deadline - needed_s
    if ask.work_class is WorkClass.BATCH and ask.start_within_s > 0:
        drop_at = now + ask.start_within_s
    elif ask.start_within_s > 0:
        order = now + ask.start_within_s
        if patience_s > 0:
            drop_at = min(drop_at, now + patience_s)
    return QueuedAsk(
        ask,
        work,
        deadline,
        drop_at,
        sequence,
        lane_of(ask),
        order,
        first=returns,
    )


__all__ = ["make_queued"]
