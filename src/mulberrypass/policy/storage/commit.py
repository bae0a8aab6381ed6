"""Group commit: small transactions merged into one platform write."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.store import (
    MAX_TRANSACTION_BYTES,
    MAX_TRANSACTION_OPS,
    Check,
    Committed,
    Conflict,
    Throttled,
    Unavailable,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.storage.budget import Backoff

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

    from mulberrypass.model.store import Op, TableError


@value_class
class GroupLimits:
    """Limits of one merged transaction and of the queue.

    :param ops: operations in a merged transaction; one less than the
        platform allows, since the writer adds a receipt row to each
    :param waiting: number of queued entries
    :param waiting_bytes: size of the queued entries
    :param max_skipped: queued entries that a flight may skip because they
        overlap with its rows
    """

    ops: int = MAX_TRANSACTION_OPS - 1
    bytes: int = MAX_TRANSACTION_BYTES - 16_384
    waiting: int = 10_000
    waiting_bytes: int = 16 * 1_048_576
    max_skipped: int = 4 * MAX_TRANSACTION_OPS


@value_class
class Entry:
    """One small transaction that is queued for writing.

    :param ticket: identifies the entry to its submitter
    :param expires_at: time from which the entry isn't sent any more
    """

    ticket: int
    ops: tuple[Op, ...]
    size_bytes: int
    expires_at: float


@value_class
class Flight:
    """Entries that are sent together as one transaction."""

    entries: tuple[Entry, ...]

    @property
    def ops(self) -> tuple[Op, ...]:
        """All operations, in the order of the entries."""
        return tuple(op for entry in self.entries for op in entry.ops)


@value_class
class EntryOutcome:
    """The outcome of one entry."""

    ticket: int
    result: Result[Committed, TableError]


@dataclass(slots=True)
class GroupCounters:
    """Counters of entries and flights since the start."""

    submitted: int = 0
    committed: int = 0
    conflicts: int = 0
    expired: int = 0
    ambiguous: int = 0
    rejected: int = 0
    flights: int = 0
    committed_flights: int = 0
    largest_flight: int = 0
    failures: int = 0
    throttled: int = 0


class GroupCommit:
    """Merges independent small transactions into one flight at a time.

    Entries that touch the same row go into different flights, in order of
    arrival. A conflict fails only its own entry; the others are sent again.

    :param backoff: interval between flights while the platform is
        unavailable
    """

    def __init__(
        self, limits: GroupLimits | None = None, backoff: Backoff | None = None
    ) -> None:
        self._limits = limits or GroupLimits()
        self._backoff = backoff or Backoff()
        self._waiting: deque[Entry] = deque()
        self._waiting_bytes = 0
        self._next_expiry = float("inf")
        self._retry_at = float("-inf")
        self._failures_in_a_row = 0
        self.counters = GroupCounters()

    @property
    def waiting(self) -> int:
        """Number of queued entries."""
        return len(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """Size of the queued entries."""
        return self._waiting_bytes

    @property
    def retry_at(self) -> float:
        """Time before which no flight starts."""
        return self._retry_at

    @property
    def failures_in_a_row(self) -> int:
        """Flights without an answer since the last answer."""
        return self._failures_in_a_row

    def add(self, entry: Entry, now: float) -> Throttled | None:
        """Queue an entry, or refuse it if the queue is full."""
        limits = self._limits
        size = self._waiting_bytes + entry.size_bytes
        full = len(self._waiting) >= limits.waiting
        if full or (self._waiting and size > limits.waiting_bytes):
            self.counters.rejected += 1
            return Throttled(max(self._backoff.cap_s, self._retry_at - now))
        self.counters.submitted += 1
        self._waiting.append(entry)
        self._waiting_bytes = size
        self._next_expiry = min(self._next_expiry, entry.expires_at)
        return None

    def next_flight(self) -> Flight | None:
        """Remove the entries of the next flight from the queue."""
        taken: list[Entry] = []
        skipped: list[Entry] = []
        builder = _FlightBuilder(self._limits)
        while self._waiting and not builder.full:
            if len(skipped) > self._limits.max_skipped:
                break
            entry = self._waiting.popleft()
            if builder.add(entry):
                taken.append(entry)
            else:
                skipped.append(entry)
        self._waiting.extendleft(reversed(skipped))
        if not taken:
            return None
        self._waiting_bytes -= sum(entry.size_bytes for entry in taken)
        self.counters.flights += 1
        largest = max(self.counters.largest_flight, len(taken))
        self.counters.largest_flight = largest
        return Flight(tuple(taken))

    def expire(self, now: float) -> list[EntryOutcome]:
        """Fail queued entries that have expired; they weren't written."""
        if now < self._next_expiry:
            return []
        overdue = [e for e in self._waiting if e.expires_at <= now]
        self._waiting = deque(e for e in self._waiting if e.expires_at > now)
        self._waiting_bytes -= sum(entry.size_bytes for entry in overdue)
        expiries = (entry.expires_at for entry in self._waiting)
        self._next_expiry = min(expiries, default=float("inf"))
        self.counters.expired += len(overdue)
        error = Unavailable("not written in time", maybe_applied=False)
        return [EntryOutcome(entry.ticket, Error(error)) for entry in overdue]

    @property
    def next_expiry(self) -> float:
        """Time before which no entry expires."""
        return self._next_expiry

    def handle_result(
        self,
        flight: Flight,
        result: Result[Committed, TableError],
        now: float,
        jitter: float,
    ) -> list[EntryOutcome]:
        """Apply the result of a flight.

        Entries to be sent again go to the front of the queue.

        :param jitter: uniform random number from 0 to 1
        :returns: outcomes of the entries that are finished
        """
        if result.is_ok():
            self._reset_backoff()
            return self._committed(flight, result.ok)
        match result.error:
            case Conflict() as conflict:
                self._reset_backoff()
                return self._conflicted(flight, conflict)
            case Throttled(retry_after_s=wait_s):
                self.counters.throttled += 1
                self._requeue(flight.entries)
                self._retry_at = now + wait_s * (1.0 + jitter)
                return []
            case Unavailable(maybe_applied=True) as error:
                self._back_off(now, jitter)
                self.counters.ambiguous += len(flight.entries)
                return [
                    EntryOutcome(e.ticket, Error(error))
                    for e in flight.entries
                ]
            case Unavailable():
                self._back_off(now, jitter)
                self._requeue(flight.entries)
                return []

    def _committed(
        self, flight: Flight, done: Committed
    ) -> list[EntryOutcome]:
        settled = []
        start = 0
        for entry in flight.entries:
            stop = start + len(entry.ops)
            versions = Committed(done.versions[start:stop])
            settled.append(EntryOutcome(entry.ticket, Ok(versions)))
            start = stop
        self.counters.committed += len(settled)
        self.counters.committed_flights += 1
        return settled

    def _conflicted(
        self, flight: Flight, conflict: Conflict
    ) -> list[EntryOutcome]:
        start = 0
        for number, entry in enumerate(flight.entries):
            stop = start + len(entry.ops)
            if conflict.index < stop:
                rest = flight.entries[:number] + flight.entries[number + 1 :]
                self._requeue(rest)
                self.counters.conflicts += 1
                own = Conflict(conflict.index - start, conflict.found)
                return [EntryOutcome(entry.ticket, Error(own))]
            start = stop
        raise ValueError(f"conflict at operation {conflict.index} of {start}")

    def _requeue(self, entries: Iterable[Entry]) -> None:
        requeued = tuple(entries)
        self._waiting.extendleft(reversed(requeued))
        self._waiting_bytes += sum(entry.size_bytes for entry in requeued)
        for entry in requeued:
            self._next_expiry = min(self._next_expiry, entry.expires_at)

    def _reset_backoff(self) -> None:
        self._failures_in_a_row = 0
        self._retry_at = float("-inf")

    def _back_off(self, now: float, jitter: float) -> None:
        self.counters.failures += 1
        self._failures_in_a_row += 1
        wait_s = self._backoff.wait_s(self._failures_in_a_row, jitter)
        self._retry_at = now + wait_s


