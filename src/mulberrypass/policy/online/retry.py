"""Whether failed work may be sent again, and the budget for it."""

from __future__ import annotations

from dataclasses import dataclass

from mulberrypass.model.outcome import Ran

MIN_LEFT_S = 0.02
RETRY_SHARE = 0.1
BUDGET_BURST = 10.0


@dataclass(frozen=True, slots=True)
class Failure:
    """One failed attempt.

    :param permanent: whether the work itself is at fault
    :param shown: whether part of the answer has reached the caller
    :param idempotent: whether the work may run more than once
    :param left_s: seconds until the deadline
    """

    ran: Ran
    permanent: bool
    shown: bool
    idempotent: bool
    left_s: float


def may_retry(failure: Failure) -> bool:
    """Say whether another attempt can do no harm and can be in time."""
    if failure.permanent or failure.shown or failure.left_s < MIN_LEFT_S:
        return False
    return failure.ran is Ran.NO or failure.idempotent


class RetryBudget:
    """Bounds retries and hedges to a share of the requests.

    Holds at most ``BUDGET_BURST``; each request earns ``RETRY_SHARE``.
    """

    def __init__(
        self, share: float = RETRY_SHARE, burst: float = BUDGET_BURST
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Attempts that the budget holds."""
        return self._tokens

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one attempt from the budget, if it holds one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ["Failure", "RetryBudget", "may_retry"]
