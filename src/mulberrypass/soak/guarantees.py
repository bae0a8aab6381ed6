"""Checks the guarantees against the observations of a run."""

from __future__ import annotations

from collections import Counter
from dataclasses import field
import signal
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.platform.stand_in.engine import event, output
from mulberrypass.soak.customer_checks import check_customers
from mulberrypass.soak.records import MOVE, STOP, Violation
from mulberrypass.soak.service_checks import check_services

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from mulberrypass.platform.stand_in.engine import EngineLog
    from mulberrypass.soak.records import (
        AttemptRecord,
        Departure,
        Disturbance,
        DrainPeriod,
        Halt,
        JobRecord,
        ReloadRecord,
        SoakRecords,
    )

# These statuses guarantee that the work has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ACCEPTED = 202
# Holders see a cancellation within 3 s; the rest is for items in flight.
CANCEL_GRACE_S = 3.5
# A leaving engine gets no new work after 2 s; the rest is for requests in
# flight.
DRAIN_GRACE_S = 2.5
# A request that fails this fast without having run met a connection that
# the instance was closing.
IDLE_CLOSE_RACE_S = 0.2
# A disturbance may have effects this long before its start and after its end.
DISTURBANCE_MARGIN_S = 3.0


@value_class
class Observations:
    """Everything observed in a run.

    :param logs: log of each engine, by its number
    :param events: number of events in each complete answer
    :param reloads: reloads of instances that went on running
    :param limits: rate and burst of each customer with a limit
    :param services: service of each engine, by its number
    :param moves: see ``check_services``
    """

    records: SoakRecords
    logs: Mapping[str, EngineLog]
    disturbances: Sequence[Disturbance]
    drains: Sequence[DrainPeriod]
    events: int
    reloads: Sequence[ReloadRecord] = ()
    departures: Sequence[Departure] = ()
    halts: Sequence[Halt] = ()
    limits: Mapping[str, tuple[float, float]] = field(default_factory=dict)
    services: Mapping[str, str] = field(default_factory=dict)
    moves: Sequence[tuple[float, str]] = ()

    def count_runs(self) -> Counter[str]:
        """Count the runs of each request id over all engines."""
        total: Counter[str] = Counter()
        for log in self.logs.values():
            total += log.runs
        return total

    def undisturbed(self, began: float, ended: float) -> bool:
        """Return whether no unplanned disturbance was near an interval."""
        return not any(
            not disturbance.planned
            and disturbance.began - DISTURBANCE_MARGIN_S < ended
            and began < disturbance.ended + DISTURBANCE_MARGIN_S
            for disturbance in self.disturbances
        )


@value_class
class Interval:
    """A period, both ends included."""

    began: float
    ended: float

    def holds(self, at: float) -> bool:
        """Return whether a time is in the period."""
        return self.began <= at <= self.ended


def check(observed: Observations) -> tuple[Violation, ...]:
    """Return all violations."""
    runs = observed.count_runs()
    return (
        *_check_attempts(observed, runs),
        *_check_jobs(observed, runs),
        *_check_drains(observed),
        *_check_departures(observed),
        *_check_planned_work(observed, runs),
        *_check_reloads(observed),
        *check_customers(
            observed.records, observed.logs.values(), observed.limits
        ),
        *check_services(
            observed.records,
            observed.logs,
            observed.services,
            observed.moves,
            observed.undisturbed,
        ),
    )


def check_ends(address: str, codes: Sequence[int]) -> list[Violation]:
    """Return a violation for each process that a SIGHUP ended.

    :param codes: exit codes as by ``Popen.returncode``
    """
    return [
        Violation("a reload ends no process", address, "ended by SIGHUP")
        for code in codes
        if code == -signal.SIGHUP
    ]


def _check_attempts(
    observed: Observations, runs: Counter[str]
) -> Iterator[Violation]:
    for attempt in observed.records.attempts:
        name = attempt.request_id
        if attempt.status == 200:
            yield from _check_complete(attempt, observed.events)
        if attempt.status in NOT_RUN_STATUSES and runs[name]:
            detail = f"answered {attempt.status}, ran {runs[name]} times"
            yield Violation("not run is true", name, detail)
        if not attempt.resumable and runs[name] > 1:
            detail = f"ran {runs[name]} times"
            yield Violation("at most once", name, detail)


def _check_complete(
    attempt: AttemptRecord, events: int
) -> Iterator[Violation]:
    name = attempt.request_id
    numbers = range(1, events + 1)
    expected = b"".join(event(name, number) for number in numbers)
    if attempt.body != expected:
        detail = f"{len(attempt.body)} bytes of {len(expected)}"
        yield Violation("whole answer to one's own request", name, detail)
    if not attempt.stamped:
        yield Violation("whole answer to one's own request", name, "no stamp")


def _check_jobs(
    observed: Observations, runs: Counter[str]
) -> Iterator[Violation]:
    for job in observed.records.jobs:
        for detail in job.inconsistencies:
            yield Violation("results stay", job.job_id, detail)
        for at, detail in job.not_found:
            if observed.undisturbed(at, at):
                yield Violation("results stay", job.job_id, detail)
        yield from _check_results(job, observed.events)
        if job.accepted_at is None:
            yield from _check_rejected_job(job, runs)
        elif job.cancelled_at is not None:
            yield from _check_cancelled_job(job, observed)
        elif not job.accepted_late:
            missing = len(job.items) - len(job.results)
            if missing:
                detail = f"{missing} of {len(job.items)} items not listed"
                yield Violation("each item completes", job.job_id, detail)


