"""Runs of a stand-in model engine, advanced by one thread."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
import queue
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.testing.engine_step import Sequence, StepModel

if TYPE_CHECKING:
    from mulberrypass.testing.engine_events import CacheLog
    from mulberrypass.testing.engine_faults import FaultState
    from mulberrypass.testing.engine_step import EngineShape

RETENTION_S = 30.0
REPORT_INTERVAL_S = 0.25
PURGE_INTERVAL_S = 1.0
CANCELLED = "cancelled"


@value_class
class RunProgress:
    """Progress of a run.

    :param generated: tokens generated so far
    :param reason: why the run has ended; ``None`` while it is active
    """

    generated: int
    reason: str | None


@value_class
class Dropped:
    """The engine has lost the run."""


@dataclass(slots=True)
class Reader:
    """A stream that reads the tokens of a run.

    :param interval: tokens between two notifications
    :param next_tokens: number of tokens at the next notification
    """

    interval: int
    next_tokens: int
    inbox: queue.SimpleQueue[RunProgress | Dropped] = field(
        default_factory=queue.SimpleQueue
    )


@dataclass(slots=True)
class Run:
    """A generation, kept for ``RETENTION_S`` after its end.

    :param end_reason: reason reported when all tokens are generated
    :param reason: why it has ended; ``None`` while it is active
    """

    sequence: Sequence
    prompt: str
    seed: int
    end_reason: str
    readers: list[Reader] = field(default_factory=list)
    reason: str | None = None
    expires_at: float = 0.0


@dataclass(slots=True)
class RunCount:
    """Counts of starts and ends of a request at this engine."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0


@value_class
class Totals:
    """Totals of an engine since its start, and its current load.

    :param tokens: tokens generated, including those of cancelled runs
    :param finished_tokens: tokens of finished runs
    """

    finished: int
    tokens: int
    finished_tokens: int
    running: int
    waiting: int


@value_class
class Report:
    """Load of the engine at a time of its own clock."""

    at: float
    running: int
    waiting: int
    kv_used: int


