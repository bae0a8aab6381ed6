"""Values that the rules of customers' limits take and return."""

from __future__ import annotations

import enum

from mulberrypass.model.value_class import value_class


class Role(enum.StrEnum):
    """What an instance does for the limit of a customer."""

    NONE = "none"
    DEPUTY = "deputy"
    OWNER = "owner"


@value_class
class QuotaSettings:
    """Settings of customers' limits.

    :param window_s: sliding window of the bound
    :param overage: share by which the bound exceeds the limit of a window
    :param slack: requests by which the bound exceeds it besides
    :param settle_s: time for which an instance is first in the ranking before
        it lends as owner; with ``hand_over_s`` it covers the time in which a
        change of the members spreads, since two owners would otherwise lend
        at once
    :param hand_over_s: time for which an owner goes on beside a newcomer that
        ranks above it, as that one doesn't lend yet
    :param restart_s: instances that started within this time of each other
        have started together, after a loss of all
    :param pause_s: an event loop that stood still for this long is taken for
        a pause, in which other instances may have become owners
    :param known_s: time for which a lost member that isn't listed is known
    :param valid_s: time within which borrowed tokens must be used
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0
    settle_s: float = 0.75
    hand_over_s: float = 0.25
    restart_s: float = 2.0
    pause_s: float = 1.0
    known_s: float = 60.0
    valid_s: float = 0.25


@value_class
class Limit:
    """Limit of one customer's requests."""

    rate_per_s: float
    burst: float

    def of_window(self, window_s: float) -> float:
        """Return the number of requests that a window may have."""
        return self.rate_per_s * window_s + self.burst


@value_class
class Want:
    """A holder's request for tokens.

    :param tokens: one for each request that waits
    :param ahead: for requests that may come within the next moment
    """

    customer: str
    holder: str
    tokens: int
    ahead: int = 0


@value_class
class Lent:
    """Answer to a request for tokens.

    :param role: of the lender; ``NONE`` if it must not lend
    :param granted: number of tokens, counted as used from now on
    :param retry_after_s: time after which there is a token again, if fewer
        are granted than were requests waiting
    """

    role: Role
    granted: int = 0
    retry_after_s: float = 0.0


@value_class
class LostOwnership:
    """An owner has lost a customer whose tokens were in use.

    :param lent: tokens that it lent within the latest window
    """

    customer: str
    lent: int


__all__ = [
    "Lent",
    "Limit",
    "LostOwnership",
    "QuotaSettings",
    "Role",
    "Want",
]
