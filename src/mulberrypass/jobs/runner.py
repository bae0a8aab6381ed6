"""The thread that owns a lot holder and executes its commands."""

from __future__ import annotations

import queue
import threading
import time
from typing import TYPE_CHECKING, Protocol

from expression import Error

from mulberrypass.jobs.store import NotLeased
from mulberrypass.jobs.writer import RetryAbortedError
from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.commands import (
    CloseJob,
    Flush,
    LeaseNext,
    Poll,
    RecordIntents,
    StartItem,
    StopRun,
    TakeOver,
)
from mulberrypass.policy.jobs.items import ItemState, RunCompleted
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor

    from expression import Result

    from mulberrypass.jobs.closer import JobCloser
    from mulberrypass.jobs.reading import JobReader
    from mulberrypass.jobs.store import LotStore
    from mulberrypass.model.store import ReadError
    from mulberrypass.policy.jobs.commands import (
        Command,
        FleetView,
        JobSnapshot,
    )
    from mulberrypass.policy.jobs.holder import HolderState, LotHolder
    from mulberrypass.policy.jobs.items import Outcome, RunResult
    from mulberrypass.policy.jobs.lots import LotKey, LotLease
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
TICK_S = 0.05

DECISIONS = {
    ItemState.DONE: Decision.ITEM_DONE,
    ItemState.FAILED: Decision.ITEM_FAILED,
    ItemState.INDETERMINATE: Decision.ITEM_INDETERMINATE,
}


@value_class
class _Sent:
    run: int


@value_class
class _Ended:
    run: int
    result: RunResult


@value_class
class _Polled:
    snapshot: Result[JobSnapshot, ReadError]


@value_class
class _LeaseAnswered:
    lease: Result[LotLease, NotLeased]


@value_class
class _IntentsAnswered:
    key: LotKey
    durable: bool


@value_class
class _Flushed:
    fenced: tuple[LotKey, ...]


@value_class
class _Cancelled:
    job: str


@value_class
class _Drain:
    pass


@value_class
class _StopIdempotent:
    pass


_Event = (
    _Sent
    | _Ended
    | _Polled
    | _LeaseAnswered
    | _IntentsAnswered
    | _Flushed
    | _Cancelled
    | _Drain
    | _StopIdempotent
)


class RunPool(Protocol):
    """Starts and stops runs of items."""

    def start(self, command: StartItem) -> None:
        """Start a run."""

    def stop(self, number: int) -> None:
        """Stop a run; its end is still reported."""


