"""Which small transactions go together into one platform write."""

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
from mulberrypass.policy.storage.budget import Backoff

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

    from mulberrypass.model.store import Op, TableError


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Bounds of one merged transaction and of what waits.

    :param ops: leaves room for the receipt of the writer
    :param passed_over: entries looked at that clash with a flight's rows
    """

    ops: int = MAX_TRANSACTION_OPS - 1
    bytes: int = MAX_TRANSACTION_BYTES - 16_384
    waiting: int = 10_000
    waiting_bytes: int = 16 * 1_048_576
    passed_over: int = 4 * MAX_TRANSACTION_OPS


@dataclass(frozen=True, slots=True)
class Entry:
    """One small transaction that waits to be written.

    :param give_up_at: time after which it is not sent any more
    """

    ticket: int
    ops: tuple[Op, ...]
    size_bytes: int
    give_up_at: float


@dataclass(frozen=True, slots=True)
class Flight:
    """Entries that are sent as one transaction."""

    entries: tuple[Entry, ...]

    @property
    def ops(self) -> tuple[Op, ...]:
        """All operations, entry by entry."""
        return tuple(op for entry in self.entries for op in entry.ops)


@dataclass(frozen=True, slots=True)
class Settled:
    """The outcome of one entry."""

    ticket: int
    result: Result[Committed, TableError]


@dataclass(slots=True)
class GroupCounters:
    """What was merged so far."""

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
    """Merges independent small transactions, one flight at a time.

    Entries that touch the same row go into different flights in the order
    they came. A conflict takes only its own entry out of a flight.

    :param backoff: spacing of flights while the platform is away
    """

    def __init__(
        self, limits: GroupLimits | None = None, backoff: Backoff | None = None
    ) -> None:
        self._limits = limits or GroupLimits()
        self._backoff = backoff or Backoff()
        self._waiting: deque[Entry] = deque()
        self._waiting_bytes = 0
        self._earliest = float("inf")
        self._retry_at = float("-inf")
        self._failures_in_a_row = 0
        self.counters = GroupCounters()

    @property
    def waiting(self) -> int:
        """Entries that wait."""
        return len(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """Size of the entries that wait."""
        return self._waiting_bytes

    @property
    def retry_at(self) -> float:
        """Time before which no flight starts."""
        return self._retry_at

    @property
    def failures_in_a_row(self) -> int:
        """Flights that the platform did not answer, since the last answer."""
        return self._failures_in_a_row

    def add(self, entry: Entry, now: float) -> Throttled | None:
        """Let an entry wait, or refuse it where too much waits."""
        limits = self._limits
        size = self._waiting_bytes + entry.size_bytes
        full = len(self._waiting) >= limits.waiting
        if full or (self._waiting and size > limits.waiting_bytes):
            self.counters.rejected += 1
            return Throttled(max(self._backoff.cap_s, self._retry_at - now))
        self.counters.submitted += 1
        self._waiting.append(entry)
        self._waiting_bytes = size
        self._earliest = min(self._earliest, entry.give_up_at)
        return None

    def next_flight(self) -> Flight | None:
        """Take the entries of the next flight out of those that wait."""
        taken: list[Entry] = []
        passed: list[Entry] = []
        packing = _Packing(self._limits)
        while self._waiting and not packing.full:
            if len(passed) > self._limits.passed_over:
                break
            entry = self._waiting.popleft()
            if packing.add(entry):
                taken.append(entry)
            else:
                passed.append(entry)
        self._waiting.extendleft(reversed(passed))
        if not taken:
            return None
        self._waiting_bytes -= sum(entry.size_bytes for entry in taken)
        self.counters.flights += 1
        largest = max(self.counters.largest_flight, len(taken))
        self.counters.largest_flight = largest
        return Flight(tuple(taken))

    def expire(self, now: float) -> list[Settled]:
        """Give up entries that waited too long; they were not written."""
        if now < self._earliest:
            return []
        late = [e for e in self._waiting if e.give_up_at <= now]
        self._waiting = deque(e for e in self._waiting if e.give_up_at > now)
        self._waiting_bytes -= sum(entry.size_bytes for entry in late)
        expiries = (entry.give_up_at for entry in self._waiting)
        self._earliest = min(expiries, default=float("inf"))
        self.counters.expired += len(late)
        error = Unavailable("not written in time", maybe_applied=False)
        return [Settled(entry.ticket, Error(error)) for entry in late]

    @property
    def next_expiry(self) -> float:
        """Time before which no entry is given up."""
        return self._earliest

    def landed(
        self,
        flight: Flight,
        result: Result[Committed, TableError],
        now: float,
        jitter: float,
    ) -> list[Settled]:
        """Take a flight's result; entries to send again wait in front.

        :param jitter: random, from 0 to 1
        :returns: outcomes of the entries that are settled
        """
        if result.is_ok():
            self._answered()
            return self._committed(flight, result.ok)
        match result.error:
            case Conflict() as conflict:
                self._answered()
                return self._conflicted(flight, conflict)
            case Throttled(retry_after_s=wait_s):
                self.counters.throttled += 1
                self._put_back(flight.entries)
                self._retry_at = now + wait_s * (1.0 + jitter)
                return []
            case Unavailable(maybe_applied=True) as error:
                self._failed(now, jitter)
                self.counters.ambiguous += len(flight.entries)
                return [
                    Settled(e.ticket, Error(error)) for e in flight.entries
                ]
            case Unavailable():
                self._failed(now, jitter)
                self._put_back(flight.entries)
                return []

    def _committed(self, flight: Flight, done: Committed) -> list[Settled]:
        settled = []
        start = 0
        for entry in flight.entries:
            stop = start + len(entry.ops)
            versions = Committed(done.versions[start:stop])
            settled.append(Settled(entry.ticket, Ok(versions)))
            start = stop
        self.counters.committed += len(settled)
        self.counters.committed_flights += 1
        return settled

    def _conflicted(self, flight: Flight, conflict: Conflict) -> list[Settled]:
        start = 0
        for number, entry in enumerate(flight.entries):
            stop = start + len(entry.ops)
            if conflict.index < stop:
                rest = flight.entries[:number] + flight.entries[number + 1 :]
                self._put_back(rest)
                self.counters.conflicts += 1
                own = Conflict(conflict.index - start, conflict.found)
                return [Settled(entry.ticket, Error(own))]
            start = stop
        raise ValueError(f"conflict at {conflict.index} of {start}")

    def _put_back(self, entries: Iterable[Entry]) -> None:
        back = tuple(entries)
        self._waiting.extendleft(reversed(back))
        self._waiting_bytes += sum(entry.size_bytes for entry in back)
        for entry in back:
            self._earliest = min(self._earliest, entry.give_up_at)

    def _answered(self) -> None:
        self._failures_in_a_row = 0
        self._retry_at = float("-inf")

    def _failed(self, now: float, jitter: float) -> None:
        self.counters.failures += 1
        self._failures_in_a_row += 1
        wait_s = self._backoff.wait_s(self._failures_in_a_row, jitter)
        self._retry_at = now + wait_s


class _Packing:
    """What a flight holds while it is filled."""

    def __init__(self, limits: GroupLimits) -> None:
        self._limits = limits
        self._ops = 0
        self._bytes = 0
        self._written: set[tuple[str, str]] = set()
        self._checked: set[tuple[str, str]] = set()
        self.full = False

    def add(self, entry: Entry) -> bool:
        """Add an entry, or keep later ones on its rows out as well."""
        ops = self._ops + len(entry.ops)
        size = self._bytes + entry.size_bytes
        if self._ops and (ops > self._limits.ops or size > self._limits.bytes):
            self.full = True
            return False
        fits = not self._clashes(entry)
        for op in entry.ops:
            rows = self._checked if isinstance(op, Check) else self._written
            rows.add((op.table, op.key))
        if fits:
            self._ops, self._bytes = ops, size
        return fits

    def _clashes(self, entry: Entry) -> bool:
        for op in entry.ops:
            row = (op.table, op.key)
            if row in self._written:
                return True
            if not isinstance(op, Check) and row in self._checked:
                return True
        return False


__all__ = [
    "Entry",
    "Flight",
    "GroupCommit",
    "GroupCounters",
    "GroupLimits",
    "Settled",
]
