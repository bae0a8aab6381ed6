"""Refuses online work at once where it can't start in time.

Answers pulses: for two seconds work comes at nearly twice the mean, then
three seconds at a third of it. Served in order of arrival, a small excess
makes everyone late; refused at once, a few come back in the valley and the
rest are in time. Who comes back is queued before who comes first is, and
what has become late all the same waits behind what can be in time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from mulberrypass.policy.admission.arrivals import ArrivalRate

if TYPE_CHECKING:
    from mulberrypass.policy.messages import Ask

HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class EarlyRefusalSettings:
    """Numbers of early refusal.

    :param window_s: arrivals are counted over this
    :param fresh_share: share of the time to start that the wait may take
        for who comes first; who comes back may use all of it
    :param return_share: share of the time left within which callers return
    :param spread: part of the return time over which returns are spread
    :param remembered: refused requests that are known when they come back
    :param memory_s: how long they are known
    """

    window_s: float = 0.5
    fresh_share: float = 0.65
    return_share: float = 1 / 3
    spread: float = 0.25
    remembered: int = 10_000
    memory_s: float = 6.0


class EarlyRefusal:
    """Decides whether an online ask is queued, and when to come back."""

    def __init__(self, settings: EarlyRefusalSettings) -> None:
        self._settings = settings
        self._arrivals = ArrivalRate(settings.window_s)
        self._refused: OrderedDict[int, float] = OrderedDict()

    def count_arrival(self, now: float) -> None:
        """Count an arrival."""
        self._arrivals.add(now)

    def is_retry(self, ask: Ask, now: float) -> bool:
        """Whether an ask's request was refused before."""
        until = self._refused.get(ask.subject)
        return bool(ask.subject) and until is not None and now < until

    def retry_after_s(
        self, ask: Ask, wait_s: float, capacity_per_s: float, now: float
    ) -> float | None:
        """Judge an ask.

        :param wait_s: expected wait for a slot
        :param capacity_per_s: online work that can be started a second
        :returns: when to come back; ``None`` where it is to be queued
        """
        if ask.start_within_s <= 0:
            return None
        share = 1.0 if self.is_retry(ask, now) else self._settings.fresh_share
        if wait_s <= ask.start_within_s * share:
            return None
        self._remember(ask, now)
        max_delay_s = ask.budget_s * self._settings.return_share
        overloaded = self.rate_per_s(now) >= capacity_per_s
        delay_s = max_delay_s if overloaded else min(max_delay_s, wait_s)
        return delay_s * (1.0 - self._settings.spread * _jitter(ask))

    def rate_per_s(self, now: float) -> float:
        """Give the online arrivals a second."""
        return self._arrivals.per_s(now)

    def _remember(self, ask: Ask, now: float) -> None:
        if not ask.subject:
            return
        self._refused[ask.subject] = now + self._settings.memory_s
        self._refused.move_to_end(ask.subject)
        while len(self._refused) > self._settings.remembered:
            self._refused.popitem(last=False)


def _jitter(ask: Ask) -> float:
    """Give a number below 1 that is the same each time."""
    return xxhash.xxh3_64_intdigest(ask.ask_id.encode()) / HASH_RANGE


__all__ = ["EarlyRefusal", "EarlyRefusalSettings"]
