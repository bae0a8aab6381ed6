"""Counts one request against the limit of its customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.relay.admission import MIN_RETRY_AFTER_S
from mulberrypass.relay.api import QuotaExceeded, Refused
from mulberrypass.relay.quotas import Exceeded, Taken, Undecided

if TYPE_CHECKING:
    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RelayCustomer
    from mulberrypass.relay.quotas import CustomerQuotas
    from mulberrypass.relay.request_log import RequestLog


class RequestQuota:
    """The use that one request makes of its customer's limit.

    :param customer: ``None`` if the request is no customer's
    """

    def __init__(
        self,
        quotas: CustomerQuotas,
        customer: RelayCustomer | None,
        deadline: Deadline,
        log: RequestLog,
    ) -> None:
        self._quotas = quotas
        self._customer = customer
        self._deadline = deadline
        self._log = log

    def take(self) -> Refused | QuotaExceeded | None:
        """Count the request against its customer's limit.

        :returns: the final event if there is no room
        """
        customer = self._customer
        if customer is None or customer.rate_per_s <= 0:
            return None
        match self._quotas.take(customer, self._deadline):
            case Taken():
                return None
            case Exceeded(retry_after_s=retry_after_s):
                self._log.not_placed("quota", customer=customer.name)
                return QuotaExceeded(max(MIN_RETRY_AFTER_S, retry_after_s))
            case Undecided(retry_after_s=retry_after_s):
                reason = "quota undecided"
                self._log.not_placed(reason, customer=customer.name)
                return Refused(reason, max(MIN_RETRY_AFTER_S, retry_after_s))

    def take_another(self) -> bool:
        """Count a second run of the request; return whether there is room."""
        customer = self._customer
        if customer is None or customer.rate_per_s <= 0:
            return True
        return isinstance(self._quotas.take(customer, self._deadline), Taken)

    def give_back(self) -> None:
        """Return what was counted for a run that no engine has begun."""
        customer = self._customer
        if customer is not None and customer.rate_per_s > 0:
            self._quotas.give_back(customer.name)


__all__ = ["RequestQuota"]
