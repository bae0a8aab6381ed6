"""Order and latest start of batch items.

Under overload, items that can no longer finish by their due time go behind
those that still can, so that capacity isn't spent on many items that all
finish slightly late.
"""

from __future__ import annotations

from mulberrypass.model.value_class import value_class

# Slack for runs that take longer than estimated, and for bursts of online
# requests, which interrupt a run for two to three seconds.
SLACK_SHARE = 0.2
SLACK_S = 1.0
# An item that stalls is left after 3 s at most.
NEAR_DUE_S = 2.0
# Puts items that are late anyway behind all others.
LATE_BUDGET_S = 600.0
INITIAL_TOKEN_S = 0.004
DECAY = 0.9


@value_class
class ItemOrder:
    """The queue position of an item.

    :param budget_s: seconds until the item is due; the sort key
    :param start_within_s: seconds until its latest start, ``None`` if that
        has passed
    """

    budget_s: float
    start_within_s: float | None


class ItemPace:
    """Moving average of the run time per token of the estimated output."""

    def __init__(self) -> None:
        self._token_s = INITIAL_TOKEN_S

    @property
    def token_s(self) -> float:
        """Seconds per token of the estimated output."""
        return self._token_s

    def observe(self, tokens: int, seconds: float) -> None:
        """Update the average with a run that wasn't interrupted.

        :param tokens: estimated number of output tokens
        """
        if tokens > 0:
            sample = seconds / tokens
            self._token_s = DECAY * self._token_s + (1 - DECAY) * sample


def order_item(due_in_s: float, remaining_s: float) -> ItemOrder:
    """Return the queue position of an item.

    :param due_in_s: seconds until it is due
    :param remaining_s: estimated seconds that it still has to run
    """
    latest_start_s = due_in_s - remaining_s * (1 + SLACK_SHARE)
    if latest_start_s <= 0:
        return ItemOrder(LATE_BUDGET_S, None)
    return ItemOrder(due_in_s, max(SLACK_S / 2, latest_start_s))


def is_near_due(due_in_s: float, remaining_s: float) -> bool:
    """Return whether an item is expected to end near its due time.

    A stall decides whether such an item is late; others have time, or are
    late anyway.

    :param due_in_s: seconds until it is due
    :param remaining_s: estimated seconds that it still has to run
    """
    return abs(due_in_s - remaining_s) <= NEAR_DUE_S


__all__ = ["ItemOrder", "ItemPace", "is_near_due", "order_item"]
