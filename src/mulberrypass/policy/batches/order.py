"""When a batch item must start to be done when it is due.

Answers more batch work than there is room for: items that can't be done
in time any more go behind those that can, so that room isn't spent on
many that all end just late.
"""

from __future__ import annotations

from dataclasses import dataclass

# A run takes longer than expected, and is interrupted by a pulse of online
# work, which lasts two to three seconds.
SPARE_SHARE = 0.2
SPARE_S = 1.0
# Items that are late anyway go behind all others.
LATE_BUDGET_S = 600.0
FIRST_PACE_S = 0.004
MEMORY = 0.9


@dataclass(frozen=True, slots=True)
class ItemOrder:
    """How an item is queued.

    :param budget_s: seconds until it is due, by which items are ordered
    :param start_within_s: seconds until its latest start; ``None`` where
        that is over
    """

    budget_s: float
    start_within_s: float | None


class ItemPace:
    """Learns the seconds that a token of the estimated output takes."""

    def __init__(self) -> None:
        self._pace_s = FIRST_PACE_S

    @property
    def token_s(self) -> float:
        """Seconds for each token of the estimated output."""
        return self._pace_s

    def observe(self, tokens: int, seconds: float) -> None:
        """Learn from a run that was not interrupted.

        :param tokens: output tokens that were estimated
        """
        if tokens > 0:
            sample = seconds / tokens
            self._pace_s = MEMORY * self._pace_s + (1 - MEMORY) * sample


def order_item(due_in_s: float, left_s: float) -> ItemOrder:
    """Order an item.

    :param due_in_s: seconds until it is due
    :param left_s: seconds that it has still to run
    """
    latest = due_in_s - left_s * (1 + SPARE_SHARE)
    if latest <= 0:
        return ItemOrder(LATE_BUDGET_S, None)
    return ItemOrder(due_in_s, max(SPARE_S / 2, latest))


__all__ = ["ItemOrder", "ItemPace", "order_item"]
