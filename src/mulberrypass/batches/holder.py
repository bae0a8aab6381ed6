"""Runs the items of the batch jobs that this member holds."""

from __future__ import annotations

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.batches import codec
from mulberrypass.batches.dispatch import ItemDispatcher, QueuedItem
from mulberrypass.batches.held_output import WaitingOutcome
from mulberrypass.batches.run import ItemRun
from mulberrypass.batches.takeover import Members, Takeover
from mulberrypass.model.batch_jobs import StoreUnavailable, VersionedHead
from mulberrypass.policy.batches import heads as policy
from mulberrypass.policy.batches.job_route import job_route
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.policy.batches.times import JobTimes
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.follow import TableReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.batches.store import BatchStore
    from mulberrypass.model.batch_jobs import BatchItem, ItemOutcome, JobHead
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.forward import RelayDependencies
    from mulberrypass.storage.rows import StoredRow

LOG = get_logger(__name__)
POLL_S = 0.25
# Keeps a transaction below the size limit of the store.
MAX_COMMIT_OUTCOMES = 8
COMMIT_RETRY_S = 0.3


@dataclass(slots=True, eq=False)
class HeldJob:
    """A job whose items run on this member.

    :param stored: the newest known head
    :param items: the manifest, once it has been read
    :param waiting: indexes of items that wait for their first engine
    :param running: indexes of items that have begun to run
    :param finished: indexes of items with an outcome
    :param outcomes: outcomes that aren't stored yet
    :param held_back: indexes of items that would crash engines
    :param committing: whether a thread stores outcomes
    :param loading: whether a thread reads the manifest
    """

    stored: VersionedHead
    items: tuple[BatchItem, ...] | None = None
    waiting: set[int] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)
    held_back: set[int] = field(default_factory=set)
    outcomes: deque[WaitingOutcome] = field(default_factory=deque)
    committing: bool = False
    loading: bool = False

    @property
    def head(self) -> JobHead:
        """The newest known head."""
        return self.stored.head


