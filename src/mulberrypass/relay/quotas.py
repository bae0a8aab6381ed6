"""Limits of customers' requests per second, as the relay asks for them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RelayCustomer


@value_class
class Taken:
    """The limit has room; one request of the customer is counted."""


@value_class
class Exceeded:
    """The limit is used up.

    :param retry_after_s: delay after which it has room again
    """

    retry_after_s: float


@value_class
class Undecided:
    """Nobody who could know whether the limit has room has answered.

    :param retry_after_s: delay after which somebody may
    """

    retry_after_s: float


QuotaAnswer = Taken | Exceeded | Undecided


class CustomerQuotas(ABC):
    """Counts requests against customers' limits. Safe on any thread."""

    @abstractmethod
    def take(self, customer: RelayCustomer, deadline: Deadline) -> QuotaAnswer:
        """Count one request of a customer; waits for a moment at most.

        :param deadline: until when the request may wait
        """

    @abstractmethod
    def give_back(self, customer: str) -> None:
        """Return what the last ``take`` counted for a request that hasn't run.

        :param customer: name of the customer
        """


class NoQuotas(CustomerQuotas):
    """Counts nothing, as if no customer had a limit."""

    def take(
        self, _customer: RelayCustomer, _deadline: Deadline
    ) -> QuotaAnswer:
        """Let every request pass."""
        return Taken()

    def give_back(self, customer: str) -> None:
        """Do nothing."""


__all__ = [
    "CustomerQuotas",
    "Exceeded",
    "NoQuotas",
    "QuotaAnswer",
    "Taken",
    "Undecided",
]
