"""Wiring of the components that accept and run jobs."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.jobs.closer import JobCloser
from mulberrypass.jobs.expiry import ExpirySweeper
from mulberrypass.jobs.manager import JobManager
from mulberrypass.jobs.manifest import LOT_ITEMS
from mulberrypass.jobs.reading import JobReader
from mulberrypass.jobs.results import JobResults
from mulberrypass.jobs.runner import JobRunner
from mulberrypass.jobs.runs import ItemRunPool
from mulberrypass.jobs.store import LotStore
from mulberrypass.jobs.writer import RetryBackoff, RetryingWriter
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.commands import FleetView, HolderSettings
from mulberrypass.policy.jobs.holder import LotHolder
from mulberrypass.policy.jobs.jobs import Holder
from mulberrypass.policy.jobs.lots import LotTerms

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.jobs.runs import EngineClients, RunState
    from mulberrypass.model.member import Member
    from mulberrypass.model.objects import Configuration
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.model.store import Objects, Table
    from mulberrypass.peer.api import Membership, PermitClient
    from mulberrypass.policy.jobs.holder import HolderState
    from mulberrypass.policy.jobs.jobs import OpenJob
    from mulberrypass.runtime.metrics import Metrics

PROGRAM = "batch"
DEFAULT_RETENTION_S = 604_800.0


@value_class
class JobDependencies:
    """Interfaces that the job components depend on."""

    table: Table
    objects: Objects
    configuration: ConfigurationSource
    membership: Membership
    permits: PermitClient
    clients: EngineClients


class JobService:
    """Accepts jobs and runs lots in one process.

    :param member: this process as a member of the fleet
    """

    def __init__(
        self,
        member: Member,
        deps: JobDependencies,
        settings: HolderSettings,
        metrics: Metrics,
        lot_items: int = LOT_ITEMS,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._deps = deps
        self._summed_cfg: Configuration | None = None
        self._slots = 0
        self._weights: dict[str, float] = {}
        own = Holder(member.name, member.incarnation)
        stop = threading.Event()
        pause = RetryBackoff(stop, member.incarnation)
        reader = JobReader(deps.table, deps.objects)
        writer = RetryingWriter(own, deps.table, deps.objects, pause)
        closer = JobCloser(deps.table, reader, wall, self._retention_s)
        store = LotStore(own, deps.table, reader, writer, closer)
        holder = LotHolder(own, settings, self._terms)
        self._runner = JobRunner(
            holder,
            store,
            closer,
            reader,
            self._fleet,
            metrics,
            stop,
            ThreadPoolExecutor(1, "job-writer"),
            ThreadPoolExecutor(1, "job-poller"),
        )
        self._runs = ItemRunPool(
            own,
            deps.configuration,
            deps.clients,
            deps.permits,
            store.item_line,
            self._runner.may_start,
            self._runner.run_sent,
            self._runner.run_ended,
            settings.window,
        )
        self._runner.attach(self._runs)
        self.manager = JobManager(
            deps.table,
            deps.objects,
            reader,
            wall,
            RetryBackoff(threading.Event(), member.incarnation),
            lot_items,
        )
        self._expiry = ExpirySweeper(
            member.name,
            deps.table,
            deps.objects,
            reader,
            lambda: [m.name for m in deps.membership.live(PROGRAM)],
            wall,
        )
        self.results = JobResults(reader)

    def cancelled(self, job_id: str) -> None:
        """Stop the runs in this process of a job that a caller cancelled."""
        self._runner.job_cancelled(job_id)

    def start(self) -> None:
        """Start to run lots and to remove expired jobs."""
        self._runner.start()
        self._expiry.start()

    def stop(self, grace_s: float) -> bool:
        """Finish or release all lots.

        :returns: whether all lots were finished or released
        """
        self._expiry.stop()
        clean = self._runner.drain(grace_s)
        self._runs.close()
        return clean

    def state(self) -> HolderState:
        """Return the holder's state for dumps."""
        return self._runner.state()

    def runs(self) -> tuple[RunState, ...]:
        """Return the states of active runs for dumps."""
        return self._runs.state()

    def _retention_s(self, service: str) -> float:
        cfg = self._deps.configuration.current()
        found = cfg.services.get(service)
        return DEFAULT_RETENTION_S if found is None else found.result_ttl_s

    def _terms(self, job: OpenJob) -> LotTerms | None:
        cfg = self._deps.configuration.current()
        service = cfg.services.get(job.service)
        if service is None:
            return None
        return LotTerms(
            job.customer,
            job.service,
            service.idempotent,
            service.max_attempts,
            job.due,
        )

    def _fleet(self) -> FleetView:
        cfg = self._deps.configuration.current()
        if cfg is not self._summed_cfg:
            self._summed_cfg = cfg
            self._slots = sum(b.slots for b in cfg.backends.values())
            self._weights = {c.name: c.weight for c in cfg.customers.values()}
        membership = self._deps.membership
        return FleetView(
            live={m.name: m.incarnation for m in membership.members(PROGRAM)},
            candidates=tuple(m.name for m in membership.live(PROGRAM)),
            slots=self._slots,
            weights=self._weights,
        )


__all__ = ["JobDependencies", "JobService", "PROGRAM"]
