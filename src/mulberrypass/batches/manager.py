"""Handles the calls of callers about batch jobs, on any member."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.batch_jobs import (
    Accepted,
    JobIdTaken,
    NoSuchJob,
    OverQuota,
    StoreUnavailable,
)
from mulberrypass.model.routes import RouteKind
from mulberrypass.policy.access import (
    Allowed,
    JobCaller,
    check_access,
    check_job_caller,
    may_see_job,
)
from mulberrypass.relay.api import Unauthorized
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.batches.holder import JobHolder
    from mulberrypass.batches.store import BatchStore
    from mulberrypass.model.batch_jobs import (
        NewJob,
        ResultPage,
        VersionedHead,
    )
    from mulberrypass.relay.directory import Directory

LOG = get_logger(__name__)


class BatchJobManager:
    """Accepts, shows and ends batch jobs. Thread-safe."""

    def __init__(
        self,
        me: str,
        store: BatchStore,
        holder: JobHolder,
        directory: Directory,
    ) -> None:
        self._me = me
        self._store = store
        self._holder = holder
        self._directory = directory

    def identify(
        self, host: str, key: str
    ) -> Result[str | None, Unauthorized]:
        """Return who calls about a job; see ``JobCaller``."""
        match check_job_caller(self._directory.routes(), host, key):
            case JobCaller(name=name):
                return Ok(name)
            case _:
                return Error(Unauthorized())

    def identify_owner(
        self, host: str, path: str, key: str
    ) -> Result[str | None, Unauthorized]:
        """Return whose a new job is; see ``NewJob``."""
        table = self._directory.routes()
        match check_access(table, host, path, key):
            case Allowed(customer=customer) if table.customers is not None:
                return Ok("" if customer is None else customer.name)
            case Allowed():
                return Ok(None)
            case _:
                return Error(Unauthorized())

    def submit(
        self, job: NewJob
    ) -> Result[
        Accepted, OverQuota | NoSuchJob | JobIdTaken | StoreUnavailable
    ]:
        """Accept a job; on success it has been stored."""
        table = self._directory.routes()
        if table.version == 0:
            return Error(StoreUnavailable("no configuration"))
        route = table.find(job.host, job.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return Error(NoSuchJob())
        result = self._store.accept(job, route, self._me)
        if result.is_error():
            LOG.info(
                "job refused",
                job=job.job_id,
                customer=job.customer,
                items=len(job.items),
                tokens=job.tokens,
                why=repr(result.error),
            )
            return Error(result.error)
        accepted = result.ok
        LOG.info(
            "job accepted",
            job=job.job_id,
            customer=job.customer,
            route=route.name,
            items=len(job.items),
            tokens=job.tokens,
            again=accepted.again,
        )
        if accepted.head is not None:
            self._holder.add_accepted(accepted.head, job.items)
        return Ok(accepted)

    def results(
        self,
        host: str,
        job_id: str,
        position: int,
        max_chars: float = math.inf,
        caller: str | None = None,
    ) -> Result[ResultPage, NoSuchJob | StoreUnavailable]:
        """Read the results from a position on.

        :param max_chars: of all outputs; the one that exceeds it is the last
        :param caller: see ``JobCaller``
        """
        checked = self._check_owner(host, job_id, caller)
        if checked.is_error():
            return Error(checked.error)
        known = self._holder.head(host, job_id)
        total = None if known is None else known.total
        return self._store.results(host, job_id, position, total, max_chars)

    def body(
        self,
        host: str,
        job_id: str,
        item_id: str,
        caller: str | None = None,
    ) -> Result[bytes, NoSuchJob | StoreUnavailable]:
        """Return the body of an item that has no result yet."""
        read = self._store.read(host, job_id)
        if read.is_error():
            return Error(read.error)
        head = read.ok.head
        if head.ended or not may_see_job(head.customer, caller):
            return Error(NoSuchJob())
        items = self._store.items(host, job_id)
        if items.is_error():
            return Error(items.error)
        for index, item in enumerate(items.ok):
            if item.item_id == item_id and index not in head.done:
                return Ok(item.body)
        return Error(NoSuchJob())

    def end(
        self, host: str, job_id: str, caller: str | None = None
    ) -> Result[VersionedHead, NoSuchJob | StoreUnavailable]:
        """End a job at its caller's request."""
        checked = self._check_owner(host, job_id, caller)
        if checked.is_error():
            return Error(checked.error)
        ended = self._store.end(host, job_id)
        if ended.is_ok():
            self._holder.update_head(ended.ok)
            LOG.info(
                "job ended by its caller",
                job=job_id,
                listed=ended.ok.head.results,
                total=ended.ok.head.total,
            )
        return ended

    def _check_owner(
        self, host: str, job_id: str, caller: str | None
    ) -> Result[None, NoSuchJob | StoreUnavailable]:
        """Check that a caller may use a job; whose it is never changes.

        To others, a job doesn't exist.
        """
        if caller is None:
            return Ok(None)
        head = self._holder.head(host, job_id)
        if head is None:
            read = self._store.read(host, job_id)
            if read.is_error():
                return Error(read.error)
            head = read.ok.head
        if may_see_job(head.customer, caller):
            return Ok(None)
        LOG.info("job of another customer", job=job_id, caller=caller)
        return Error(NoSuchJob())


__all__ = ["BatchJobManager"]