class _FlightBuilder:
    """Collects the entries of a flight."""

    def __init__(self, limits: GroupLimits) -> None:
        self._limits = limits
        self._ops = 0
        self._bytes = 0
        self._written: set[tuple[str, str]] = set()
        self._checked: set[tuple[str, str]] = set()
        self.full = False

    def add(self, entry: Entry) -> bool:
        """Add an entry if it fits.

        The rows of a skipped entry are blocked as well, so that no later
        entry on them overtakes it.
        """
        ops = self._ops + len(entry.ops)
        size = self._bytes + entry.size_bytes
        if self._ops and (ops > self._limits.ops or size > self._limits.bytes):
            self.full = True
            return False
        added = not self._overlaps(entry)
        for op in entry.ops:
            rows = self._checked if isinstance(op, Check) else self._written
            rows.add((op.table, op.key))
        if added:
            self._ops, self._bytes = ops, size
        return added

    def _overlaps(self, entry: Entry) -> bool:
        for op in entry.ops:
            row = (op.table, op.key)
            if row in self._written:
                return True
            if not isinstance(op, Check) and row in self._checked:
                return True
        return False


__all__ = [
    "Entry",
    "EntryOutcome",
    "Flight",
    "GroupCommit",
    "GroupCounters",
    "GroupLimits",
]
