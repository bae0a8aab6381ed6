"""How much of a customer's limit an instance may lend.

Addresses members that are cut off from each other: the sum over all sides
stays within the bound of a window.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.policy.quotas.messages import Limit, QuotaSettings

# Parts of the margin between the limit and the bound of a window: what an
# owner's bucket holds beyond the burst, what a new owner starts with, and what
# a deputy lends. Two new owners and two deputies may lend within one window.
# Sides may have 1.05 of the owners' part together, so the sum stays below 1.
OWNER_PART = 0.25
START_PART = 0.15
DEPUTY_PART = 0.2
# Up to four sides that each see at least this share may lend one token more.
MIN_SHARE_OF_ONE = 0.25


@value_class
class BucketSize:
    """Rate and capacity of an owner's token bucket."""

    rate_per_s: float
    capacity: float


def owner_factor(share: float, overage: float) -> float:
    """Return the share of a limit that an owner may lend.

    The sides that see at most half lend half of their share. What the others
    may lend, beyond half of the overage, is taken off the side that sees more
    than half.

    :param share: share of the known members that the owner sees alive
    """
    if share <= 0.5:
        return share / 2
    return min(1.0, 1.0 + overage / 2 - (1.0 - share) / 2)


def margin(limit: Limit, settings: QuotaSettings) -> float:
    """Return the requests by which the sum may exceed the limit of a window.

    Half of the overage is left to members that are cut off from each other.
    """
    of_window = limit.of_window(settings.window_s)
    return of_window * settings.overage / 2 + settings.slack


def start_tokens(limit: Limit, share: float, settings: QuotaSettings) -> float:
    """Return the tokens with which the bucket of a new owner starts.

    Without any, each customer would be refused after a restart of the fleet.
    """
    factor = owner_factor(share, settings.overage)
    return START_PART * margin(limit, settings) * factor


def bucket_size(
    limit: Limit, share: float, settings: QuotaSettings
) -> BucketSize:
    """Return the rate and the capacity of an owner's bucket.

    Where a side's capacity is below one token, the rate is lowered for a
    capacity of one: each of many sides would otherwise have one token more.
    """
    factor = owner_factor(share, settings.overage)
    rate = limit.rate_per_s * factor
    # A bucket of the burst alone refuses customers of one request per second
    # far below the limit of their window, as their requests come by chance.
    burst = limit.burst + OWNER_PART * margin(limit, settings)
    capacity = burst * factor
    if capacity >= 1 or share >= MIN_SHARE_OF_ONE:
        return BucketSize(rate, max(1.0, capacity))
    of_window = limit.of_window(settings.window_s) * factor
    if of_window <= 1:
        return BucketSize(0.0, 0.0)
    return BucketSize((of_window - 1) / settings.window_s, 1.0)


def deputy_tokens(
    limit: Limit, share: float, since_s: float, settings: QuotaSettings
) -> int:
    """Return how many tokens a deputy may lend within one window.

    :param since_s: time for which it has been the deputy; a new one starts
        with none, so that many deputies in turn lend no more than two
    """
    whole = DEPUTY_PART * margin(limit, settings)
    grown = min(1.0, max(0.0, since_s / settings.window_s))
    return math.floor(whole * share * grown)


__all__ = [
    "BucketSize",
    "bucket_size",
    "deputy_tokens",
    "margin",
    "owner_factor",
    "start_tokens",
]
