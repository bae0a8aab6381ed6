"""What an operator reads in the morning."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from mulberrypass.operator.fleet import Fleet, FleetHolds
    from mulberrypass.operator.night import NightJob, NightState
    from mulberrypass.placement.engines import PoolState


@dataclass(frozen=True, slots=True)
class StatusReport:
    """The state of the fleet, and what there is to look at.

    :param attention: one line for each thing to look at
    :param placement: the pools that the answering process places
    """

    attention: tuple[str, ...]
    fleet: FleetHolds
    jobs: NightState
    placement: Mapping[str, PoolState]
    decisions: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Status:
    """Collects the status from the parts of this process."""

    fleet: Fleet
    jobs: Callable[[], NightState]
    placement: Callable[[], Mapping[str, PoolState]]
    decisions: Callable[[], Mapping[str, int]]

    def report(self) -> StatusReport:
        """Ask each part."""
        fleet, jobs = self.fleet.holds(), self.jobs()
        placement = self.placement()
        attention = (
            *_of_fleet(fleet),
            *_of_jobs(jobs),
            *_of_placement(placement),
        )
        return StatusReport(
            attention, fleet, jobs, placement, self.decisions()
        )


def _of_fleet(fleet: FleetHolds) -> Iterator[str]:
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


def _of_jobs(jobs: NightState) -> Iterator[str]:
    if jobs.error:
        yield f"the jobs are not all known: {jobs.error}"
    if jobs.read < jobs.jobs:
        yield f"only the newest {jobs.read} of {jobs.jobs} jobs were read"
    for job in jobs.attention:
        yield _job_line(job)


def _job_line(job: NightJob) -> str:
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


def _of_placement(pools: Mapping[str, PoolState]) -> Iterator[str]:
    for name, pool in sorted(pools.items()):
        for engine, state in sorted(pool.engines.items()):
            if state.error:
                yield f'engine "{engine}" of pool "{name}": {state.error}'
        for step in pool.steps:
            yield f'pool "{name}" is still to {step}'


__all__ = ["Status", "StatusReport"]
