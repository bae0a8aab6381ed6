"""Which route a request may use, and on whose behalf.

This answers the load of callers who may not send what they send: unknown and
withdrawn keys, routes of other customers, claims to be another customer. It
is asked for each request, job and read, so that a withdrawn key has no effect
as soon as the configuration without it is in force.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.routes import RouteKind
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.model.routes import (
        RelayCustomer,
        RelayRoute,
        RouteTable,
    )


@value_class
class Allowed:
    """A request may use its route.

    :param customer: on whose behalf; ``None`` if it is no customer's
    """

    route: RelayRoute
    customer: RelayCustomer | None = None

    @property
    def name(self) -> str:
        """The customer's name; empty if it is no customer's."""
        return "" if self.customer is None else self.customer.name

    @property
    def priority(self) -> int:
        """The customer's priority, or else that of the route."""
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority


@value_class
class UnknownRoute:
    """No route matches the request."""


@value_class
class UnknownKey:
    """The route needs the key of a customer, and the request bears none."""


Access = Allowed | UnknownRoute | UnknownKey


def check_access(table: RouteTable, host: str, path: str, key: str) -> Access:
    """Return whether a request may use its route.

    :param key: key that the caller sent; empty if none
    """
    route = table.find(host, path)
    if route is None:
        return UnknownRoute()
    customer = table.customer_of(key)
    if customer is None and table.customers is not None and not route.public:
        return UnknownKey()
    return Allowed(route, customer)


@value_class
class JobCaller:
    """Who calls about a batch job.

    :param name: the customer; empty if it is none, ``None`` if no customers
        are configured
    """

    name: str | None


def check_job_caller(
    table: RouteTable, host: str, key: str
) -> JobCaller | UnknownKey:
    """Return who calls about a batch job of a host.

    The call doesn't name the job's route. Without a key it is allowed only
    if the job may be one of a public route.
    """
    if table.customers is None:
        return JobCaller(None)
    customer = table.customer_of(key)
    if customer is not None:
        return JobCaller(customer.name)
    if any(
        route.public and route.host == host and route.kind is RouteKind.BATCH
        for route in table.routes
    ):
        return JobCaller("")
    return UnknownKey()


def may_see_job(owner: str, caller: str | None) -> bool:
    """Return whether a caller may use a batch job.

    :param owner: customer that submitted the job; empty if it was no
        customer's, whose job is open to all
    :param caller: see ``JobCaller``
    """
    return not owner or caller is None or owner == caller


def priority_weight(priority: int | None) -> float:
    """Return a customer's weight in the queue; 0 is the highest priority.

    A weight, and no strict order, so that no customer is starved.
    """
    return 1.0 / (1.0 + max(0, priority or 0))


__all__ = [
    "Access",
    "Allowed",
    "JobCaller",
    "UnknownKey",
    "UnknownRoute",
    "check_access",
    "check_job_caller",
    "may_see_job",
    "priority_weight",
]
