"""Checks of what callers and engines see of customers and their limits."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

from mulberrypass.soak.records import Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from mulberrypass.platform.stand_in.engine import EngineLog
    from mulberrypass.soak.records import SoakRecords

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
ACCEPTED_STATUSES = frozenset({200, 202})


def check_customers(
    records: SoakRecords,
    logs: Iterable[EngineLog],
    limits: Mapping[str, tuple[float, float]],
) -> Iterator[Violation]:
    """Return all violations of what customers and operators rely on.

    :param limits: rate and burst of each customer with a limit
    """
    logs = list(logs)
    yield from _check_engines(records, logs)
    yield from _check_unknown_keys(records, logs)
    yield from _check_limits(records, logs, limits)
    yield from _check_strangers(records)


def _check_engines(
    records: SoakRecords, logs: list[EngineLog]
) -> Iterator[Violation]:
    """Check that engines see no key, and the customer of the key's holder."""
    expected = {a.request_id: a.customer for a in records.attempts}
    for job in records.jobs:
        expected |= dict.fromkeys(job.items, job.customer)
    for log in logs:
        for name in log.keyed:
            yield Violation("an engine sees no key", name, "a header has it")
        for name, seen in log.customers.items():
            if name not in expected:
                # Probes of the soak itself aren't recorded.
                continue
            wrong = seen - {expected[name]}
            if wrong:
                detail = f"{sorted(wrong)}, not {expected[name]!r}"
                yield Violation("an engine sees the customer", name, detail)


def _check_unknown_keys(
    records: SoakRecords, logs: list[EngineLog]
) -> Iterator[Violation]:
    guarantee = "an unknown key runs nothing"
    ran = {name for log in logs for name in log.runs}
    for attempt in records.attempts:
        if not attempt.held and attempt.request_id in ran:
            yield Violation(guarantee, attempt.request_id, "ran")
    for job in records.jobs:
        if job.held:
            continue
        if not ACCEPTED_STATUSES.isdisjoint(job.statuses):
            yield Violation(guarantee, job.job_id, f"answered {job.statuses}")
        if not ran.isdisjoint(job.items):
            yield Violation(guarantee, job.job_id, "items ran")


def _check_limits(
    records: SoakRecords,
    logs: list[EngineLog],
    limits: Mapping[str, tuple[float, float]],
) -> Iterator[Violation]:
    """Check the bound of each window; a request counts at its first run."""
    first: dict[str, float] = {}
    for log in logs:
        for at, name in log.began:
            first[name] = min(at, first.get(name, at))
    times: dict[str, list[float]] = defaultdict(list)
    for request_id, customer in {
        attempt.request_id: attempt.customer for attempt in records.attempts
    }.items():
        if request_id in first:
            times[customer].append(first[request_id])
    for customer, (rate_per_s, burst) in limits.items():
        bound = (rate_per_s * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
        most = largest_window(times[customer])
        if most > bound:
            detail = f"{most} requests in {WINDOW_S:g} s, {bound:g} allowed"
            yield Violation("a window's bound holds", customer, detail)


def largest_window(times: Iterable[float]) -> int:
    """Return the most times that lie in one window."""
    window: deque[float] = deque()
    most = 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


def _check_strangers(records: SoakRecords) -> Iterator[Violation]:
    for job in records.jobs:
        for detail in job.strangers:
            yield Violation("a job is its customer's only", job.job_id, detail)


__all__ = ["check_customers", "largest_window"]
