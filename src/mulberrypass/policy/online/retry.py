"""Rules and budget for retries."""

from __future__ import annotations

from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class

MIN_REMAINING_S = 0.02
RETRIES_PER_REQUEST = 0.1
BURST_RETRIES = 10.0


@value_class
class Failure:
    """One failed attempt.

    :param permanent: whether the request itself is at fault, so that a
        retry can't help
    :param output_sent: whether part of the answer has been sent to the caller
    :param idempotent: whether the request may run more than once
    :param left_s: seconds until the deadline
    """

    ran: Ran
    permanent: bool
    output_sent: bool
    idempotent: bool
    left_s: float


def may_retry(failure: Failure) -> bool:
    """Return whether another attempt is safe and can meet the deadline."""
    if (
        failure.permanent
        or failure.output_sent
        or failure.left_s < MIN_REMAINING_S
    ):
        return False
    return failure.ran is Ran.NO or failure.idempotent


class RetryBudget:
    """Limits retries and hedges to a share of the requests.

    Each request adds ``RETRIES_PER_REQUEST`` to the budget, which holds at
    most ``BURST_RETRIES``.

    :param tokens: attempts that it holds at first; all by default
    """

    def __init__(
        self,
        share: float = RETRIES_PER_REQUEST,
        burst: float = BURST_RETRIES,
        tokens: float | None = None,
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst if tokens is None else tokens

    @property
    def tokens(self) -> float:
        """Number of attempts left in the budget."""
        return self._tokens

    def earn(self, share: float | None = None) -> None:
        """Add the share of one request to the budget.

        :param share: another share than the budget's own
        """
        earned = self._share if share is None else share
        self._tokens = min(self._burst, self._tokens + earned)

    def take(self) -> bool:
        """Consume one attempt of the budget.

        :returns: whether the budget allowed it
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ["Failure", "RetryBudget", "may_retry"]
