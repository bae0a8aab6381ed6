"""Closing of jobs that have ended."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.jobs.rows import (
    TABLE,
    LotPhase,
    expiry_key,
    job_from_row,
    job_key,
    job_to_row,
    open_key,
)
from mulberrypass.model.store import Always, Delete, Put, VersionIs
from mulberrypass.policy.jobs.jobs import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.jobs.reading import JobReader
    from mulberrypass.jobs.rows import LotRow
    from mulberrypass.model.store import Condition, Row, Table
    from mulberrypass.policy.jobs.jobs import OpenJob


class JobCloser:
    """Marks jobs as ended; a failed write is retried after a later poll.

    :param wall: returns the Unix time in seconds
    :param retention_s: returns how long a service's results are kept
    """

    def __init__(
        self,
        table: Table,
        reader: JobReader,
        wall: Callable[[], float],
        retention_s: Callable[[str], float],
    ) -> None:
        self._table = table
        self._reader = reader
        self._wall = wall
        self._retention_s = retention_s

    def close_cancelled(self, open_job: OpenJob) -> None:
        """Close a cancelled job of which no lot is held."""
        found = self._reader.row(job_key(open_job.job))
        if found.is_error() or found.ok is None:
            return
        unchanged = VersionIs(open_job.version)
        self._close(found.ok, JobState.CANCELLED, unchanged)

    def close_if_done(self, job: str, lots: dict[int, LotRow]) -> None:
        """Close a job if all its lots are done.

        :param lots: the lots that were leased at least once
        """
        if any(lot.phase is not LotPhase.DONE for lot in lots.values()):
            return
        found = self._reader.row(job_key(job))
        if found.is_error() or found.ok is None:
            return
        row = found.ok.row
        if row["ended"] is not None or len(lots) < len(row["lots"]):
            return
        state = JobState(row["state"])
        if state is JobState.RUNNING:
            state = JobState.DONE
        self._close(found.ok, state, Always())

    def _close(self, job: Row, state: JobState, is_open: Condition) -> None:
        row = job_from_row(job.row)
        now = self._wall()
        expires = now + self._retention_s(row.service)
        ended = replace(row, state=state, ended=now, expires=expires)
        expiry = expiry_key(row.job, expires)
        self._table.transact(
            (
                Put(TABLE, job.key, job_to_row(ended), VersionIs(job.version)),
                Delete(TABLE, open_key(row.job), is_open),
                Put(TABLE, expiry, {}, Always()),
            )
        )


__all__ = ["JobCloser"]
