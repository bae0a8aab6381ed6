"""State of one leased lot: its queued, running and settled items."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
import heapq
import statistics
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.items import (
    ItemState,
    Outcome,
    Retry,
    RetryState,
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
    """Identifies one lot of one job."""

    job: str
    lot: int


@value_class
class LotTerms:
    """Settings of a lot's items, from its service and its job.

    :param due: Unix time in seconds
    """

    customer: str
    service: str
    idempotent: bool
    max_attempts: int
    due: float


@value_class
class LotLease:
    """A lease of a lot by this process.

    :param first: number of the lot's first item
    :param settled: items whose outcome is stored
    :param intended: items that an earlier holder may have run
    """

    key: LotKey
    epoch: int
    first: int
    count: int
    settled: frozenset[int] = frozenset()
    intended: frozenset[int] = frozenset()
    cancelled: bool = False


@value_class
class ActiveRun:
    """A run of an item that hasn't ended.

    :param suspect: whether the item is suspected of crashing backend servers
    :param sent_at: when it was sent to a backend server, or ``None``
    """

    run: int
    item: int
    suspect: bool = False
    sent_at: float | None = None


@value_class
class NextItem:
    """The item to run next and its retry state."""

    item: int
    retry: RetryState


@dataclass(slots=True)
class _Unflushed:
    outcomes: list[Outcome] = field(default_factory=list)
    since: float = 0.0


class LotState:
    """Queues, active runs and unflushed outcomes of one leased lot."""

    def __init__(self, lease: LotLease, terms: LotTerms, now: float) -> None:
        self.lease = lease
        self.terms = terms
        self.cancelled = lease.cancelled
        self.running: dict[int, ActiveRun] = {}
        self._retries: dict[int, RetryState] = {}
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
        """Key of the lot."""
        return self.lease.key

    @property
    def pending(self) -> int:
        """Number of items that wait to be run."""
        return (
            len(self._without_intent)
            + len(self._recording)
            + len(self._ready)
            + len(self._suspects)
            + len(self._delayed)
        )

    @property
    def unflushed(self) -> int:
        """Number of outcomes that no flush has taken yet."""
        return len(self._unflushed.outcomes)

    @property
    def unflushed_since(self) -> float:
        """Time of the oldest outcome that no flush has taken."""
        return self._unflushed.since

    @property
    def buffered_outcomes(self) -> int:
        """Number of outcomes in memory that aren't known to be stored."""
        return self.unflushed + self._flushing

    @property
    def ended(self) -> bool:
        """Whether no item of the lot runs or waits to be run."""
        return not self.running and not self.pending

    def next_item(self, now: float, suspect_allowed: bool) -> NextItem | None:
        """Remove and return the item to run next.

        :param suspect_allowed: whether a suspect may run now
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
        return NextItem(item, self._retries.get(item, RetryState()))

    def start(self, run: int, chosen: NextItem) -> ActiveRun:
        """Record a run that is about to ask for a permit."""
        running = ActiveRun(run, chosen.item, chosen.retry.suspect)
        self.running[run] = running
        return running

    def start_duplicate(self, run: int, item: int) -> None:
        """Record a second run of an item beside its first."""
        self.running[run] = ActiveRun(run, item)

    def mark_sent(self, run: int, now: float) -> None:
        """Record that a run was sent to a backend server."""
        self.running[run] = replace(self.running[run], sent_at=now)

    def end(self, run: int, result: RunResult, now: float) -> Outcome | None:
        """Record the end of a run.

        :returns: the item's outcome if this run settled it
        """
        running = self.running.pop(run)
        item = running.item
        if item in self._settled:
            return None
        retry = self._retries.get(item, RetryState())
        decision = decide_item(
            item,
            result,
            retry,
            self.terms.idempotent,
            self.terms.max_attempts,
            now,
        )
        match decision:
            case Settled(outcome=outcome):
                self._settle(outcome, now)
                if running.sent_at is not None:
                    self._durations.append(now - running.sent_at)
                return outcome
            case Retry(state=new_retry):
                self._requeue(item, new_retry, now)
                return None

    def runs_of(self, item: int) -> tuple[int, ...]:
        """Return the active runs of an item."""
        return tuple(r.run for r in self.running.values() if r.item == item)

    def next_intents(self) -> tuple[int, ...]:
        """Return items to record intents for, unless a write is pending."""
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
        """Queue the items of the last intents, which are now stored."""
        self._ready.extend(self._recording)
        self._recording = ()

    def unrun_intents(self) -> tuple[int, ...]:
        """Return items with an intent that certainly haven't run."""
        if self.terms.idempotent:
            return ()
        delayed = (item for _, item in self._delayed)
        waiting = (*self._recording, *self._ready, *self._suspects, *delayed)
        return tuple(sorted(waiting))

    def take_flush(self) -> tuple[Outcome, ...]:
        """Remove and return the outcomes to be flushed."""
        outcomes = tuple(self._unflushed.outcomes)
        self._unflushed = _Unflushed()
        self._flushing = len(outcomes)
        return outcomes

    def flushed(self) -> None:
        """Record that the flush taken last is stored."""
        self._flushing = 0

    def cancel(self) -> tuple[int, ...]:
        """Drop all queued items, and return the runs to stop."""
        self.cancelled = True
        self._without_intent.clear()
        self._recording = ()
        self._ready.clear()
        self._suspects.clear()
        self._delayed.clear()
        return tuple(self.running)

    def stragglers(self, now: float) -> tuple[ActiveRun, ...]:
        """Return runs without duplicates that take far longer than usual."""
        if self.pending or not self.terms.idempotent or self.cancelled:
            return ()
        if len(self._durations) < MIN_DURATION_SAMPLES:
            return ()
        median_s = statistics.median(self._durations)
        limit = max(MIN_STRAGGLER_S, STRAGGLER_FACTOR * median_s)
        return tuple(
            r
            for r in self.running.values()
            if r.sent_at is not None
            and now - r.sent_at > limit
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

    def _requeue(self, item: int, retry: RetryState, now: float) -> None:
        self._retries[item] = retry
        if self.cancelled or self.runs_of(item):
            return
        if retry.not_before > now:
            heapq.heappush(self._delayed, (retry.not_before, item))
        else:
            self._enqueue(item)

    def _enqueue(self, item: int) -> None:
        retry = self._retries.get(item, RetryState())
        queue = self._suspects if retry.suspect else self._ready
        queue.appendleft(item)

    def _settle(self, outcome: Outcome, now: float) -> None:
        self._settled.add(outcome.item)
        self._retries.pop(outcome.item, None)
        if not self._unflushed.outcomes:
            self._unflushed.since = now
        self._unflushed.outcomes.append(outcome)


__all__ = [
    "ActiveRun",
    "INTENT_BATCH_ITEMS",
    "LotKey",
    "LotLease",
    "LotState",
    "LotTerms",
    "NextItem",
]
