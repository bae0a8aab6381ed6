"""Which version answers a request, and how far a new version may go."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from mulberrypass.model.objects import Customer, Route, Service

HASH_RANGE = 2**64


def route_version(
    service: Service, customer: Customer, request_hash: int
) -> Route | None:
    """Choose the route of a request, the same one for the same hash.

    When weights change, only requests that the changed routes gain or lose
    move to another version.

    :param request_hash: unsigned 64-bit hash of what is to stay together
    :returns: ``None`` where no route is for the customer
    """
    best: Route | None = None
    best_score = 0.0
    for route in service.routes:
        if not _is_for(route, customer) or route.weight <= 0:
            continue
        score = _score(route, request_hash)
        if best is None or score > best_score:
            best, best_score = route, score
    return best


def _is_for(route: Route, customer: Customer) -> bool:
    return not route.groups or customer.group in route.groups


def _score(route: Route, request_hash: int) -> float:
    label = f"{route.version}+{route.adapter or ''}".encode()
    draw = xxhash.xxh64_intdigest(label, seed=request_hash % HASH_RANGE)
    uniform = (draw + 0.5) / HASH_RANGE
    if uniform >= 1.0:
        return math.inf
    return route.weight / -math.log(uniform)


__all__ = ["route_version"]
