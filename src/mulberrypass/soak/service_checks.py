"""Checks that engines run only what a route leads to their service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.soak.records import Violation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping, Sequence

    from mulberrypass.platform.stand_in.engine import EngineLog
    from mulberrypass.soak.records import SoakRecords

# A version is in force after 2 s; the rest is for work in flight.
APPLY_GRACE_S = 2.5


def check_services(
    records: SoakRecords,
    logs: Mapping[str, EngineLog],
    services: Mapping[str, str],
    moves: Sequence[tuple[float, str]],
    undisturbed: Callable[[float, float], bool],
) -> Iterator[Violation]:
    """Return a violation for each run by a service that no version allows.

    A request may end where it has begun, and be run as any version allows
    that was in force since it was sent. An item follows the newest version.

    :param logs: log of each engine, by its number
    :param services: service of each engine, by its number
    :param moves: times of the versions that move the routes, and the service
        to which they lead from then on
    :param undisturbed: whether no unplanned disturbance was near a period
    """
    if not moves:
        return
    sent = {each.request_id: each.began for each in records.attempts}
    items = {item for job in records.jobs for item in job.items}
    for engine, log in logs.items():
        for at, name in log.began:
            if name not in items and name not in sent:
                continue
            since = sent.get(name, at) - APPLY_GRACE_S
            led_to = _services_between(moves, since, at)
            service = services[engine]
            if service not in led_to and undisturbed(since, at):
                yield Violation(
                    "a route's services only",
                    name,
                    f"run by {service}, the route led to {sorted(led_to)}",
                )


def _services_between(
    moves: Sequence[tuple[float, str]], since: float, until: float
) -> set[str]:
    """Return where the routes have led in a period."""
    before = [service for at, service in moves if at <= since]
    within = {service for at, service in moves if since < at <= until}
    return {*before[-1:], *within}


__all__ = ["APPLY_GRACE_S", "check_services"]
