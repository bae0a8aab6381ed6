"""Runs the items of the jobs that this member holds."""

from __future__ import annotations

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.batches import codec
from mulberrypass.batches.run import ItemRun
from mulberrypass.model.batch_jobs import StoreUnavailable, VersionedHead
from mulberrypass.policy.batches import heads as policy
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.follow import TableReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.batches.store import BatchStore
    from mulberrypass.model.batch_jobs import BatchItem, ItemOutcome, JobHead
    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.forward import RelayDependencies
    from mulberrypass.storage.rows import StoredRow

LOG = get_logger(__name__)
TICK_S = 0.25
ITEMS_AT_ONCE = 48
# Outcomes in one transaction, whose size is bounded.
OUTCOMES_AT_ONCE = 8
COMMIT_RETRY_S = 0.3
# A member that starts knows the others after this.
SETTLE_S = 2.5
# A holder that nobody knows of must be missing for so long.
MISSING_S = 1.0


@dataclass(slots=True)
class Members:
    """The members as this one sees them.

    :param live: those that may hold jobs
    :param known: those that are not known to be dead
    """

    live: frozenset[str]
    known: frozenset[str]


@dataclass(slots=True, eq=False)
class HeldJob:
    """One job that this member runs.

    :param outcomes: ends of items that are not listed yet
    """

    found: VersionedHead
    items: tuple[BatchItem, ...] | None = None
    running: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)
    outcomes: deque[ItemOutcome] = field(default_factory=deque)
    committing: bool = False

    @property
    def head(self) -> JobHead:
        """The head as last seen."""
        return self.found.head


