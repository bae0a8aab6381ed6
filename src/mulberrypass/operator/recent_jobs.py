"""Summary of the batch jobs of the last day."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from expression import Result

from mulberrypass.configuration.store import reason_of
from mulberrypass.jobs.rows import JobRow, customer_prefix
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.jobs import view

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.jobs.reading import JobReader
    from mulberrypass.model.source import ConfigurationSource

RECENT_WINDOW_S = 86_400.0
MAX_JOBS_READ = 200


@value_class
class RecentJob:
    """One job, with counts of its items by state.

    :param late: whether it is or was unfinished after its due time
    """

    job: str
    customer: str
    service: str
    state: str
    items: int
    done: int
    failed: int
    indeterminate: int
    pending: int
    late: bool

    @property
    def needs_attention(self) -> bool:
        """Whether an operator should look at it."""
        return bool(self.failed or self.indeterminate or self.late)


@value_class
class RecentJobs:
    """The jobs of the last day.

    :param jobs: number of jobs
    :param read: number of jobs that were read, newest first
    :param attention: late jobs, and those with failed or indeterminate items
    :param error: the first read error; empty if there was none
    """

    jobs: int
    read: int
    attention: tuple[RecentJob, ...]
    error: str = ""


class RecentJobsReader:
    """Reads the jobs of the last day on demand.

    :param clock: returns Unix time in seconds
    """

    def __init__(
        self,
        reader: JobReader,
        configuration: ConfigurationSource,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._reader = reader
        self._configuration = configuration
        self._clock = clock

    def read(self) -> RecentJobs:
        """Return a summary of the jobs of the last day."""
        errors: list[str] = []
        recent = sorted(self._recent_job_ids(errors), reverse=True)
        summaries = [
            job
            for _, name in recent[:MAX_JOBS_READ]
            if (job := self._read_job(name, errors)) is not None
        ]
        attention = tuple(job for job in summaries if job.needs_attention)
        error = errors[0] if errors else ""
        return RecentJobs(len(recent), len(summaries), attention, error)

    def _recent_job_ids(
        self, errors: list[str]
    ) -> Iterator[tuple[float, str]]:
        oldest = self._clock() - RECENT_WINDOW_S
        for customer in sorted(self._configuration.current().customers):
            prefix = customer_prefix(customer)
            match self._reader.scan(prefix):
                case Result(tag="ok", ok=listed):
                    for row in listed:
                        created = float(row.row["created"])
                        if created >= oldest:
                            yield created, row.key.removeprefix(prefix)
                case Result(error=exc):
                    errors.append(f"jobs of {customer}: {reason_of(exc)}")

    def _read_job(self, name: str, errors: list[str]) -> RecentJob | None:
        match self._reader.job(name):
            case Result(tag="ok", ok=JobRow() as row):
                return self._summarize(row, errors)
            case Result(error=exc):
                errors.append(f"job {name}: {reason_of(exc)}")
        return None

    def _summarize(self, row: JobRow, errors: list[str]) -> RecentJob | None:
        lots = self._reader.lots(row.job)
        if lots.is_error():
            errors.append(f"lots of {row.job}: {reason_of(lots.error)}")
            return None
        until = row.ended or self._clock()
        counts = [lot.counts for lot in lots.ok.values()]
        ended = row.ended is not None
        summary = view(row.state, row.items, counts, ended, 0.0)
        return RecentJob(
            job=row.job,
            customer=row.customer,
            service=row.service,
            state=summary.state.value,
            items=row.items,
            done=summary.done,
            failed=summary.failed,
            indeterminate=summary.indeterminate,
            pending=summary.pending,
            late=until > row.due,
        )


__all__ = ["RecentJob", "RecentJobs", "RecentJobsReader"]
