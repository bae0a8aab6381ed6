"""Choice among the services of a route, by weight."""

from __future__ import annotations

from collections import defaultdict
from math import log
from typing import TYPE_CHECKING

from mulberrypass.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypass.model.routes import ServiceShare

HASH_RANGE = 2**64


def rank_services(shares: Iterable[ServiceShare], key: str) -> list[str]:
    """Rank services for a key by weighted rendezvous hashing.

    Each is first for its share of all keys. Without one of them, its keys go
    to the others by their weights, and no other key moves.

    :returns: the services with a weight above 0, or all if none has one
    """
    weights: defaultdict[str, float] = defaultdict(float)
    for share in shares:
        weights[share.service] += share.weight
    able = {name: weight for name, weight in weights.items() if weight > 0}
    return sorted(
        able or weights,
        key=lambda name: (-_score(key, name, able.get(name, 1.0)), name),
    )


def choose_service(
    ranked: Iterable[str], takes_work: Callable[[str], bool]
) -> str:
    """Return the first service that takes work, else the first one."""
    services = list(ranked)
    return next(filter(takes_work, services), services[0])


def _score(key: str, service: str, weight: float) -> float:
    point = (rendezvous.weight(key, service) + 0.5) / HASH_RANGE
    return -weight / log(point) if point < 1 else float("inf")


__all__ = ["choose_service", "rank_services"]
