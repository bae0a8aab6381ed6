"""Refuses online work at once if it can't start in time.

This handles periodic bursts: two seconds at nearly twice the mean rate, then
three seconds at a third of it. In order of arrival, a small excess delays
everything; with early refusal a few callers retry after the burst and the
rest start in time. Retries may wait longer than first attempts, and queued
work that has become late is served after work that can still be in time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.admission.arrivals import ArrivalRate

if TYPE_CHECKING:
    from mulberrypass.policy.messages import Ask

HASH_RANGE = 2**64


@value_class
class EarlyRefusalSettings:
    """Settings of early refusal.

    :param window_s: window of the arrival rate
    :param fresh_share: share of the start limit that the expected wait of a
        first attempt may take; a retry may use all of it
    :param over_share: the same for a customer over its share of the slots,
        which shrinks while the others' demand grows; its retries may use
        ``fresh_share``
    :param return_share: share of the remaining budget within which callers
        retry
    :param spread: share of the retry delay over which retries are spread
    :param remembered: maximum number of refused requests remembered
    :param memory_s: how long a refused request is remembered
    """

    window_s: float = 0.5
    fresh_share: float = 0.65
    over_share: float = 0.3
    return_share: float = 1 / 3
    spread: float = 0.25
    remembered: int = 10_000
    memory_s: float = 6.0


class EarlyRefusal:
    """Decides whether to queue an online ask, or when to retry it."""

    def __init__(self, settings: EarlyRefusalSettings) -> None:
        self._settings = settings
        self._arrivals = ArrivalRate(settings.window_s)
        self._refused: OrderedDict[int, float] = OrderedDict()

    def count_arrival(self, now: float) -> None:
        """Count an arrival."""
        self._arrivals.add(now)

    def is_retry(self, ask: Ask, now: float) -> bool:
        """Return whether an ask's request was refused recently."""
        until = self._refused.get(ask.subject)
        return bool(ask.subject) and until is not None and now < until

    def retry_after_s(
        self,
        ask: Ask,
        wait_s: float,
        capacity_per_s: float,
        now: float,
        *,
        over_share: bool = False,
    ) -> float | None:
        """Return the delay before a retry; ``None`` to queue the ask.

        :param wait_s: expected wait for a slot
        :param capacity_per_s: online asks that can start per second
        :param over_share: whether its customer uses all of its share
        """
        if ask.start_within_s <= 0:
            return None
        cfg = self._settings
        first, again = cfg.fresh_share, 1.0
        if over_share:
            first, again = cfg.over_share, cfg.fresh_share
        share = again if self.is_retry(ask, now) else first
        if wait_s <= ask.start_within_s * share:
            return None
        self._remember(ask, now)
        max_delay_s = ask.budget_s * self._settings.return_share
        overloaded = self.rate_per_s(now) >= capacity_per_s
        delay_s = max_delay_s if overloaded else min(max_delay_s, wait_s)
        return delay_s * (1.0 - self._settings.spread * _jitter(ask))

    def rate_per_s(self, now: float) -> float:
        """Return the online arrivals per second."""
        return self._arrivals.per_s(now)

    def _remember(self, ask: Ask, now: float) -> None:
        if not ask.subject:
            return
        self._refused[ask.subject] = now + self._settings.memory_s
        self._refused.move_to_end(ask.subject)
        while len(self._refused) > self._settings.remembered:
            self._refused.popitem(last=False)


def _jitter(ask: Ask) -> float:
    """Return a number in [0, 1), the same for each copy of an ask."""
    return xxhash.xxh3_64_intdigest(ask.ask_id.encode()) / HASH_RANGE


__all__ = ["EarlyRefusal", "EarlyRefusalSettings"]
