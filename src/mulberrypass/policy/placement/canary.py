"""Which version answers a request, and how far a new version may go."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

import xxhash

from mulberrypass.model.objects import Route

if TYPE_CHECKING:
    from mulberrypass.model.objects import Customer, Service

HASH_RANGE = 2**64
MIN_REQUESTS = 200
STOP_EVIDENCE_NATS = 8.0
ADVANCE_DEVIATIONS = 2.0
TOLERATED_FAILED = 0.01
TOLERATED_SLOW = 0.04


@dataclass(frozen=True, slots=True)
class Stage:
    """How much of the requests a new version gets.

    :param share: from 0 to 1
    :param groups: customer groups that it is for; empty for all
    """

    share: float
    groups: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionFigures:
    """What one version did since the stage began.

    :param slow: requests answered later than the 95th percentile of the old
        version, in the same time
    """

    requests: int
    failed: int
    slow: int


@dataclass(frozen=True, slots=True)
class Advance:
    """The new version is not worse, so far as is tolerated."""


@dataclass(frozen=True, slots=True)
class Stay:
    """There is too little to tell."""


@dataclass(frozen=True, slots=True)
class Stop:
    """The new version is worse, and gets no more requests."""

    reason: str


Verdict = Advance | Stay | Stop


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


def judge(old: VersionFigures, new: VersionFigures) -> Verdict:
    """Compare two versions side by side; safe to ask again and again."""
    failed = _Compared(new.failed, old.failed, new.requests, old.requests)
    slow = _Compared(new.slow, old.slow, new.requests, old.requests)
    if failed.evidence > STOP_EVIDENCE_NATS:
        return Stop(f"failed requests: {failed.text()}")
    if slow.evidence > STOP_EVIDENCE_NATS:
        return Stop(f"slow requests: {slow.text()}")
    enough = min(old.requests, new.requests) >= MIN_REQUESTS
    tolerated = (
        failed.at_most <= TOLERATED_FAILED and slow.at_most <= TOLERATED_SLOW
    )
    return Advance() if enough and tolerated else Stay()


def routes_at(stage: Stage, old: Route, new: Route) -> tuple[Route, ...]:
    """Give a service's routes at a stage.

    The old version keeps a route, if need be of weight 0, so that it stays
    loaded and can take all requests back at once.
    """
    share = stage.share
    if share >= 1.0 and not stage.groups:
        return (
            Route(old.version, 0.0, (), old.adapter),
            Route(new.version, 1.0, (), new.adapter),
        )
    rest = max(1.0 - share, 1.0 / HASH_RANGE)
    return (
        Route(old.version, rest, (), old.adapter),
        Route(new.version, share, stage.groups, new.adapter),
    )


@dataclass(frozen=True, slots=True)
class _Compared:
    """How often something happened to requests of two versions."""

    new: int
    old: int
    new_requests: int
    old_requests: int

    @property
    def difference(self) -> float:
        """Rate of the new version above the old one's."""
        return self._rate(self.new, self.new_requests) - self._rate(
            self.old, self.old_requests
        )

    @property
    def error(self) -> float:
        """Standard error of the difference, never 0 for few requests."""
        happened = self.new + self.old + 1
        total = self.new_requests + self.old_requests + 2
        rate = min(1.0, happened / total)
        each = 1 / max(1, self.new_requests) + 1 / max(1, self.old_requests)
        return math.sqrt(rate * (1 - rate) * each)

    @property
    def evidence(self) -> float:
        """Log likelihood ratio, in nats, for the new one being worse.

        It bounds how seldom an equal version gets so far by chance, also
        with few requests and however often it is asked for.
        """
        rate = self._rate(self.new, self.new_requests)
        likely = (self.old + 1) / (self.old_requests + 1)
        if not self.old_requests or rate <= likely:
            return 0.0
        return self.new_requests * _divergence(rate, likely)

    @property
    def at_most(self) -> float:
        """The greatest difference that the figures leave likely."""
        return self.difference + ADVANCE_DEVIATIONS * self.error

    def text(self) -> str:
        """Give both rates."""
        return (
            f"{self.new} of {self.new_requests} with the new version, "
            f"{self.old} of {self.old_requests} with the old one"
        )

    @staticmethod
    def _rate(happened: int, requests: int) -> float:
        return happened / requests if requests else 0.0


def _divergence(rate: float, likely: float) -> float:
    """Give the relative entropy of two rates, in nats."""
    found = rate * math.log(rate / likely) if rate > 0 else 0.0
    if rate < 1:
        found += (1 - rate) * math.log((1 - rate) / (1 - likely))
    return found


def _is_for(route: Route, customer: Customer) -> bool:
    return not route.groups or customer.group in route.groups


def _score(route: Route, request_hash: int) -> float:
    label = f"{route.version}+{route.adapter or ''}".encode()
    draw = xxhash.xxh64_intdigest(label, seed=request_hash % HASH_RANGE)
    uniform = (draw + 0.5) / HASH_RANGE
    if uniform >= 1.0:
        return math.inf
    return route.weight / -math.log(uniform)


__all__ = [
    "Advance",
    "Stage",
    "Stay",
    "Stop",
    "Verdict",
    "VersionFigures",
    "judge",
    "route_version",
    "routes_at",
]