class JobRunner:
    """Owns the holder's state; other threads post events to it.

    :param fleet: returns the members and capacity of the fleet
    :param stop: set to abandon writes that wait for the platform
    :param writer: runs the writes, one at a time
    :param poller: runs the polls
    """

    def __init__(
        self,
        holder: LotHolder,
        store: LotStore,
        closer: JobCloser,
        reader: JobReader,
        fleet: Callable[[], FleetView],
        metrics: Metrics,
        stop: threading.Event,
        writer: Executor,
        poller: Executor,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._store = store
        self._closer = closer
        self._reader = reader
        self._fleet = fleet
        self._metrics = metrics
        self._stop = stop
        self._events: queue.SimpleQueue[_Event] = queue.SimpleQueue()
        self._writer = writer
        self._poller = poller
        self._clock = clock
        self._thread = threading.Thread(
            target=self._loop, name="job-runner", daemon=True
        )
        self._runs: RunPool | None = None
        self._open_jobs: set[str] = set()
        self._draining = False
        self._drained = threading.Event()

    def attach(self, runs: RunPool) -> None:
        """Set the pool that runs items."""
        self._runs = runs

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def run_sent(self, run: int) -> None:
        """Report that a run was sent to a backend server; thread-safe."""
        self._events.put(_Sent(run))

    def run_ended(self, run: int, result: RunResult) -> None:
        """Report the end of a run; thread-safe."""
        self._events.put(_Ended(run, result))

    def job_cancelled(self, job: str) -> None:
        """Report that a job was cancelled; thread-safe."""
        self._events.put(_Cancelled(job))

    def may_start(self, key: LotKey) -> bool:
        """Return whether an item may be sent now; thread-safe.

        Nothing is sent on the basis of an old poll, for example after a pause
        of the process, since the job may have been cancelled meanwhile.
        """
        fresh = self._clock() < self._holder.start_until
        return fresh and key.job in self._open_jobs

    def state(self) -> HolderState:
        """Return the holder's state for dumps."""
        return self._holder.state()

    @property
    def drained(self) -> bool:
        """Whether a requested drain has ended with all lots released."""
        return self._drained.is_set()

    def begin_drain(self) -> None:
        """Start nothing more, and release lots; thread-safe."""
        self._events.put(_Drain())

    def drain(self, grace_s: float) -> bool:
        """Finish or release all lots, and stop the thread.

        :param grace_s: seconds for active runs to end
        :returns: whether all lots were finished or released
        """
        deadline = time.monotonic() + grace_s
        self.begin_drain()
        if not self._drained.wait(grace_s / 2):
            self._events.put(_StopIdempotent())
        left_s = max(0.0, deadline - time.monotonic())
        clean = self._drained.wait(left_s)
        self._stop.set()
        self._thread.join()
        self._writer.shutdown(wait=True, cancel_futures=True)
        self._poller.shutdown(wait=False, cancel_futures=True)
        return clean

    def step(self) -> None:
        """Handle all queued events, and run one tick of the holder."""
        while not self._events.empty():
            self._handle(self._events.get(), self._clock())
        self._holder.tick(self._fleet(), self._clock())
        self._execute_commands()
        if self._draining and self._holder.idle:
            self._drained.set()

    def _loop(self) -> None:
        while not self._stop.is_set():
            try:
                self._wait_and_step()
            except Exception:
                LOG.exception("runner step failed")

    def _wait_and_step(self) -> None:
        try:
            event = self._events.get(timeout=TICK_S)
            self._handle(event, self._clock())
        except queue.Empty:
            pass
        self.step()

    def _handle(self, event: _Event, now: float) -> None:
        match event:
            case _Sent(run=run):
                self._holder.run_sent(run, now)
            case _Ended(run=run, result=result):
                outcome = self._holder.run_ended(run, result, now)
                self._count_outcome(outcome, result)
            case _Polled(snapshot=snapshot):
                self._polled(snapshot, now)
            case _LeaseAnswered(lease=lease):
                self._leased(lease, now)
            case _IntentsAnswered(key=key, durable=True):
                self._holder.intents_recorded(key)
            case _IntentsAnswered(key=key):
                self._fenced(key)
            case _Flushed(fenced=fenced):
                for key in fenced:
                    self._fenced(key)
                self._holder.flushed()
            case _Cancelled(job=job):
                self._open_jobs.discard(job)
                self._holder.cancel(job)
            case _Drain():
                self._draining = True
                self._holder.drain()
            case _StopIdempotent():
                self._holder.stop_idempotent()
        self._execute_commands()

    def _polled(
        self, snapshot: Result[JobSnapshot, ReadError], now: float
    ) -> None:
        if snapshot.is_error():
            unavailable = isinstance(snapshot.error, Unavailable)
            self._holder.poll_failed(unavailable)
            return
        jobs = snapshot.ok.jobs
        self._open_jobs = {job.job for job in jobs if not job.cancelled}
        self._holder.polled(snapshot.ok, now)

    def _leased(self, lease: Result[LotLease, NotLeased], now: float) -> None:
        if lease.is_error():
            self._holder.not_leased(lease.error.exhausted, now)
            return
        granted = lease.ok
        taken_over = granted.epoch > 1
        self._metrics.count(
            Decision.LOT_TAKEN_OVER if taken_over else Decision.LOT_LEASED
        )
        LOG.info(
            "lot leased",
            job=granted.key.job,
            lot=granted.key.lot,
            epoch=granted.epoch,
            left=granted.count - len(granted.settled),
        )
        self._holder.leased(granted, now)

    def _fenced(self, key: LotKey) -> None:
        self._metrics.count(Decision.LOT_FENCED)
        LOG.warning("lease of lot lost", job=key.job, lot=key.lot)
        self._holder.fenced(key)

    def _count_outcome(
        self, outcome: Outcome | None, result: RunResult
    ) -> None:
        if outcome is not None:
            self._metrics.count(DECISIONS[outcome.state])
        elif isinstance(result, RunCompleted):
            self._metrics.count(Decision.DROPPED_DUPLICATE)

    def _execute_commands(self) -> None:
        for command in self._holder.take_commands():
            self._execute(command)

    def _execute(self, command: Command) -> None:
        assert self._runs is not None
        match command:
            case StartItem():
                self._runs.start(command)
            case StopRun(run=run):
                self._runs.stop(run)
            case Poll():
                self._poller.submit(self._poll)
            case LeaseNext() | TakeOver() | RecordIntents() | Flush():
                self._writer.submit(self._write, command)
            case CloseJob():
                self._writer.submit(self._write, command)

    def _poll(self) -> None:
        snapshot: Result[JobSnapshot, ReadError] = Error(Throttled(0.0))
        try:
            snapshot = self._reader.snapshot()
        except Exception:
            LOG.exception("poll of open jobs failed")
        self._events.put(_Polled(snapshot))

    def _write(self, command: Command) -> None:
        event: _Event | None
        try:
            event = self._perform(command)
        except RetryAbortedError:
            return
        except Exception:
            LOG.exception("write of job state failed")
            event = _failure_event(command)
        if event is not None:
            self._events.put(event)

    def _perform(self, command: Command) -> _Event | None:
        match command:
            case LeaseNext(job=job, skip=skip):
                return _LeaseAnswered(self._store.lease_next(job, skip))
            case TakeOver(job=job, held=held):
                return _LeaseAnswered(self._store.take_over(job, held))
            case RecordIntents(key=key, items=items):
                durable = self._store.record_intents(key, items)
                return _IntentsAnswered(key, durable)
            case Flush():
                return _Flushed(self._store.flush(command))
            case CloseJob(job=job):
                self._closer.close_cancelled(job)
        return None


def _failure_event(command: Command) -> _Event | None:
    """Return the event for a write that raised; a later poll recovers."""
    match command:
        case LeaseNext() | TakeOver():
            return _LeaseAnswered(Error(NotLeased(False)))
        case RecordIntents(key=key):
            return _IntentsAnswered(key, False)
        case Flush(lots=lots):
            return _Flushed(tuple(lot.key for lot in lots))
        case _:
            return None


__all__ = ["JobRunner"]
