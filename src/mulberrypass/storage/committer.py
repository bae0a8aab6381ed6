"""Group commit: many small transactions in one platform write."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
import itertools
import json
import random
import threading
import time
from typing import TYPE_CHECKING

from expression import Error

from mulberrypass.model.store import MAX_SCAN_ROWS, Table, Unavailable
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
DEFAULT_PATIENCE_S = 2.0
IDLE_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class CommitterState:
    """State of a committer for a dump.

    :param retry_in_s: seconds until the next flight while the platform is
        away, else 0
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


@dataclass(frozen=True, slots=True)
class _Step:
    """What the committer's thread does next."""

    settled: list[EntryOutcome]
    flight: Flight | None
    ended: bool = False


class Committer(Table):
    """Merges transactions of many threads while one is in flight.

    Each transaction keeps its own conditions and gets its own result. It
    is also a table, so that callers need not know that they are merged.

    :param table: a ``SettledTable``, so that lost replies are settled
    :param patience_s: a transaction that could not be sent for so long
        ends ``Unavailable`` with ``maybe_applied`` false
    """

    def __init__(
        self,
        table: Table,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        patience_s: float = DEFAULT_PATIENCE_S,
        limits: GroupLimits | None = None,
    ) -> None:
        self._table = table
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._clock = clock
        self._patience_s = patience_s
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

    def stop(self, grace_s: float = DEFAULT_PATIENCE_S) -> None:
        """Write what waits, then end; what is left over ends as not run."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._thread.join(grace_s)
        with self._changed:
            left = self._group.expire(float("inf"))
        self._finish(left)

    def submit(
        self, ops: tuple[Op, ...], patience_s: float | None = None
    ) -> Future[Result[Committed, TableError]]:
        """Hand in a transaction; the future never fails.

        :param ops: its operations; no row may occur twice
        :param patience_s: overrides the committer's own
        """
        fut: Future[Result[Committed, TableError]] = Future()
        size_bytes = sum(len(json.dumps(op_to_json(op))) for op in ops)
        wait_s = self._patience_s if patience_s is None else patience_s
        with self._changed:
            now = self._clock()
            ticket = next(self._tickets)
            entry = Entry(ticket, ops, size_bytes, now + wait_s)
            refused = self._refusal(entry, now)
            if refused is not None:
                fut.set_result(Error(refused))
                return fut
            self._futures[ticket] = fut
            self._changed.notify_all()
        return fut

    def _refusal(self, entry: Entry, now: float) -> TableError | None:
        if self._stopping:
            return Unavailable("stopping", maybe_applied=False)
        return self._group.add(entry, now)

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none, merged with those of others."""
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
        """Give the state for a dump."""
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
            self._finish(step.settled)
            if step.flight is not None:
                self._fly(step.flight)
            if step.ended:
                return

    def _fly(self, flight: Flight) -> None:
        result = self._send(flight)
        with self._changed:
            self._in_flight = 0
            now, jitter = self._clock(), self._rng.random()
            settled = self._group.handle_result(flight, result, now, jitter)
        self._finish(settled)
        if result.is_error() and self._metrics is not None:
            self._metrics.count(Decision.PLATFORM_RETRIED)

    def _send(self, flight: Flight) -> Result[Committed, TableError]:
        try:
            return self._table.transact(flight.ops)
        except Exception as exc:
            LOG.exception("transaction failed", entries=len(flight.entries))
            return Error(Unavailable(repr(exc), maybe_applied=True))

    def _next_step(self) -> _Step:
        """Wait until there is something to do."""
        with self._changed:
            while True:
                now = self._clock()
                settled = self._group.expire(now)
                if now >= self._group.retry_at:
                    flight = self._group.next_flight()
                    if flight is not None:
                        self._in_flight = len(flight.entries)
                        return _Step(settled, flight)
                ended = self._stopping and not self._group.waiting
                if settled or ended:
                    return _Step(settled, None, ended)
                self._changed.wait(self._pause_s(now))

    def _pause_s(self, now: float) -> float:
        wake_at = now + IDLE_WAIT_S
        group = self._group
        if group.waiting:
            wake_at = min(wake_at, group.retry_at, group.next_expiry)
        return max(0.0, wake_at - now)

    def _finish(self, settled: list[EntryOutcome]) -> None:
        for outcome in settled:
            with self._changed:
                fut = self._futures.pop(outcome.ticket)
            if fut.set_running_or_notify_cancel():
                fut.set_result(outcome.result)


__all__ = ["Committer", "CommitterState"]
