"""Checks the promises over what was seen in a run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.platform.stand_in.engine import event, output

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from mulberrypass.platform.stand_in.engine import EngineLog
    from mulberrypass.soak.records import (
        Attempt,
        Drained,
        JobRecord,
        Records,
        Span,
    )

# Answers which promise that the work has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
ACCEPTED = 202
# A cancel is seen by holders within 3 s; what is on its way comes after.
CANCEL_S = 3.5
# A leaving engine gets nothing new after 2 s; what is on its way comes after.
DRAIN_S = 2.5
CROSS_S = 0.2
# Faults count as near for so long before and after.
NEAR_S = 3.0


@dataclass(frozen=True, slots=True)
class Broken:
    """One promise that was broken."""

    promise: str
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class Seen:
    """All that was seen in a run."""

    records: Records
    logs: Mapping[str, EngineLog]
    spans: Sequence[Span]
    drained: Sequence[Drained]
    events: int

    def runs(self) -> Counter[str]:
        """Count the runs of each id over all engines."""
        total: Counter[str] = Counter()
        for log in self.logs.values():
            total += log.runs
        return total

    def calm(self, began: float, ended: float) -> bool:
        """Whether nothing unplanned went on near a time."""
        return not any(
            not span.planned
            and span.began - NEAR_S < ended
            and began < span.ended + NEAR_S
            for span in self.spans
        )


def check(seen: Seen) -> tuple[Broken, ...]:
    """Give all that is broken."""
    runs = seen.runs()
    return (
        *_attempts(seen, runs),
        *_jobs(seen, runs),
        *_drains(seen),
        *_stops(seen, runs),
    )


def _attempts(seen: Seen, runs: Counter[str]) -> Iterator[Broken]:
    for attempt in seen.records.attempts:
        name = attempt.request_id
        if attempt.status == 200:
            yield from _whole(attempt, seen.events)
        if attempt.status in NOT_RUN and runs[name]:
            detail = f"answered {attempt.status}, ran {runs[name]} times"
            yield Broken("not run is true", name, detail)
        if not attempt.repeatable and runs[name] > 1:
            detail = f"ran {runs[name]} times"
            yield Broken("at most once", name, detail)


def _whole(attempt: Attempt, events: int) -> Iterator[Broken]:
    name = attempt.request_id
    numbers = range(1, events + 1)
    wanted = b"".join(event(name, number) for number in numbers)
    if attempt.body != wanted:
        detail = f"{len(attempt.body)} bytes of {len(wanted)}"
        yield Broken("whole answer to one's own request", name, detail)
    if not attempt.stamped:
        yield Broken("whole answer to one's own request", name, "no stamp")


def _jobs(seen: Seen, runs: Counter[str]) -> Iterator[Broken]:
    for job in seen.records.jobs:
        for detail in job.moved:
            yield Broken("results stay", job.job_id, detail)
        for at, detail in job.missing:
            if seen.calm(at, at):
                yield Broken("results stay", job.job_id, detail)
        yield from _listed(job, seen.events)
        if job.accepted_at is None:
            yield from _refused(job, runs)
        elif job.cancelled_at is not None:
            yield from _after_cancel(job, seen)
        elif not job.late:
            missing = len(job.items) - len(job.seen)
            if missing:
                detail = f"{missing} of {len(job.items)} items not listed"
                yield Broken("each item completes", job.job_id, detail)


def _listed(job: JobRecord, events: int) -> Iterator[Broken]:
    counts = Counter(item for item, _, _ in job.seen.values())
    for item, count in counts.items():
        if count > 1 or item not in job.items:
            detail = f"item {item} listed {count} times"
            yield Broken("exactly once", job.job_id, detail)
    for item, state, text in job.seen.values():
        if state == "completed" and text != output(item, events):
            detail = f"item {item}: not its own whole output"
            yield Broken("exactly once", job.job_id, detail)
        if state != "completed" and job.cancelled_at is None:
            detail = f"item {item}: {state}"
            yield Broken("each item completes", job.job_id, detail)


def _refused(job: JobRecord, runs: Counter[str]) -> Iterator[Broken]:
    """A job that was refused at each try runs no item."""
    if not job.statuses or not NOT_RUN.issuperset(job.statuses):
        return
    ran = [item for item in job.items if runs[item]]
    if ran:
        detail = f"answered {job.statuses}, items ran: {ran}"
        yield Broken("not run is true", job.job_id, detail)


def _after_cancel(job: JobRecord, seen: Seen) -> Iterator[Broken]:
    assert job.cancelled_at is not None
    latest = job.cancelled_at + CANCEL_S
    if not seen.calm(job.cancelled_at, latest):
        return
    for name, log in seen.logs.items():
        for at, item in log.began:
            if item in job.items and at > latest:
                detail = f"{item} at {name}, {at - job.cancelled_at:.1f} s on"
                yield Broken("a cancelled job stops", job.job_id, detail)


def _drains(seen: Seen) -> Iterator[Broken]:
    for drained in seen.drained:
        first = drained.at + DRAIN_S
        if not seen.calm(drained.at, drained.until):
            continue
        for at, request_id in seen.logs[drained.engine].began:
            if first < at < drained.until:
                detail = f"{request_id}, {at - drained.at:.1f} s after"
                yield Broken(
                    "a leaving engine gets nothing", drained.engine, detail
                )


def _stops(seen: Seen, runs: Counter[str]) -> Iterator[Broken]:
    """A planned stop cuts nothing off, where nothing else goes on.

    A request that crosses the end of a kept connection, and went no
    further, is not cut off.
    """
    stops = [span for span in seen.spans if span.instance is not None]
    for attempt in seen.records.attempts:
        if attempt.status or not seen.calm(attempt.began, attempt.ended):
            continue
        for span in stops:
            held_s = attempt.ended - attempt.began
            if not runs[attempt.request_id] and held_s < CROSS_S:
                continue
            if (
                span.planned
                and span.instance == attempt.instance
                and span.began <= attempt.ended
                and attempt.began < span.ended
            ):
                yield Broken(
                    "a stop cuts nothing off",
                    attempt.request_id,
                    f"{attempt.reason}, {attempt.ended - span.began:.2f} s "
                    f"after the signal",
                )


__all__ = ["Broken", "Seen", "check"]
