"""The state of one leased lot: what is to run, runs and has ended."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
import heapq
import statistics
from typing import TYPE_CHECKING

from mulberrypass.policy.jobs.items import (
    ItemRecord,
    ItemState,
    Outcome,
    Retry,
    Settled,
    decide_item,
)

if TYPE_CHECKING:
    from mulberrypass.policy.jobs.items import RunResult

INTENT_BATCH_ITEMS = 100
STRAGGLER_FACTOR = 3.0
MIN_STRAGGLER_S = 2.0
MIN_DURATION_SAMPLES = 5
MAX_DURATION_SAMPLES = 200
INDETERMINATE_ERROR = "the process that ran it was lost"


@dataclass(frozen=True, slots=True, order=True)
class LotKey:
    """Names one lot of one job."""

    job: str
    lot: int


@dataclass(frozen=True, slots=True)
class LotTerms:
    """What the service and the job say of a lot's items.

    :param due: Unix time in seconds
    """

    customer: str
    service: str
    idempotent: bool
    max_attempts: int
    due: float


@dataclass(frozen=True, slots=True)
class LotLease:
    """A lease of a lot that this process has got.

    :param first: number of the lot's first item
    :param settled: items whose outcome is in the store
    :param intended: items that an earlier holder may have run
    """

    key: LotKey
    epoch: int
    first: int
    count: int
    settled: frozenset[int] = frozenset()
    intended: frozenset[int] = frozenset()
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """One run of an item.

    :param suspect: whether it runs apart from other suspects
    :param sent: when it was sent to a backend server, or ``None``
    """

    run: int
    item: int
    suspect: bool = False
    sent: float | None = None


@dataclass(frozen=True, slots=True)
class NextItem:
    """The item to run next, and what is remembered of it."""

    item: int
    record: ItemRecord


@dataclass(slots=True)
class _Unflushed:
    outcomes: list[Outcome] = field(default_factory=list)
    since: float = 0.0


class LotState:
    """One lot in the hands of its holder."""

    def __init__(self, lease: LotLease, terms: LotTerms, now: float) -> None:
        self.lease = lease
        self.terms = terms
        self.cancelled = lease.cancelled
        self.running: dict[int, ActiveRun] = {}
        self._records: dict[int, ItemRecord] = {}
        self._settled = set(lease.settled)
        self._unflushed = _Unflushed()
        self._flushing = 0
        self._recording: tuple[int, ...] = ()
        self._durations: deque[float] = deque(maxlen=MAX_DURATION_SAMPLES)
        self._without_intent: deque[int] = deque()
        self._ready: deque[int] = deque()
        self._suspects: deque[int] = deque()
        self._delayed: list[tuple[float, int]] = []
        self._restore(now)

    @property
    def key(self) -> LotKey:
        """Which lot it is."""
        return self.lease.key

    @property
    def pending(self) -> int:
        """Items that wait for a run."""
        return (
            len(self._without_intent)
            + len(self._recording)
            + len(self._ready)
            + len(self._suspects)
            + len(self._delayed)
        )

    @property
    def unflushed(self) -> int:
        """Outcomes that no flush has taken yet."""
        return len(self._unflushed.outcomes)

    @property
    def unflushed_since(self) -> float:
        """Time of the oldest outcome that no flush has taken."""
        return self._unflushed.since

    @property
    def buffered_outcomes(self) -> int:
        """Outcomes in memory that aren't known to be in the store."""
        return self.unflushed + self._flushing

    @property
    def ended(self) -> bool:
        """Whether nothing of the lot runs or is to run."""
        return not self.running and not self.pending

    def next_item(self, now: float, suspect_allowed: bool) -> NextItem | None:
        """Take the item to run next.

        :param suspects_free: whether a suspect may run now
        """
        if self.cancelled:
            return None
        while self._delayed and self._delayed[0][0] <= now:
            self._enqueue(heapq.heappop(self._delayed)[1])
        queue = self._ready
        if suspect_allowed and self._suspects:
            queue = self._suspects
        if not queue:
            return None
        item = queue.popleft()
        return NextItem(item, self._records.get(item, ItemRecord()))

    def start(self, run: int, chosen: NextItem) -> ActiveRun:
        """Note that a run of an item starts to ask for a permit."""
        running = ActiveRun(run, chosen.item, chosen.record.suspect)
        self.running[run] = running
        return running

    def start_duplicate(self, run: int, item: int) -> None:
        """Note that an item is run a second time beside its first run."""
        self.running[run] = ActiveRun(run, item)

    def sent(self, run: int, now: float) -> None:
        """Note that a run's work is sent to a backend server."""
        self.running[run] = replace(self.running[run], sent=now)

    def end(self, run: int, result: RunResult, now: float) -> Outcome | None:
        """Note the end of a run; the item's outcome if this run settled it."""
        running = self.running.pop(run)
        item = running.item
        if item in self._settled:
            return None
        record = self._records.get(item, ItemRecord())
        decision = decide_item(
            item,
            result,
            record,
            self.terms.idempotent,
            self.terms.max_attempts,
            now,
        )
        match decision:
            case Settled(outcome=outcome):
                self._settle(outcome, now)
                if running.sent is not None:
                    self._durations.append(now - running.sent)
                return outcome
            case Retry(record=again):
                self._requeue(item, again, now)
                return None

    def runs_of(self, item: int) -> tuple[int, ...]:
        """Return the runs of an item that go on."""
        return tuple(r.run for r in self.running.values() if r.item == item)

    def next_intents(self) -> tuple[int, ...]:
        """Return items to record an intent for, none while one is asked for."""
        if self.cancelled or self._recording:
            return ()
        if len(self._ready) >= INTENT_BATCH_ITEMS // 2:
            return ()
        count = min(INTENT_BATCH_ITEMS, len(self._without_intent))
        self._recording = tuple(
            self._without_intent.popleft() for _ in range(count)
        )
        return self._recording

    def intents_durable(self) -> None:
        """Note that the intents asked for last are durable."""
        self._ready.extend(self._recording)
        self._recording = ()

    def unrun_intents(self) -> tuple[int, ...]:
        """Return items with a durable intent that certainly haven't run."""
        if self.terms.idempotent:
            return ()
        delayed = (item for _, item in self._delayed)
        waiting = (*self._recording, *self._ready, *self._suspects, *delayed)
        return tuple(sorted(waiting))

    def take_flush(self) -> tuple[Outcome, ...]:
        """Take the outcomes that are to be flushed."""
        outcomes = tuple(self._unflushed.outcomes)
        self._unflushed = _Unflushed()
        self._flushing = len(outcomes)
        return outcomes

    def flushed(self) -> None:
        """Note that the flush that was taken is in the store."""
        self._flushing = 0

    def cancel(self) -> tuple[int, ...]:
        """Run nothing more; the runs to stop."""
        self.cancelled = True
        self._without_intent.clear()
        self._recording = ()
        self._ready.clear()
        self._suspects.clear()
        self._delayed.clear()
        return tuple(self.running)

    def stragglers(self, now: float) -> tuple[ActiveRun, ...]:
        """Return items that run alone and far longer than the others did."""
        if self.pending or not self.terms.idempotent or self.cancelled:
            return ()
        if len(self._durations) < MIN_DURATION_SAMPLES:
            return ()
        median_s = statistics.median(self._durations)
        limit = max(MIN_STRAGGLER_S, STRAGGLER_FACTOR * median_s)
        return tuple(
            r
            for r in self.running.values()
            if r.sent is not None
            and now - r.sent > limit
            and r.item not in self._settled
            and len(self.runs_of(r.item)) == 1
        )

    def _restore(self, now: float) -> None:
        for item in sorted(self.lease.intended - self._settled):
            self._settle(
                Outcome(
                    item, ItemState.INDETERMINATE, error=INDETERMINATE_ERROR
                ),
                now,
            )
        if self.cancelled:
            return
        last = self.lease.first + self.lease.count
        queue = self._ready if self.terms.idempotent else self._without_intent
        queue.extend(
            i for i in range(self.lease.first, last) if i not in self._settled
        )

    def _requeue(self, item: int, record: ItemRecord, now: float) -> None:
        self._records[item] = record
        if self.cancelled or self.runs_of(item):
            return
        if record.not_before > now:
            heapq.heappush(self._delayed, (record.not_before, item))
        else:
            self._enqueue(item)

    def _enqueue(self, item: int) -> None:
        record = self._records.get(item, ItemRecord())
        queue = self._suspects if record.suspect else self._ready
        queue.appendleft(item)

    def _settle(self, outcome: Outcome, now: float) -> None:
        self._settled.add(outcome.item)
        self._records.pop(outcome.item, None)
        if not self._unflushed.outcomes:
            self._unflushed.since = now
        self._unflushed.outcomes.append(outcome)


__all__ = [
    "INTENT_BATCH_ITEMS",
    "LotLease",
    "LotKey",
    "LotState",
    "LotTerms",
    "NextItem",
    "ActiveRun",
]
