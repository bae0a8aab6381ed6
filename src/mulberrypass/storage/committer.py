"""Group commit: many small transactions in one platform write."""

from __future__ import annotations

from concurrent.futures import Future
import itertools
import json
import random
import threading
import time
from typing import TYPE_CHECKING

from expression import Error

from mulberrypass.model.store import MAX_SCAN_ROWS, Table, Unavailable
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.storage.commit import Entry, GroupCommit
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision
from mulberrypass.storage.operations import op_to_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.model.store import (
        Committed,
        Op,
        Page,
        ReadError,
        Row,
        TableError,
    )
    from mulberrypass.policy.storage.commit import (
        EntryOutcome,
        Flight,
        GroupLimits,
    )
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
DEFAULT_SEND_TIMEOUT_S = 2.0
IDLE_WAIT_S = 1.0


@value_class
class CommitterState:
    """State of a committer, for the state dump.

    :param retry_in_s: seconds until the next flight while the platform is
        unavailable, else 0
    """

    waiting: int
    waiting_bytes: int
    in_flight: int
    retry_in_s: float
    failures_in_a_row: int
    submitted: int
    committed: int
    conflicts: int
    expired: int
    ambiguous: int
    rejected: int
    flights: int
    committed_flights: int
    largest_flight: int
    throttled: int


@value_class
class _Step:
    """What the committer's thread does next."""

    outcomes: list[EntryOutcome]
    flight: Flight | None
    ended: bool = False


class Committer(Table):
    """Merges the transactions that arrive while a write is in flight.

    Each transaction keeps its own conditions and gets its own result. The
    committer is a ``Table``, so callers need not know about the merging.

    :param table: a ``RetryingTable``, which resolves lost replies
    :param send_timeout_s: a transaction that could not be sent within this
        time ends as ``Unavailable`` with ``maybe_applied`` false
    """

    def __init__(
        self,
        table: Table,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        send_timeout_s: float = DEFAULT_SEND_TIMEOUT_S,
        limits: GroupLimits | None = None,
    ) -> None:
        self._table = table
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._clock = clock
        self._send_timeout_s = send_timeout_s
        self._group = GroupCommit(limits)
        self._changed = threading.Condition()
        self._tickets = itertools.count(1)
        self._futures: dict[int, Future[Result[Committed, TableError]]] = {}
        self._in_flight = 0
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="committer", daemon=True
        )

    def start(self) -> None:
        """Start the committer's thread."""
        self._thread.start()

    def stop(self, grace_s: float = DEFAULT_SEND_TIMEOUT_S) -> None:
        """Write the waiting transactions, then end the thread.

        Transactions not sent within ``grace_s`` end as not applied.
        """
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._thread.join(grace_s)
        with self._changed:
            unsent = self._group.expire(float("inf"))
        self._resolve(unsent)

    def submit(
        self, ops: tuple[Op, ...], send_timeout_s: float | None = None
    ) -> Future[Result[Committed, TableError]]:
        """Queue a transaction; its future never ends in an exception.

        :param ops: its operations, at most one for each row
        :param send_timeout_s: overrides the committer's own
        """
        fut: Future[Result[Committed, TableError]] = Future()
        size_bytes = sum(len(json.dumps(op_to_json(op))) for op in ops)
        wait_s = (
            self._send_timeout_s if send_timeout_s is None else send_timeout_s
        )
        with self._changed:
            now = self._clock()
            ticket = next(self._tickets)
            entry = Entry(ticket, ops, size_bytes, now + wait_s)
            rejection = self._enqueue(entry, now)
            if rejection is not None:
                fut.set_result(Error(rejection))
                return fut
            self._futures[ticket] = fut
            self._changed.notify_all()
        return fut

    def _enqueue(self, entry: Entry, now: float) -> TableError | None:
        if self._stopping:
            return Unavailable("stopping", maybe_applied=False)
        return self._group.add(entry, now)

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none; may share a write with others."""
        return self.submit(ops).result()

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""
        return self._table.read(table, key)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows whose key has the prefix, after a key."""
        return self._table.scan(table, prefix, after, limit)

    def state(self) -> CommitterState:
        """Return the state for the state dump."""
        with self._changed:
            group, counters = self._group, self._group.counters
            return CommitterState(
                waiting=group.waiting,
                waiting_bytes=group.waiting_bytes,
                in_flight=self._in_flight,
                retry_in_s=max(0.0, group.retry_at - self._clock()),
                failures_in_a_row=group.failures_in_a_row,
                submitted=counters.submitted,
                committed=counters.committed,
                conflicts=counters.conflicts,
                expired=counters.expired,
                ambiguous=counters.ambiguous,
                rejected=counters.rejected,
                flights=counters.flights,
                committed_flights=counters.committed_flights,
                largest_flight=counters.largest_flight,
                throttled=counters.throttled,
            )

    def _run(self) -> None:
        while True:
            step = self._next_step()
            self._resolve(step.outcomes)
            if step.flight is not None:
                self._send_flight(step.flight)
            if step.ended:
                return

    def _send_flight(self, flight: Flight) -> None:
        result = self._send(flight)
        with self._changed:
            self._in_flight = 0
            now, jitter = self._clock(), self._rng.random()
            outcomes = self._group.handle_result(flight, result, now, jitter)
        self._resolve(outcomes)
        if result.is_error() and self._metrics is not None:
            self._metrics.count(Decision.PLATFORM_RETRIED)

    def _send(self, flight: Flight) -> Result[Committed, TableError]:
        try:
            return self._table.transact(flight.ops)
        except Exception as exc:
            LOG.exception("transaction failed", entries=len(flight.entries))
            return Error(Unavailable(repr(exc), maybe_applied=True))

    def _next_step(self) -> _Step:
        """Wait for expired entries, a flight to send, or the stop."""
        with self._changed:
            while True:
                now = self._clock()
                outcomes = self._group.expire(now)
                if now >= self._group.retry_at:
                    flight = self._group.next_flight()
                    if flight is not None:
                        self._in_flight = len(flight.entries)
                        return _Step(outcomes, flight)
                ended = self._stopping and not self._group.waiting
                if outcomes or ended:
                    return _Step(outcomes, None, ended)
                self._changed.wait(self._wait_s(now))

    def _wait_s(self, now: float) -> float:
        wake_at = now + IDLE_WAIT_S
        group = self._group
        if group.waiting:
            wake_at = min(wake_at, group.retry_at, group.next_expiry)
        return max(0.0, wake_at - now)

    def _resolve(self, outcomes: list[EntryOutcome]) -> None:
        for outcome in outcomes:
            with self._changed:
                fut = self._futures.pop(outcome.ticket)
            if fut.set_running_or_notify_cancel():
                fut.set_result(outcome.result)


__all__ = ["Committer", "CommitterState"]