class Runs:
    """Runs of one engine and the thread that executes its steps.

    :param time_scale: factor on each modelled duration
    """

    def __init__(
        self,
        shape: EngineShape,
        faults: FaultState,
        cache_log: CacheLog,
        time_scale: float,
    ) -> None:
        self._model = StepModel(shape, cache_log.append)
        self._faults = faults
        self._time_scale = time_scale
        self._lock = threading.Condition()
        self._runs: dict[str, Run] = {}
        self._reports: deque[Report] = deque(maxlen=64)
        self._paused_until = 0.0
        self._crashed_until = 0.0
        self._purge_at = 0.0
        self._stopping = False
        self._finished = 0
        self._tokens = 0
        self._finished_tokens = 0
        self.counts: dict[str, RunCount] = {}
        self.leaving_starts: list[str] = []
        self._thread = threading.Thread(
            target=self._loop, name="engine-step", daemon=True
        )

    def start(self) -> None:
        """Start the step thread."""
        self._thread.start()

    def stop(self) -> None:
        """Drop all runs and stop the step thread."""
        with self._lock:
            self._stopping = True
            self._drop_all()
            self._lock.notify()
        self._thread.join()

    @property
    def down(self) -> bool:
        """Whether the engine is down after a crash."""
        return time.monotonic() < self._crashed_until

    def begin(self, run: Run, reader: Reader) -> None:
        """Add a run, replacing any run with the same id."""
        request_id = run.sequence.request_id
        with self._lock:
            self._discard(request_id)
            run.readers.append(reader)
            self._runs[request_id] = run
            self._model.add(run.sequence)
            self._lock.notify()

    def count_start(self, request_id: str) -> None:
        """Count the start of a request."""
        with self._lock:
            self.counts.setdefault(request_id, RunCount()).started += 1
            if self._faults.current.leaving:
                self.leaving_starts.append(request_id)

    def attach(self, request_id: str, reader: Reader) -> Run | None:
        """Add a stream to a run that is active or still kept."""
        with self._lock:
            run = self._runs.get(request_id)
            if run is None:
                return None
            run.readers.append(reader)
            generated = run.sequence.generated
            if generated or run.reason:
                reader.next_tokens = max(reader.next_tokens, generated + 1)
                reader.inbox.put(RunProgress(generated, run.reason))
            return run

    def detach(self, run: Run, reader: Reader) -> None:
        """Remove a stream without ending the run."""
        with self._lock:
            if reader in run.readers:
                run.readers.remove(reader)

    def cancel(self, request_id: str) -> Run | None:
        """Cancel a run if it is active; return it, or ``None`` if unknown."""
        with self._lock:
            run = self._runs.get(request_id)
            if run is None or run.reason is not None:
                return run
            self._model.remove(request_id)
            self._count(request_id).cancelled += 1
            self._finish(run, CANCELLED)
            return run

    def crash(self, down_s: float) -> None:
        """Drop all runs and the cache, and be down for a time."""
        with self._lock:
            self._drop_all()
            self._crashed_until = time.monotonic() + down_s

    def import_blocks(self, blocks: tuple[int, ...]) -> None:
        """Store blocks exported by another engine in the cache."""
        with self._lock:
            self._model.cache.store(blocks)

    def counts_snapshot(self) -> dict[str, RunCount]:
        """Return the counts of each request."""
        with self._lock:
            return dict(self.counts)

    def totals(self) -> Totals:
        """Return totals and current load."""
        with self._lock:
            return Totals(
                self._finished,
                self._tokens,
                self._finished_tokens,
                self._model.running,
                self._model.waiting,
            )

    def pause(self, seconds: float) -> None:
        """Execute no step for some seconds."""
        self._paused_until = time.monotonic() + seconds

    def report(self, lag_s: float) -> Report:
        """Return the newest report that is at least ``lag_s`` old."""
        horizon = time.monotonic() - lag_s
        with self._lock:
            visible = [r for r in self._reports if r.at <= horizon]
        return visible[-1] if visible else Report(horizon, 0, 0, 0)

    def _count(self, request_id: str) -> RunCount:
        return self.counts.setdefault(request_id, RunCount())

    def _discard(self, request_id: str) -> None:
        old = self._runs.pop(request_id, None)
        if old is not None and old.reason is None:
            self._model.remove(request_id)
            _drop(old)

    def _drop_all(self) -> None:
        for run in self._runs.values():
            _drop(run)
        self._runs.clear()
        self._model.clear()

    def _loop(self) -> None:
        due = time.monotonic()
        while True:
            with self._lock:
                if self._model.idle:
                    self._await_work()
                    due = time.monotonic()
                if self._stopping:
                    return
                cost = self._model.begin() * self._time_scale
            now = time.monotonic()
            due = max(due, now - cost) + cost * self._faults.current.slow
            due = max(due, self._paused_until)
            if due > now:
                time.sleep(due - now)
            with self._lock:
                self._advance()

    def _await_work(self) -> None:
        while self._model.idle and not self._stopping:
            self._lock.wait(REPORT_INTERVAL_S)
            self._update_reports()

    def _advance(self) -> None:
        advanced = self._model.end()
        self._tokens += len(advanced)
        for sequence in advanced:
            run = self._runs.get(sequence.request_id)
            if run is None:
                continue
            if sequence.finished:
                self._finished += 1
                self._finished_tokens += sequence.output_tokens
                self._count(sequence.request_id).finished += 1
                self._finish(run, run.end_reason)
                continue
            for reader in run.readers:
                if sequence.generated >= reader.next_tokens:
                    reader.inbox.put(RunProgress(sequence.generated, None))
                    reader.next_tokens = sequence.generated + reader.interval
        self._update_reports()

    def _finish(self, run: Run, reason: str) -> None:
        run.reason = reason
        run.expires_at = time.monotonic() + RETENTION_S * self._time_scale
        for reader in run.readers:
            reader.inbox.put(RunProgress(run.sequence.generated, reason))

    def _update_reports(self) -> None:
        now = time.monotonic()
        if not self._reports or (
            now - self._reports[-1].at >= REPORT_INTERVAL_S * self._time_scale
        ):
            model = self._model
            self._reports.append(
                Report(now, model.running, model.waiting, model.kv_used)
            )
        if now < self._purge_at:
            return
        self._purge_at = now + PURGE_INTERVAL_S * self._time_scale
        for request_id, run in list(self._runs.items()):
            if run.reason is not None and run.expires_at < now:
                del self._runs[request_id]


def _drop(run: Run) -> None:
    for reader in run.readers:
        reader.inbox.put(Dropped())


__all__ = [
    "CANCELLED",
    "Dropped",
    "RunProgress",
    "Reader",
    "Report",
    "Run",
    "RunCount",
    "Runs",
    "Totals",
]