class JobHolder(TableReader):
    """Holds jobs: starts items, lists outcomes, takes over and hands over.

    :param me: name of this member
    :param members: gives the members as seen now
    :param request: makes the request of an item
    """

    def __init__(
        self,
        me: str,
        store: BatchStore,
        tools: RelayDependencies,
        members: Callable[[], Members],
        request: Callable[[JobHead, BatchItem, int | None], RelayRequest],
    ) -> None:
        self._me = me
        self._store = store
        self._tools = tools
        self._members = members
        self._request = request
        self._lock = threading.RLock()
        self._heads: dict[str, VersionedHead] = {}
        self._held: dict[str, HeldJob] = {}
        self._missing: dict[str, float] = {}
        self._leaving = False
        self._gone_at = 0.0
        self._stopped = False
        self._started_at = time.monotonic()
        self._wake = threading.Event()
        self._pace = ItemPace()
        self._commits = ThreadPoolExecutor(4, "commit")
        self._runs = ThreadPoolExecutor(ITEMS_AT_ONCE, "item")
        self._thread = threading.Thread(
            target=self._loop, name="job-holder", daemon=True
        )

    def start(self) -> None:
        """Start to run items."""
        self._thread.start()

    def accepted(
        self, head: VersionedHead, items: tuple[BatchItem, ...]
    ) -> None:
        """Hold a job that was accepted here."""
        with self._lock:
            self._see(head)
            job = self._held.get(head.head.job_id)
            if job is not None and job.items is None:
                job.items = items
        self._wake.set()

    def total(self, job_id: str) -> int | None:
        """Give the number of items of a job that is known here."""
        found = self._heads.get(job_id)
        return found.head.total if found is not None else None

    def see(self, found: VersionedHead) -> None:
        """Take in a head that was read or written."""
        with self._lock:
            self._see(found)
        self._wake.set()

    def whole(self, rows: tuple[StoredRow, ...]) -> None:
        """Take all heads that there are."""
        self.changed(rows)

    def changed(self, rows: tuple[StoredRow, ...]) -> None:
        """Take the heads that have changed."""
        for row in rows:
            if row.removed or row.at.key.startswith(codec.GATE_PREFIX):
                continue
            try:
                head = codec.decode_head(row)
            except codec.DamagedError as exc:
                LOG.error("head can't be read", reason=str(exc))
                continue
            self.see(VersionedHead(head, row.version))

    def leave(self, grace_s: float) -> None:
        """Hand all jobs over, those that come later too.

        Items that run go on here.

        :param grace_s: seconds until this process has ended
        """
        self._gone_at = time.time() + grace_s
        self._leaving = True
        self._wake.set()

    def stop(self) -> None:
        """End the items that still run; their outcomes are not lost."""
        self._stopped = True
        self._wake.set()

    @property
    def busy(self) -> bool:
        """Whether items run, or outcomes wait to be listed."""
        return any(job.running or job.outcomes for job in self._jobs())

    def state(self) -> dict[str, Any]:
        """Give the jobs for a dump."""
        return {
            job.head.job_id: {
                "total": job.head.total,
                "done": len(job.head.done),
                "running": sorted(job.running),
                "outcomes": len(job.outcomes),
                "ended": job.head.ended,
                "holder": job.head.holder,
            }
            for job in self._jobs()
        }

    # What is known of jobs

    def _jobs(self) -> tuple[HeldJob, ...]:
        with self._lock:
            return tuple(self._held.values())

    def _see(self, found: VersionedHead) -> None:
        """Keep the newest head of a job."""
        job_id = found.head.job_id
        known = self._heads.get(job_id)
        if known is not None and known.version >= found.version:
            return
        self._heads[job_id] = found
        job = self._held.get(job_id)
        if job is not None:
            job.found = found
            if not found.head.open and not job.running and not job.outcomes:
                del self._held[job_id]
        elif found.head.open and found.head.holder == self._me:
            self._held[job_id] = HeldJob(found)

    # The loop

    def _loop(self) -> None:
        while not self._stopped:
            self._wake.wait(TICK_S)
            self._wake.clear()
            try:
                if self._leaving:
                    self._hand_over()
                else:
                    self._take_over()
                    self._start_items()
                self._start_commits()
            except Exception:
                LOG.exception("job holder failed")

    def _hand_over(self) -> None:
        """Give the jobs that this member holds to others."""
        live = self._members().live
        for job in self._jobs():
            if not job.head.open or job.head.holder != self._me:
                continue
            running = frozenset(job.running)

            def change(
                head: JobHead, running: frozenset[int] = running
            ) -> JobHead | None:
                if not head.open or head.holder != self._me:
                    return None
                return policy.hand_over(
                    head, running, self._me, live, self._gone_at
                )

            done = self._store.replace_head(
                job.head.host, job.head.job_id, change
            )
            LOG.info(
                "job handed over",
                job=job.head.job_id,
                done=done.is_ok(),
                heir=done.ok.head.holder if done.is_ok() else "",
                running=sorted(running),
            )
            if done.is_ok():
                self.see(done.ok)

    def _take_over(self) -> None:
        """Take jobs whose holder is gone, if they fall to this member."""
        now = time.monotonic()
        if now - self._started_at < SETTLE_S:
            return
        members = self._members()
        with self._lock:
            heads = [found.head for found in self._heads.values()]
        for head in heads:
            heir = policy.next_holder(head, members.live, members.known)
            if heir is None:
                self._missing.pop(head.job_id, None)
                continue
            since = self._missing.setdefault(head.job_id, now)
            if heir == self._me and now - since >= MISSING_S:
                self._claim(head)

    def _claim(self, seen: JobHead) -> None:
        def change(head: JobHead) -> JobHead | None:
            if not head.open or head.holder != seen.holder:
                return None
            return policy.claim(head, self._me)

        done = self._store.replace_head(seen.host, seen.job_id, change)
        LOG.info(
            "job taken over",
            job=seen.job_id,
            former=seen.holder,
            done=done.is_ok(),
        )
        if done.is_ok():
            self._missing.pop(seen.job_id, None)
            self.see(done.ok)

    def _start_items(self) -> None:
        known = self._members().known
        now = time.time()
        for job in sorted(self._jobs(), key=_due):
            if job.head.holder != self._me or not self._load_items(job):
                continue
            for index in policy.runnable(job.head, known, now):
                with self._lock:
                    if index in job.running or index in job.finished:
                        continue
                    if self._count_running() >= ITEMS_AT_ONCE:
                        return
                    job.running.add(index)
                self._runs.submit(self._run, job, index)

    def _count_running(self) -> int:
        return sum(len(job.running) for job in self._held.values())

    def _load_items(self, job: HeldJob) -> bool:
        if job.items is None and job.head.open:
            read = self._store.items(job.head.host, job.head.job_id)
            if read.is_ok():
                job.items = read.ok
        return job.items is not None

    def _run(self, job: HeldJob, index: int) -> None:
        """Run one item, on a thread of its own."""
        assert job.items is not None
        run = ItemRun(
            self._tools,
            job.head,
            index,
            job.items[index],
            self._request,
            lambda: self._is_over(job, index),
            self._pace,
        )
        outcome = None
        try:
            outcome = run.run()
        except Exception:
            LOG.exception("item failed", job=job.head.job_id, item=index)
        with self._lock:
            if outcome is not None:
                job.outcomes.append(outcome)
                job.finished.add(index)
            job.running.discard(index)
        self._wake.set()

    def _is_over(self, job: HeldJob, index: int) -> bool:
        head = job.head
        return self._stopped or head.ended or index in head.done

    # Outcomes

    def _start_commits(self) -> None:
        for job in self._jobs():
            with self._lock:
                if job.committing or not job.outcomes:
                    continue
                job.committing = True
            self._commits.submit(self._commit, job)

    def _commit(self, job: HeldJob) -> None:
        """List the outcomes of a job; keep those that could not be."""
        try:
            while job.outcomes and self._commit_some(job):
                pass
        except Exception:
            LOG.exception("outcomes were not listed", job=job.head.job_id)
        with self._lock:
            job.committing = False
            if not job.head.open and not job.outcomes and not job.running:
                self._held.pop(job.head.job_id, None)

    def _commit_some(self, job: HeldJob) -> bool:
        with self._lock:
            count = min(OUTCOMES_AT_ONCE, len(job.outcomes))
            outcomes = tuple(job.outcomes[i] for i in range(count))
        head = job.head
        done = self._store.record_outcomes(
            job.found, head.host, head.job_id, outcomes
        )
        if done.is_error() and isinstance(done.error, StoreUnavailable):
            time.sleep(COMMIT_RETRY_S)
            return False
        with self._lock:
            for _ in range(count):
                job.outcomes.popleft()
        if done.is_ok():
            LOG.info(
                "results listed",
                job=head.job_id,
                items=[outcome.item_id for outcome in outcomes],
                listed=done.ok.head.results,
            )
            self.see(done.ok)
        return True


def _due(job: HeldJob) -> float:
    return job.head.first_s + job.head.due_s


__all__ = ["HeldJob", "JobHolder", "Members"]