def _check_results(job: JobRecord, events: int) -> Iterator[Violation]:
    counts = Counter(item for item, _, _ in job.results.values())
    for item, count in counts.items():
        if count > 1 or item not in job.items:
            detail = f"item {item} listed {count} times"
            yield Violation("exactly once", job.job_id, detail)
    for item, state, text in job.results.values():
        if state == "completed" and text != output(item, events):
            detail = f"item {item}: not its own whole output"
            yield Violation("exactly once", job.job_id, detail)
        if state != "completed" and job.cancelled_at is None:
            detail = f"item {item}: {state}"
            yield Violation("each item completes", job.job_id, detail)


def _check_rejected_job(
    job: JobRecord, runs: Counter[str]
) -> Iterator[Violation]:
    """Check that a job rejected at every attempt ran no item."""
    if not job.statuses or not NOT_RUN_STATUSES.issuperset(job.statuses):
        return
    ran = [item for item in job.items if runs[item]]
    if ran:
        detail = f"answered {job.statuses}, items ran: {ran}"
        yield Violation("not run is true", job.job_id, detail)


def _check_cancelled_job(
    job: JobRecord, observed: Observations
) -> Iterator[Violation]:
    assert job.cancelled_at is not None
    deadline = job.cancelled_at + CANCEL_GRACE_S
    if not observed.undisturbed(job.cancelled_at, deadline):
        return
    for name, log in observed.logs.items():
        for at, item in log.began:
            if item in job.items and at > deadline:
                detail = f"{item} at {name}, {at - job.cancelled_at:.1f} s on"
                yield Violation("a cancelled job stops", job.job_id, detail)


def _check_drains(observed: Observations) -> Iterator[Violation]:
    for drain in observed.drains:
        grace_end = drain.at + DRAIN_GRACE_S
        if not observed.undisturbed(drain.at, drain.until):
            continue
        for at, request_id in observed.logs[drain.engine].began:
            if grace_end < at < drain.until:
                detail = f"{request_id}, {at - drain.at:.1f} s after"
                yield Violation(
                    "a leaving engine gets nothing", drain.engine, detail
                )


def _check_departures(observed: Observations) -> Iterator[Violation]:
    """Check that an instance heeds an engine's word that it leaves.

    Only what a requester has sent after the instance had passed on such an
    answer counts, and nothing after a halt of the instance. The answer to a
    request that ran at other engines too may be theirs.
    """
    runs = observed.count_runs()
    for departure in observed.departures:
        log = observed.logs[departure.engine]
        during = Interval(departure.at, departure.until)
        said = {name for at, name in log.said if during.holds(at)}
        began = {name: at for at, name in log.began if during.holds(at)}
        told: dict[int, float] = {}
        attempts = sorted(observed.records.attempts, key=lambda a: a.ended)
        for attempt in attempts:
            name = attempt.request_id
            own = name in said and runs[name] == log.runs[name]
            if attempt.status == 200 and own:
                told.setdefault(attempt.instance, attempt.ended)
        for attempt in attempts:
            told_at = told.get(attempt.instance, departure.until)
            at = began.get(attempt.request_id, 0.0)
            sent = Interval(attempt.began, attempt.ended)
            if attempt.began <= told_at or not sent.holds(at):
                continue
            if not any(
                halt.instance == attempt.instance
                and halt.began < at
                and told_at < halt.ended
                for halt in observed.halts
            ):
                yield Violation(
                    "an engine that says it leaves gets nothing",
                    departure.engine,
                    f"{attempt.request_id} of instance {attempt.instance}, "
                    f"{at - told_at:.1f} s after",
                )


def _check_reloads(observed: Observations) -> Iterator[Violation]:
    for reload in observed.reloads:
        if not reload.taken and observed.undisturbed(reload.at, reload.until):
            yield Violation(
                "a reload is handled",
                f"instance {reload.instance}",
                f"not logged in {reload.until - reload.at:.1f} s",
            )


def _check_planned_work(
    observed: Observations, runs: Counter[str]
) -> Iterator[Violation]:
    """Check that a planned stop, reload or move interrupts no request.

    A request that failed fast and never ran does not count during a stop:
    the instance closed its idle connection while the request was being sent.
    A reload closes no connection.
    """
    planned = [
        disturbance
        for disturbance in observed.disturbances
        if disturbance.planned
        and (disturbance.instance is not None or disturbance.kind == MOVE)
    ]
    for attempt in observed.records.attempts:
        if attempt.status or not observed.undisturbed(
            attempt.began, attempt.ended
        ):
            continue
        near = {
            work.kind: work.began
            for work in planned
            if work.instance in (None, attempt.instance)
            and work.began <= attempt.ended
            and attempt.began < work.ended
        }
        duration_s = attempt.ended - attempt.began
        fast = duration_s < IDLE_CLOSE_RACE_S
        if STOP in near and fast and not runs[attempt.request_id]:
            continue
        for kind, began in near.items():
            yield Violation(
                f"a {kind} cuts nothing off",
                attempt.request_id,
                f"{attempt.reason}, {attempt.ended - began:.2f} s after it",
            )


__all__ = ["Violation", "Observations", "check", "check_ends"]