class JobHolder(TableReader):
    """Runs the items of held jobs and stores their outcomes.

    Takes over the jobs of failed members; hands its own over when leaving.

    :param me: name of this member
    :param members: returns the current membership view
    :param make_request: builds the request of an item, see ``ItemRun``
    """

    def __init__(
        self,
        me: str,
        store: BatchStore,
        dependencies: RelayDependencies,
        members: Callable[[], Members],
        make_request: Callable[[JobHead, BatchItem, int | None], RelayRequest],
    ) -> None:
        self._me = me
        self._store = store
        self._dependencies = dependencies
        self._members = members
        self._make_request = make_request
        self._lock = threading.RLock()
        self._heads: dict[tuple[str, str], VersionedHead] = {}
        self._times = JobTimes()
        self._held: dict[tuple[str, str], HeldJob] = {}
        self._takeover = Takeover(me, members, time.monotonic)
        self._leaving = False
        self._exit_at = 0.0
        self._stopped = False
        self._wake = threading.Event()
        self._pace = ItemPace()
        self._commit_pool = ThreadPoolExecutor(4, "commit")
        # Claims and manifests: a store that is silent holds no other work.
        self._store_pool = ThreadPoolExecutor(4, "job-store")
        self._claiming: set[tuple[str, str]] = set()
        self._dispatcher = ItemDispatcher(
            dependencies.directory, dependencies.bodies
        )
        self._thread = threading.Thread(
            target=self._loop, name="job-holder", daemon=True
        )

    def start(self) -> None:
        """Start running items."""
        self._dispatcher.start()
        self._thread.start()

    def add_accepted(
        self, head: VersionedHead, items: tuple[BatchItem, ...]
    ) -> None:
        """Hold a job that this member has accepted."""
        with self._lock:
            self._update(head)
            job = self._held.get(head.head.key)
            if job is not None and job.items is None:
                job.items = items
        self._wake.set()

    def head(self, host: str, job_id: str) -> JobHead | None:
        """Return the head of a job as last read, ``None`` if it's unknown."""
        stored = self._heads.get((host, job_id))
        return stored.head if stored is not None else None

    def update_head(self, stored: VersionedHead) -> None:
        """Handle a head that was read or written."""
        with self._lock:
            self._update(stored)
        self._wake.set()

    def on_all_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Handle the rows of a full read."""
        self.on_changed_rows(rows)

    def on_changed_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Handle changed rows."""
        for row in rows:
            if row.removed or row.at.key.startswith(codec.GATE_PREFIX):
                continue
            try:
                head = codec.decode_head(row)
            except codec.CorruptRowError as exc:
                LOG.error("head can't be read", reason=str(exc))
                continue
            self.update_head(VersionedHead(head, row.version))

    def leave(self, grace_s: float) -> None:
        """Hand over all jobs, including those accepted from now on.

        Items that are running go on here.

        :param grace_s: seconds until this process exits
        """
        self._exit_at = time.monotonic() + grace_s
        self._leaving = True
        self._wake.set()

    def stop(self) -> None:
        """Stop running items; the jobs' next holder runs them again."""
        self._stopped = True
        self._dispatcher.stop()
        self._wake.set()

    @property
    def busy(self) -> bool:
        """Whether items run or outcomes wait to be stored."""
        return any(job.running or job.outcomes for job in self._jobs())

    def state(self) -> dict[str, Any]:
        """Return the held jobs for a state dump."""
        return {
            job.head.job_id: {
                "total": job.head.total,
                "done": len(job.head.done),
                "waiting": len(job.waiting),
                "running": sorted(job.running),
                "outcomes": len(job.outcomes),
                "ended": job.head.ended,
                "holder": job.head.holder,
            }
            for job in self._jobs()
        }

    def _jobs(self) -> tuple[HeldJob, ...]:
        with self._lock:
            return tuple(self._held.values())

    def _update(self, stored: VersionedHead) -> None:
        """Keep the newest head of a job; the caller holds the lock."""
        key = stored.head.key
        known = self._heads.get(key)
        if known is not None and known.version >= stored.version:
            return
        self._heads[key] = stored
        known_head = known.head if known is not None else None
        self._times.note(known_head, stored.head, time.monotonic())
        job = self._held.get(key)
        if job is not None:
            job.stored = stored
            if not stored.head.open and not job.running and not job.outcomes:
                del self._held[key]
        elif stored.head.open and stored.head.holder == self._me:
            self._held[key] = HeldJob(stored)

    def _loop(self) -> None:
        while not self._stopped:
            self._wake.wait(POLL_S)
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
        """Hand over the held jobs, but not the items that have begun."""
        live = self._members().live
        if live - {self._me}:
            self._dispatcher.drop_waiting()
        left_s = max(0.0, self._exit_at - time.monotonic())
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
                    head, running, self._me, live, left_s, time.time()
                )

            result = self._store.replace_head(
                job.head.host, job.head.job_id, change
            )
            LOG.info(
                "job handed over",
                job=job.head.job_id,
                done=result.is_ok(),
                heir=result.ok.head.holder if result.is_ok() else "",
                running=sorted(running),
            )
            if result.is_ok():
                self.update_head(result.ok)

    def _take_over(self) -> None:
        """Claim jobs of lost holders whose successor is this member."""
        with self._lock:
            heads = [stored.head for stored in self._heads.values()]
        for head in self._takeover.due(heads):
            with self._lock:
                if head.key in self._claiming:
                    continue
                self._claiming.add(head.key)
            self._store_pool.submit(self._claim, head)

    def _claim(self, seen: JobHead) -> None:
        """Claim a job; called on a pool thread."""
        try:
            self._try_claim(seen)
        except Exception:
            LOG.exception("job not taken over", job=seen.job_id)
        with self._lock:
            self._claiming.discard(seen.key)
        self._wake.set()

    def _try_claim(self, seen: JobHead) -> None:
        def change(head: JobHead) -> JobHead | None:
            if head.holder != seen.holder:
                return None
            if not self._takeover.may_claim(head):
                return None
            return policy.claim(head, self._me)

        result = self._store.replace_head(seen.host, seen.job_id, change)
        LOG.info(
            "job taken over",
            job=seen.job_id,
            former=seen.holder,
            done=result.is_ok() and result.ok.head.holder == self._me,
        )
        if result.is_ok():
            self.update_head(result.ok)

    def _start_items(self) -> None:
        known = self._members().known
        now = time.monotonic()
        for job in sorted(self._jobs(), key=_due_at):
            if job.head.holder != self._me:
                continue
            if job.items is None:
                self._load_items(job)
                continue
            waited_s = self._times.since_hand_over(job.head, now)
            for index in policy.runnable(
                job.head, known, waited_s, time.time()
            ):
                with self._lock:
                    known_here = index in job.waiting or index in job.running
                    if known_here or index in job.finished:
                        continue
                if self._must_hold_back(job, index, now):
                    continue
                with self._lock:
                    job.waiting.add(index)
                self._dispatcher.add(self._queued_item(job, index))

    def _must_hold_back(self, job: HeldJob, index: int, now: float) -> bool:
        """Return whether an item waits because it would crash engines.

        Callers may be told that an item is given up only when it has
        expired.
        """
        if index not in job.held_back or job.items is None:
            return False
        if now > self._times.expires_at(job.head):
            return False
        item = job.items[index]
        parts = self._make_request(job.head, item, None).shared_parts
        route = self._route(job)
        acquirer = self._dependencies.acquirer
        return acquirer.is_quarantined(route, item.item_id, parts)

    def _route(self, job: HeldJob) -> RelayRoute | None:
        """Return the route that is in force for the items of a job."""
        return job_route(self._dependencies.directory.routes(), job.head)

    def _load_items(self, job: HeldJob) -> None:
        """Read the manifest of a job, unless that goes on already."""
        with self._lock:
            if job.loading or not job.head.open:
                return
            job.loading = True
        self._store_pool.submit(self._read_items, job)

    def _read_items(self, job: HeldJob) -> None:
        """Read the manifest of a job; called on a pool thread."""
        try:
            read = self._store.items(job.head.host, job.head.job_id)
            with self._lock:
                if read.is_ok() and job.items is None:
                    job.items = read.ok
        except Exception:
            LOG.exception("manifest can't be read", job=job.head.job_id)
        with self._lock:
            job.loading = False
        if job.items is not None:
            self._wake.set()

    def _queued_item(self, job: HeldJob, index: int) -> QueuedItem:
        """Return an item of a job for the dispatcher."""
        assert job.items is not None
        item = job.items[index]
        expires_at = self._times.expires_at(job.head)

        def is_needed() -> bool:
            late = time.monotonic() > expires_at
            return not late and not self._should_stop(job, index)

        def find_service() -> str:
            route = self._route(job)
            if route is None or not route.services:
                return ""
            return self._dependencies.acquirer.choose(route, item.item_id)

        return QueuedItem(
            due_at=_due_at(job),
            is_needed=is_needed,
            find_service=find_service,
            make_run=lambda: ItemRun(
                self._dependencies,
                job.head,
                index,
                item,
                self._make_request,
                lambda: self._should_stop(job, index),
                self._pace,
                expires_at,
            ),
            on_begun=lambda: self._on_begun(job, index),
            on_ended=lambda run, got: self._on_ended(job, index, run, got),
        )

    def _on_begun(self, job: HeldJob, index: int) -> None:
        with self._lock:
            job.waiting.discard(index)
            job.running.add(index)

    def _on_ended(
        self,
        job: HeldJob,
        index: int,
        run: ItemRun | None,
        outcome: ItemOutcome | None,
    ) -> None:
        """Note that an item needs no further run here."""
        with self._lock:
            if run is not None and outcome is not None:
                job.outcomes.append(WaitingOutcome(outcome, run.output))
                job.finished.add(index)
            if run is not None and run.held_back:
                job.held_back.add(index)
            job.waiting.discard(index)
            job.running.discard(index)
            self._drop_done(job)
        self._wake.set()

    def _drop_done(self, job: HeldJob) -> None:
        """Drop a job if nothing is left to do; the caller holds the lock."""
        if not job.head.open and not job.outcomes and not job.running:
            self._held.pop(job.head.key, None)

    def _should_stop(self, job: HeldJob, index: int) -> bool:
        head = job.head
        return self._stopped or head.ended or index in head.done

    def _start_commits(self) -> None:
        for job in self._jobs():
            with self._lock:
                if job.committing or not job.outcomes:
                    continue
                job.committing = True
            self._commit_pool.submit(self._commit, job)

    def _commit(self, job: HeldJob) -> None:
        """Store the outcomes of a job; those that fail remain queued."""
        try:
            while job.outcomes and self._commit_batch(job):
                pass
        except Exception:
            LOG.exception("outcomes were not listed", job=job.head.job_id)
        with self._lock:
            job.committing = False
            self._drop_done(job)

    def _commit_batch(self, job: HeldJob) -> bool:
        with self._lock:
            count = min(MAX_COMMIT_OUTCOMES, len(job.outcomes))
            waiting = tuple(job.outcomes[i] for i in range(count))
        outcomes = tuple(each.outcome for each in waiting)
        head = job.head
        result = self._store.record_outcomes(
            job.stored, head.host, head.job_id, outcomes
        )
        if result.is_error() and isinstance(result.error, StoreUnavailable):
            time.sleep(COMMIT_RETRY_S)
            return False
        with self._lock:
            for each in waiting:
                job.outcomes.popleft()
                each.output.close()
        if result.is_ok():
            LOG.info(
                "results listed",
                job=head.job_id,
                items=[outcome.item_id for outcome in outcomes],
                listed=result.ok.head.results,
            )
            self.update_head(result.ok)
        return True


def _due_at(job: HeldJob) -> float:
    return job.head.first_s + job.head.due_s


__all__ = ["HeldJob", "JobHolder", "Members"]
