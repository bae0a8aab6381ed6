"""Runs recorded requests to a durable outcome, with or without a caller."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
import queue
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
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
OUTCOME_POLL_S = 0.25


@value_class
class RecordedRunsState:
    """Counts of a process's recorded requests, for the state dump.

    :param unsettled: requests that have ended, with an outcome still to store
    :param limit: maximum number of requests that run at once
    """

    running: int
    unsettled: int
    limit: int


class RecordedRuns:
    """Runs this process's recorded requests on the executor's threads.

    :param limit: maximum number of requests that run at once
    """

    def __init__(
        self,
        deps: OnlineDependencies,
        records: Records,
        executor: ThreadPoolExecutor,
        limit: int,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._deps = deps
        self._records = records
        self._executor = executor
        self._limit = limit
        self._sleep = sleep
        self._lock = threading.Lock()
        self._running: set[str] = set()
        self._unsettled = 0
        self._unconfirmed: set[str] = set()
        self._stopping = threading.Event()

    @property
    def in_flight(self) -> int:
        """Number of requests here without a durable outcome."""
        with self._lock:
            return len(self._running)

    def state(self) -> RecordedRunsState:
        """Return the counts for the state dump."""
        with self._lock:
            return RecordedRunsState(
                len(self._running), self._unsettled, self._limit
            )

    def unconfirmed(self) -> frozenset[str]:
        """Return ids of requests that may be held here but don't run here.

        The write that accepted or took them over got no conclusive reply.
        """
        with self._lock:
            return frozenset(self._unconfirmed - self._running)

    def forget(self, request_id: str) -> None:
        """Drop an unconfirmed request that needs no run here."""
        with self._lock:
            self._unconfirmed.discard(request_id)

    def stop(self) -> None:
        """Stop retrying to store outcomes."""
        self._stopping.set()

    def events(self, call: Call, deadline_at: float) -> Iterator[CallEvent]:
        """Accept a request, run it and yield its events.

        The run continues if the caller disconnects.

        :param deadline_at: deadline as Unix time in seconds
        """
        if not self._register(call.request_id):
            yield from self._wait_for_existing(call)
            return
        accepted = self._records.accept(call, deadline_at)
        if accepted.is_error():
            self._unregister_failed(call, accepted.error)
            yield from self._on_accept_error(call, accepted.error)
            return
        mailbox: queue.Queue[CallEvent] = queue.Queue()
        self._executor.submit(self._run, call, accepted.ok, mailbox)
        yield from _until_outcome(mailbox)

    def accept_only(self, call: Call, deadline_at: float) -> Failed | None:
        """Accept and run a request whose caller fetches the answer later."""
        if not self._register(call.request_id):
            return None
        accepted = self._records.accept(call, deadline_at)
        if accepted.is_ok():
            self._executor.submit(self._run_to_end, call, accepted.ok)
            return None
        self._unregister_failed(call, accepted.error)
        match accepted.error:
            case ExistingRecord(record=record):
                return _key_reuse(call, record)
            case StoreFailed() | RecordMissing() as failed:
                return self._store_unavailable(failed)

    def recover(self, call: Call, record: Record) -> bool:
        """Become the holder of a lost holder's request and run it.

        :returns: whether this process became its holder
        """
        if not self._register(call.request_id):
            return False
        taken = self._records.take_over(record)
        if taken.is_error():
            self._unregister_failed(call, taken.error)
            return False
        self.forget(call.request_id)
        if record.state is RecordState.STARTED:
            if not call.service.idempotent:
                outcome = indeterminate()
                self._executor.submit(
                    self._commit_until_stored, taken.ok, outcome
                )
                return True
        self._executor.submit(self._run_to_end, call, taken.ok)
        return True

    def _run(
        self, call: Call, record: Record, mailbox: queue.Queue[CallEvent]
    ) -> None:
        """Run once; a refusal is left to the caller to retry."""
        intent = Intent(self._records, record, call.service.idempotent)
        execution = RequestExecution(
            call, self._deps, intent.write, _never_disconnected
        )
        outcome: Outcome = internal_error()
        try:
            for event in execution.events():
                if isinstance(event, StreamedTokens):
                    mailbox.put(event)
                else:
                    outcome = event
        except Exception:
            LOG.exception("recorded run failed", request_id=call.request_id)
        self._commit_and_reply(intent.record, outcome, mailbox.put)

    def _run_to_end(self, call: Call, record: Record) -> None:
        """Run and retry until the outcome is final or the deadline passes."""
        backoff_s = FIRST_BACKOFF_S
        intent = Intent(self._records, record, call.service.idempotent)
        while True:
            outcome = self._attempt(call, intent)
            left_s = call.deadline - time.monotonic()
            if not _may_run_again(outcome, call) or left_s <= backoff_s:
                break
            self._sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        self._commit_until_stored(intent.record, outcome)

    def _attempt(self, call: Call, intent: Intent) -> Outcome:
        execution = RequestExecution(
            call, self._deps, intent.write, _never_disconnected
        )
        try:
            for event in execution.events():
                if not isinstance(event, StreamedTokens):
                    return event
        except Exception:
            LOG.exception("recorded run failed", request_id=call.request_id)
        return internal_error()

    def _commit_and_reply(
        self,
        record: Record,
        outcome: Outcome,
        reply: Callable[[CallEvent], None],
    ) -> None:
        """Store the outcome, then send it; a refusal leaves no record.

        If the first write fails, the answer is sent before it is repeated.
        """
        if isinstance(outcome, Failed) and outcome.ran is Ran.NO:
            if self._records.withdraw(record).is_ok():
                self._unregister(record.request_id)
                reply(outcome)
                return
        done = self._records.finish(record, _durable(outcome))
        if done.is_ok():
            self._unregister(record.request_id)
            reply(_durable(outcome))
            return
        match done.error:
            case ExistingRecord(record=existing):
                reply(self._existing_outcome(existing, outcome))
                self._commit_until_stored(existing, outcome)
            case _:
                reply(outcome)
                self._commit_until_stored(record, outcome)

    def _commit_until_stored(self, record: Record, outcome: Outcome) -> None:
        """Store the outcome; retry until it succeeds or the process stops."""
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
                    case ExistingRecord(record=existing):
                        if not self._still_held(existing):
                            self._count_duplicate()
                            return
                        record = existing
                    case StoreFailed():
                        self._sleep(STORE_RETRY_S)
        finally:
            with self._lock:
                self._unsettled -= 1
            self._unregister(record.request_id)

    def _still_held(self, record: Record) -> bool:
        own = self._records.holds(record)
        return own and record.state is not RecordState.DONE

    def _count_duplicate(self) -> None:
        self._deps.metrics.count(Decision.DROPPED_DUPLICATE)

    def _existing_outcome(self, existing: Record, own: Outcome) -> Outcome:
        return own if existing.outcome is None else existing.outcome

    def _on_accept_error(
        self, call: Call, error: RecordError
    ) -> Iterator[CallEvent]:
        match error:
            case StoreFailed() | RecordMissing():
                yield self._store_unavailable(error)
            case ExistingRecord(record=record):
                reused = _key_reuse(call, record)
                if reused is not None:
                    yield reused
                    return
                yield from self._wait_for_existing(call)

    def _wait_for_existing(self, call: Call) -> Iterator[CallEvent]:
        """Wait for the outcome of a request that is already running."""
        while time.monotonic() < call.deadline:
            found = self._records.read(call.request_id)
            if found.is_ok() and found.ok is not None:
                reused = _key_reuse(call, found.ok)
                if reused is not None:
                    yield reused
                    return
                if found.ok.outcome is not None:
                    yield from _replay(call, found.ok.outcome)
                    return
            self._sleep(OUTCOME_POLL_S)
        yield Failed(
            HTTPStatus.GATEWAY_TIMEOUT,
            "in_progress",
            "the request was accepted before and still runs",
            Ran.MAYBE,
            STORE_RETRY_S,
        )

    def _store_unavailable(
        self, failed: StoreFailed | RecordMissing
    ) -> Failed:
        self._deps.metrics.count(Decision.REFUSED_STORE)
        unconfirmed = isinstance(failed, StoreFailed) and failed.maybe_applied
        return Failed(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "store_unavailable",
            "the request can't be made durable now",
            Ran.MAYBE if unconfirmed else Ran.NO,
            STORE_RETRY_S,
        )

    def _register(self, request_id: str) -> bool:
        with self._lock:
            if request_id in self._running:
                return False
            self._running.add(request_id)
            return True

    def _unregister_failed(self, call: Call, error: RecordError) -> None:
        """Unregister; remember a write that may have taken effect."""
        self._unregister(call.request_id)
        if isinstance(error, StoreFailed) and error.maybe_applied:
            with self._lock:
                self._unconfirmed.add(call.request_id)

    def _unregister(self, request_id: str) -> None:
        with self._lock:
            self._running.discard(request_id)

    def full(self) -> bool:
        """Return whether the limit of running requests is reached."""
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


def _key_reuse(call: Call, record: Record) -> Failed | None:
    digest = payload_digest(call.service.name, call.payload, call.max_tokens)
    if digest == record.digest:
        return None
    return Failed(
        HTTPStatus.CONFLICT,
        "key_reused",
        "the idempotency key stands for a different request",
        Ran.NO,
    )


def _never_disconnected() -> bool:
    return False


__all__ = ["RecordedRuns", "RecordedRunsState"]
