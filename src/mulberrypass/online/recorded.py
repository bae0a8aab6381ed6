"""Runs recorded requests to a durable outcome, whoever waits for them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from http import HTTPStatus
import queue
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.model.outcome import Ran
from mulberrypass.online.call import Completed, Failed, StreamedTokens
from mulberrypass.online.execution import RequestExecution
from mulberrypass.online.intent import Intent
from mulberrypass.online.records import (
    ExistingRecord,
    Record,
    RecordMissing,
    RecordState,
    StoreFailed,
    payload_digest,
)
from mulberrypass.online.refusals import (
    STORE_RETRY_S,
    indeterminate,
    internal_error,
)
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from concurrent.futures import ThreadPoolExecutor

    from mulberrypass.online.call import Call, CallEvent, Outcome
    from mulberrypass.online.execution import OnlineDependencies
    from mulberrypass.online.records import RecordError, Records

LOG = get_logger(__name__)
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
STANDING_POLL_S = 0.25


@dataclass(frozen=True, slots=True)
class Running:
    """What a process knows of its recorded requests, for the dump."""

    running: int
    unsettled: int
    limit: int


class RecordedRuns:
    """Owns the threads of this process's recorded requests.

    :param limit: recorded requests that run here at once
    """

    def __init__(
        self,
        tools: OnlineDependencies,
        records: Records,
        executor: ThreadPoolExecutor,
        limit: int,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._tools = tools
        self._records = records
        self._executor = executor
        self._limit = limit
        self._sleep = sleep
        self._lock = threading.Lock()
        self._running: set[str] = set()
        self._unsettled = 0
        self._unsure: set[str] = set()
        self._stopping = threading.Event()

    @property
    def in_flight(self) -> int:
        """Recorded requests without a durable outcome here."""
        with self._lock:
            return len(self._running)

    def state(self) -> Running:
        """Give counts for the dump."""
        with self._lock:
            return Running(len(self._running), self._unsettled, self._limit)

    def unconfirmed(self) -> frozenset[str]:
        """Requests that may be held here though nothing runs them.

        Their acceptance or takeover got no reply that could be settled.
        """
        with self._lock:
            return frozenset(self._unsure - self._running)

    def forget(self, request_id: str) -> None:
        """Note that an unsure request needs no run here."""
        with self._lock:
            self._unsure.discard(request_id)

    def stop(self) -> None:
        """Give up writing outcomes that the store doesn't take."""
        self._stopping.set()

    def events(self, call: Call, deadline_at: float) -> Iterator[CallEvent]:
        """Accept a request, run it, and give its events.

        The run goes on when the caller leaves.

        :param deadline_at: the deadline in Unix time
        """
        if not self._enter(call.request_id):
            yield from self._wait_standing(call)
            return
        accepted = self._records.accept(call, deadline_at)
        if accepted.is_error():
            self._not_entered(call, accepted.error)
            yield from self._not_accepted(call, accepted.error)
            return
        mailbox: queue.Queue[CallEvent] = queue.Queue()
        self._executor.submit(self._run, call, accepted.ok, mailbox)
        yield from _until_outcome(mailbox)

    def accept_only(self, call: Call, deadline_at: float) -> Failed | None:
        """Accept a request whose caller asks for the answer later."""
        if not self._enter(call.request_id):
            return None
        accepted = self._records.accept(call, deadline_at)
        if accepted.is_ok():
            self._executor.submit(self._run_to_end, call, accepted.ok)
            return None
        self._not_entered(call, accepted.error)
        match accepted.error:
            case ExistingRecord(record=record):
                return _changed(call, record)
            case StoreFailed() | RecordMissing() as failed:
                return self._store_down(failed)

    def recover(self, call: Call, record: Record) -> bool:
        """Take over a request whose holder is lost, and run it.

        :returns: whether this process became its holder
        """
        if not self._enter(call.request_id):
            return False
        taken = self._records.take_over(record)
        if taken.is_error():
            self._not_entered(call, taken.error)
            return False
        self.forget(call.request_id)
        if record.state is RecordState.STARTED:
            if not call.service.idempotent:
                outcome = indeterminate()
                self._executor.submit(self._end, taken.ok, outcome)
                return True
        self._executor.submit(self._run_to_end, call, taken.ok)
        return True

    # One run

    def _run(
        self, call: Call, record: Record, mailbox: queue.Queue[CallEvent]
    ) -> None:
        """Run once; a caller is told of a refusal, and may try again."""
        intent = Intent(self._records, record, call.service.idempotent)
        course = RequestExecution(call, self._tools, intent.write, _never)
        outcome: Outcome = internal_error()
        try:
            for event in course.events():
                if isinstance(event, StreamedTokens):
                    mailbox.put(event)
                else:
                    outcome = event
        except Exception:
            LOG.exception("run failed", request_id=call.request_id)
        self._settle(intent.record, outcome, mailbox.put)

    def _run_to_end(self, call: Call, record: Record) -> None:
        """Run until the outcome is final or the deadline has passed."""
        backoff_s = FIRST_BACKOFF_S
        intent = Intent(self._records, record, call.service.idempotent)
        while True:
            outcome = self._attempt(call, intent)
            left = call.deadline - time.monotonic()
            if not _may_run_again(outcome, call) or left <= backoff_s:
                break
            self._sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        self._end(intent.record, outcome)

    def _attempt(self, call: Call, intent: Intent) -> Outcome:
        course = RequestExecution(call, self._tools, intent.write, _never)
        try:
            for event in course.events():
                if not isinstance(event, StreamedTokens):
                    return event
        except Exception:
            LOG.exception("run failed", request_id=call.request_id)
        return internal_error()

    def _settle(
        self,
        record: Record,
        outcome: Outcome,
        tell: Callable[[CallEvent], None],
    ) -> None:
        """Commit the outcome, then tell it; a refusal leaves no record."""
        if isinstance(outcome, Failed) and outcome.ran is Ran.NO:
            if self._records.withdraw(record).is_ok():
                self._leave(record.request_id)
                tell(outcome)
                return
        done = self._records.finish(record, _durable(outcome))
        if done.is_ok():
            self._leave(record.request_id)
            tell(_durable(outcome))
            return
        match done.error:
            case ExistingRecord(record=standing):
                tell(self._other_outcome(standing, outcome))
                self._end(standing, outcome)
            case _:
                tell(outcome)
                self._end(record, outcome)

    def _end(self, record: Record, outcome: Outcome) -> None:
        """Commit the outcome, however long the store takes."""
        with self._lock:
            self._unsettled += 1
        try:
            while not self._stopping.is_set():
                done = self._records.finish(record, _durable(outcome))
                if done.is_ok():
                    return
                match done.error:
                    case RecordMissing():
                        return
                    case ExistingRecord(record=standing):
                        if not self._still_ours(standing):
                            self._drop_duplicate()
                            return
                        record = standing
                    case StoreFailed():
                        self._sleep(STORE_RETRY_S)
        finally:
            with self._lock:
                self._unsettled -= 1
            self._leave(record.request_id)

    def _still_ours(self, record: Record) -> bool:
        ours = self._records.holds(record)
        return ours and record.state is not RecordState.DONE

    def _drop_duplicate(self) -> None:
        self._tools.metrics.count(Decision.DROPPED_DUPLICATE)

    def _other_outcome(self, standing: Record, ours: Outcome) -> Outcome:
        return ours if standing.outcome is None else standing.outcome

    # Requests that were accepted before

    def _not_accepted(
        self, call: Call, error: RecordError
    ) -> Iterator[CallEvent]:
        match error:
            case StoreFailed() | RecordMissing():
                yield self._store_down(error)
            case ExistingRecord(record=record):
                changed = _changed(call, record)
                if changed is not None:
                    yield changed
                    return
                yield from self._wait_standing(call)

    def _wait_standing(self, call: Call) -> Iterator[CallEvent]:
        """Wait for the outcome of a request that runs already."""
        while time.monotonic() < call.deadline:
            found = self._records.read(call.request_id)
            if found.is_ok() and found.ok is not None:
                changed = _changed(call, found.ok)
                if changed is not None:
                    yield changed
                    return
                if found.ok.outcome is not None:
                    yield from _replay(call, found.ok.outcome)
                    return
            self._sleep(STANDING_POLL_S)
        yield Failed(
            HTTPStatus.GATEWAY_TIMEOUT,
            "in_progress",
            "the request was accepted before and still runs",
            Ran.MAYBE,
            STORE_RETRY_S,
        )

    def _store_down(self, failed: StoreFailed | RecordMissing) -> Failed:
        self._tools.metrics.count(Decision.REFUSED_STORE)
        maybe = isinstance(failed, StoreFailed) and failed.maybe_applied
        return Failed(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "store_unavailable",
            "the request can't be made durable now",
            Ran.MAYBE if maybe else Ran.NO,
            STORE_RETRY_S,
        )

    def _enter(self, request_id: str) -> bool:
        with self._lock:
            if request_id in self._running:
                return False
            self._running.add(request_id)
            return True

    def _not_entered(self, call: Call, error: RecordError) -> None:
        """Leave; remember a write that may have taken effect."""
        self._leave(call.request_id)
        if isinstance(error, StoreFailed) and error.maybe_applied:
            with self._lock:
                self._unsure.add(call.request_id)

    def _leave(self, request_id: str) -> None:
        with self._lock:
            self._running.discard(request_id)

    def full(self) -> bool:
        """Whether no further recorded request may start here."""
        with self._lock:
            return len(self._running) >= self._limit


def _until_outcome(mailbox: queue.Queue[CallEvent]) -> Iterator[CallEvent]:
    while True:
        event = mailbox.get()
        yield event
        if not isinstance(event, StreamedTokens):
            return


def _replay(call: Call, outcome: Outcome) -> Iterator[CallEvent]:
    if call.stream and isinstance(outcome, Completed):
        yield StreamedTokens(0, tuple(str(outcome.output).split(" ")))
    yield outcome


def _may_run_again(outcome: Outcome, call: Call) -> bool:
    match outcome:
        case Failed(code="rejected" | "fenced"):
            return False
        case Failed(ran=Ran.NO):
            return True
        case Failed():
            return call.service.idempotent
        case _:
            return False


def _durable(outcome: Outcome) -> Outcome:
    if isinstance(outcome, Completed):
        return replace(outcome, recorded=True)
    return outcome


def _changed(call: Call, record: Record) -> Failed | None:
    digest = payload_digest(call.service.name, call.payload, call.max_tokens)
    if digest == record.digest:
        return None
    return Failed(
        HTTPStatus.CONFLICT,
        "key_reused",
        "the idempotency key stands for a different request",
        Ran.NO,
    )


def _never() -> bool:
    return False


__all__ = ["RecordedRuns", "Running"]
