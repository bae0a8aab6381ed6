"""Runs of a stand-in model engine, driven by one step thread."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
import queue
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.testing.engine_step import Sequence, StepModel

if TYPE_CHECKING:
    from mulberrypass.testing.engine_events import CacheLog
    from mulberrypass.testing.engine_faults import Faults
    from mulberrypass.testing.engine_step import EngineShape

KEPT_S = 30.0
REPORT_EVERY_S = 0.25
PURGE_EVERY_S = 1.0
CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Progress:
    """A run has come so far.

    :param reason: why the run has ended; ``None`` while it goes on
    """

    generated: int
    reason: str | None


@dataclass(frozen=True, slots=True)
class Dropped:
    """The engine has lost the run."""


@dataclass(slots=True)
class Reader:
    """One stream of a run.

    :param next_at: number of tokens at which the stream is woken next
    """

    interval: int
    next_at: int
    inbox: queue.SimpleQueue[Progress | Dropped] = field(
        default_factory=queue.SimpleQueue
    )


@dataclass(slots=True)
class Run:
    """One generation, kept for a while after its end."""

    sequence: Sequence
    prompt: str
    seed: int
    end_reason: str
    readers: list[Reader] = field(default_factory=list)
    reason: str | None = None
    kept_until: float = 0.0


@dataclass(slots=True)
class RunCount:
    """How often a request was started and ended at this engine."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0


@dataclass(frozen=True, slots=True)
class Totals:
    """What an engine has done since it was started.

    :param tokens: tokens generated, also for runs that were cancelled
    :param finished_tokens: tokens of runs that came to their end
    """

    finished: int
    tokens: int
    finished_tokens: int
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class Report:
    """What the engine looked like at a time of its own clock."""

    at: float
    running: int
    waiting: int
    kv_used: int


class Runs:
    """All runs of one engine; owns the thread that makes its steps.

    :param time_scale: factor on each modelled duration
    """

    def __init__(
        self,
        shape: EngineShape,
        faults: Faults,
        cache_log: CacheLog,
        time_scale: float,
    ) -> None:
        self._model = StepModel(shape, cache_log.append)
        self._faults = faults
        self._scale = time_scale
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
        """Start to make steps."""
        self._thread.start()

    def stop(self) -> None:
        """Drop all runs and end the step thread."""
        with self._lock:
            self._stopping = True
            self._drop_all()
            self._lock.notify()
        self._thread.join()

    @property
    def refusing(self) -> bool:
        """Whether the engine is down after a crash."""
        return time.monotonic() < self._crashed_until

    def begin(self, run: Run, reader: Reader) -> None:
        """Admit a run; one of the same id is dropped."""
        request_id = run.sequence.request_id
        with self._lock:
            self._discard(request_id)
            run.readers.append(reader)
            self._runs[request_id] = run
            self._model.add(run.sequence)
            self._lock.notify()

    def count_start(self, request_id: str) -> None:
        """Count that work for a request was begun."""
        with self._lock:
            self.counts.setdefault(request_id, RunCount()).started += 1
            if self._faults.now.leaving:
                self.leaving_starts.append(request_id)

    def attach(self, request_id: str, reader: Reader) -> Run | None:
        """Add a stream to a run that goes on or is still kept."""
        with self._lock:
            run = self._runs.get(request_id)
            if run is None:
                return None
            run.readers.append(reader)
            generated = run.sequence.generated
            if generated or run.reason:
                reader.next_at = max(reader.next_at, generated + 1)
                reader.inbox.put(Progress(generated, run.reason))
            return run

    def detach(self, run: Run, reader: Reader) -> None:
        """Remove a stream; the run goes on."""
        with self._lock:
            if reader in run.readers:
                run.readers.remove(reader)

    def cancel(self, request_id: str) -> Run | None:
        """End a run now, and give what it has made."""
        with self._lock:
            run = self._runs.get(request_id)
            if run is None or run.reason is not None:
                return run
            self._model.remove(request_id)
            self._count(request_id).cancelled += 1
            self._finish(run, CANCELLED)
            return run

    def crash(self, down_s: float) -> None:
        """Lose all runs and the cache, and refuse work for a while."""
        with self._lock:
            self._drop_all()
            self._crashed_until = time.monotonic() + down_s

    def import_blocks(self, blocks: tuple[int, ...]) -> None:
        """Put blocks that another engine exported into the cache."""
        with self._lock:
            self._model.cache.store(blocks)

    def counts_now(self) -> dict[str, RunCount]:
        """Give how often each request was started and ended."""
        with self._lock:
            return dict(self.counts)

    def totals(self) -> Totals:
        """Give what the engine has done so far."""
        with self._lock:
            return Totals(
                self._finished,
                self._tokens,
                self._finished_tokens,
                self._model.running,
                self._model.waiting,
            )

    def pause(self, seconds: float) -> None:
        """Make no step for a while."""
        self._paused_until = time.monotonic() + seconds

    def report(self, lag_s: float) -> Report:
        """Give the newest report that is old enough to be told."""
        horizon = time.monotonic() - lag_s
        with self._lock:
            told = [r for r in self._reports if r.at <= horizon]
        return told[-1] if told else Report(horizon, 0, 0, 0)

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
                cost = self._model.begin() * self._scale
            now = time.monotonic()
            due = max(due, now - cost) + cost * self._faults.now.slow
            due = max(due, self._paused_until)
            if due > now:
                time.sleep(due - now)
            with self._lock:
                self._advance()

    def _await_work(self) -> None:
        while self._model.idle and not self._stopping:
            self._lock.wait(REPORT_EVERY_S)
            self._note_time()

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
                if sequence.generated >= reader.next_at:
                    reader.inbox.put(Progress(sequence.generated, None))
                    reader.next_at = sequence.generated + reader.interval
        self._note_time()

    def _finish(self, run: Run, reason: str) -> None:
        run.reason = reason
        run.kept_until = time.monotonic() + KEPT_S * self._scale
        for reader in run.readers:
            reader.inbox.put(Progress(run.sequence.generated, reason))

    def _note_time(self) -> None:
        now = time.monotonic()
        if not self._reports or (
            now - self._reports[-1].at >= REPORT_EVERY_S * self._scale
        ):
            model = self._model
            self._reports.append(
                Report(now, model.running, model.waiting, model.kv_used)
            )
        if now < self._purge_at:
            return
        self._purge_at = now + PURGE_EVERY_S * self._scale
        for request_id, run in list(self._runs.items()):
            if run.reason is not None and run.kept_until < now:
                del self._runs[request_id]


def _drop(run: Run) -> None:
    for reader in run.readers:
        reader.inbox.put(Dropped())


__all__ = [
    "CANCELLED",
    "Dropped",
    "Progress",
    "Reader",
    "Report",
    "Run",
    "RunCount",
    "Runs",
    "Totals",
]
