"""Status report of the fleet for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from mulberrypass.operator.fleet import (
        FleetGenerations,
        FleetGenerationsReader,
    )
    from mulberrypass.operator.recent_jobs import RecentJob, RecentJobs
    from mulberrypass.placement.engines import PoolState


@value_class
class StatusReport:
    """State of the fleet, and what needs attention.

    :param attention: one line for each problem that needs attention
    :param placement: the pools that this control process places
    :param decisions: decision counters of this process
    """

    attention: tuple[str, ...]
    fleet: FleetGenerations
    jobs: RecentJobs
    placement: Mapping[str, PoolState]
    decisions: Mapping[str, int]


@value_class
class StatusCollector:
    """Collects the status report from components of this process."""

    fleet: FleetGenerationsReader
    jobs: Callable[[], RecentJobs]
    placement: Callable[[], Mapping[str, PoolState]]
    decisions: Callable[[], Mapping[str, int]]

    def report(self) -> StatusReport:
        """Return the current status report."""
        fleet, jobs = self.fleet.generations(), self.jobs()
        placement = self.placement()
        attention = (
            *_fleet_attention(fleet),
            *_jobs_attention(jobs),
            *_placement_attention(placement),
        )
        return StatusReport(
            attention, fleet, jobs, placement, self.decisions()
        )


def _fleet_attention(fleet: FleetGenerations) -> Iterator[str]:
    if fleet.doubt:
        yield f"a newer generation may be published: {fleet.doubt}"
    for member in fleet.missing:
        yield (
            f"{member.name} holds generation {member.generation} "
            f"in place of {fleet.generation}"
        )
    for member in fleet.members:
        if member.state == "suspect":
            yield f"{member.name} does not answer heartbeats"


def _jobs_attention(jobs: RecentJobs) -> Iterator[str]:
    if jobs.error:
        yield f"the jobs are not all known: {jobs.error}"
    if jobs.read < jobs.jobs:
        yield f"only the newest {jobs.read} of {jobs.jobs} jobs were read"
    for job in jobs.attention:
        yield _job_attention(job)


def _job_attention(job: RecentJob) -> str:
    counts = [
        f"{count} {name}"
        for name, count in (
            ("failed", job.failed),
            ("indeterminate", job.indeterminate),
            ("pending", job.pending),
        )
        if count
    ]
    late = ["late"] if job.late else []
    found = ", ".join([*counts, *late])
    return (
        f'job {job.job} of customer "{job.customer}" for service '
        f'"{job.service}": {found}, of {job.items} items'
    )


def _placement_attention(pools: Mapping[str, PoolState]) -> Iterator[str]:
    for name, pool in sorted(pools.items()):
        for engine, state in sorted(pool.engines.items()):
            if state.error:
                yield f'engine "{engine}" of pool "{name}": {state.error}'
        for step in pool.steps:
            yield f'pool "{name}" is still to {step}'


__all__ = ["StatusCollector", "StatusReport"]
