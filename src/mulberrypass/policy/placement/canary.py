"""Version routing and evaluation of canary rollouts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from mulberrypass.model.objects import Route
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.model.objects import Customer, Service

HASH_RANGE = 2**64
MIN_REQUESTS = 200
STOP_EVIDENCE_NATS = 8.0
ADVANCE_STANDARD_ERRORS = 2.0
MAX_FAILED_INCREASE = 0.01
MAX_SLOW_INCREASE = 0.04


@value_class
class Stage:
    """Rollout stage of a new version.

    :param share: share of the requests that it gets, from 0 to 1
    :param groups: customer groups that get it; empty for all
    """

    share: float
    groups: tuple[str, ...] = ()


@value_class
class VersionCounts:
    """Request counts of one version since the stage began.

    :param slow: requests slower than the 95th percentile of the old version
        in the same period
    """

    requests: int
    failed: int
    slow: int


@value_class
class Advance:
    """The new version is not worse than the old one, within tolerances."""


@value_class
class Stay:
    """There is not enough evidence to decide."""


@value_class
class StopRollout:
    """The new version is worse and gets no more requests."""

    reason: str


RolloutDecision = Advance | Stay | StopRollout


def route_version(
    service: Service, customer: Customer, request_hash: int
) -> Route | None:
    """Choose the route of a request, by weighted rendezvous hashing.

    When weights change, only the requests that the changed routes gain or
    lose move to another version.

    :param request_hash: unsigned 64-bit hash; requests with the same hash
        get the same route
    :returns: ``None`` if no route is for the customer
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


def compare_versions(
    old: VersionCounts, new: VersionCounts
) -> RolloutDecision:
    """Compare two versions; valid even if called repeatedly."""
    failed = _RateComparison(
        new.failed, old.failed, new.requests, old.requests
    )
    slow = _RateComparison(new.slow, old.slow, new.requests, old.requests)
    if failed.evidence > STOP_EVIDENCE_NATS:
        return StopRollout(f"failed requests: {failed.describe()}")
    if slow.evidence > STOP_EVIDENCE_NATS:
        return StopRollout(f"slow requests: {slow.describe()}")
    enough = min(old.requests, new.requests) >= MIN_REQUESTS
    tolerated = (
        failed.upper_bound <= MAX_FAILED_INCREASE
        and slow.upper_bound <= MAX_SLOW_INCREASE
    )
    return Advance() if enough and tolerated else Stay()


def routes_at(stage: Stage, old: Route, new: Route) -> tuple[Route, ...]:
    """Return a service's routes at a stage.

    The old version keeps a route, if need be with weight 0, so that it
    stays loaded for an immediate rollback.
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


@value_class
class _RateComparison:
    """Compares the rates of an event in the requests of two versions."""

    new: int
    old: int
    new_requests: int
    old_requests: int

    @property
    def difference(self) -> float:
        """Rate of the new version minus that of the old one."""
        return self._rate(self.new, self.new_requests) - self._rate(
            self.old, self.old_requests
        )

    @property
    def standard_error(self) -> float:
        """Standard error of the difference, above 0 even for few requests."""
        events = self.new + self.old + 1
        total = self.new_requests + self.old_requests + 2
        rate = min(1.0, events / total)
        each = 1 / max(1, self.new_requests) + 1 / max(1, self.old_requests)
        return math.sqrt(rate * (1 - rate) * each)

    @property
    def evidence(self) -> float:
        """Log likelihood ratio, in nats, of the new version being worse.

        It bounds the probability that an equal version gets this far by
        chance, even with few requests and repeated evaluation.
        """
        rate = self._rate(self.new, self.new_requests)
        expected = (self.old + 1) / (self.old_requests + 1)
        if not self.old_requests or rate <= expected:
            return 0.0
        return self.new_requests * _relative_entropy(rate, expected)

    @property
    def upper_bound(self) -> float:
        """Upper confidence bound of the difference."""
        return self.difference + ADVANCE_STANDARD_ERRORS * self.standard_error

    def describe(self) -> str:
        """Describe both rates."""
        return (
            f"{self.new} of {self.new_requests} with the new version, "
            f"{self.old} of {self.old_requests} with the old one"
        )

    @staticmethod
    def _rate(events: int, requests: int) -> float:
        return events / requests if requests else 0.0


def _relative_entropy(rate: float, expected: float) -> float:
    """Return the relative entropy of two rates, in nats."""
    nats = rate * math.log(rate / expected) if rate > 0 else 0.0
    if rate < 1:
        nats += (1 - rate) * math.log((1 - rate) / (1 - expected))
    return nats


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
    "StopRollout",
    "RolloutDecision",
    "VersionCounts",
    "compare_versions",
    "route_version",
    "routes_at",
]
