"""The race of a request's run with a second one at another engine."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.messages import ReleaseOutcome
from mulberrypass.policy.online.repeats import (
    MIN_FIRST_DELAY_S,
    SIDE_BY_SIDE_S,
    LateRun,
    NoRepeat,
)
from mulberrypass.relay.repeated_run import Cause, RepeatedRun
from mulberrypass.relay.repeats import Counted
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.dependencies import RelayDependencies
    from mulberrypass.relay.engine_run import EngineRun
    from mulberrypass.relay.repeated_run import RepeatPlan

LOG = get_logger(__name__)
MS_PER_S = 1_000
OVERTAKEN = EngineFailed("another run was first", Ran.YES)


@value_class
class FirstRun:
    """A run that may get a second one beside it.

    :param allowed: whether the request may be sent to another engine
    :param begun: whether the caller has an event of this run
    :param make_plan: returns what a second run needs; called on another
        thread while the run waits for an event
    """

    run: EngineRun
    allowed: bool
    begun: bool
    make_plan: Callable[[], RepeatPlan]


@value_class
class RaceTerms:
    """What a request's second runs depend on.

    :param route: name of its route
    :param stream: whether the answer is a stream of events
    :param output_tokens: expected length of the answer
    :param target_s: time in which the first event is due; ``None`` if a first
        event is never late
    :param pause_s: longest pause in time; ``None`` if none is set
    """

    request_id: str
    route: str
    stream: bool
    output_tokens: int
    target_s: float | None
    pause_s: float | None


class Race:
    """Starts second runs of one request and settles which run is ahead.

    Three threads use it: that of the request, which waits for the first run,
    that of the second run, and the timer. Without a share for the service of
    the run it does nothing.
    """

    def __init__(
        self,
        deps: RelayDependencies,
        terms: RaceTerms,
        deadline: Deadline,
        disconnected: Callable[[], bool],
    ) -> None:
        self._deps = deps
        self._repeats = deps.repeats
        self._terms = terms
        self._request_id = terms.request_id
        self._stream = terms.stream
        self._deadline = deadline
        self._disconnected = disconnected
        self._lock = threading.Lock()
        self._first: FirstRun | None = None
        self._service = ""
        self._allowed = False
        self._begun = False
        self._waits_since = 0.0
        self._due = float("inf")
        self._called_at = float("inf")
        self._tried = False
        self._first_gone = False
        self._first_stopped = False
        self._second: RepeatedRun | None = None
        self._closed = False

    def begin(self, first: FirstRun, is_second: bool = False) -> None:
        """Begin to wait for a run.

        :param is_second: whether it has come to the request as a second run
        """
        service = first.run.permit.engine.service
        if not self._repeats.are_on(service):
            self._first = None
            return
        with self._lock:
            self._first = first
            self._service = service
            self._allowed = first.allowed
            self._begun = first.begun
            self._first_gone = self._first_stopped = self._tried = False
            self._waits_since = time.monotonic()
        if not is_second:
            self._repeats.note_run(service)
        self._wait_until(self._waits_since + self._delay_s())

    def wait(self) -> None:
        """Wait for the next event of the run."""
        if self._first is None:
            return
        now = time.monotonic()
        if self._begun:
            self._waits_since = now
            self._wait_until(now + self._delay_s())
        elif not self._tried:
            # The event may have come while the caller read slowly.
            due = self._waits_since + self._delay_s()
            self._wait_until(max(due, now + MIN_FIRST_DELAY_S))

    def hold(self) -> None:
        """Don't wait for the run for now, as its caller reads."""
        if self._first is not None:
            with self._lock:
                self._due = float("inf")

    def on_event(self) -> RepeatedRun | None:
        """Note an event of the first run, which stops a second one.

        :returns: a second run that an engine has got; it has ended
        :raises WireError: if the second run was ahead
        """
        first = self._first
        if first is None:
            return None
        waited_s = time.monotonic() - self._waits_since
        with self._lock:
            second = self._second
            if self._first_stopped or (second is not None and second.won):
                raise WireError(OVERTAKEN)
            self._due = float("inf")
            self._tried = False
            self._second = None
            if second is not None:
                second.cancelled = True
        if self._begun:
            self._repeats.observe_pause(self._service, waited_s)
        else:
            self._begun = True
            if self._terms.target_s is not None:
                self._observe_first(waited_s)
        if second is None:
            return None
        second.stop()
        return second if second.sent else None

    def allow(self, allowed: bool) -> None:
        """Set whether the request may be sent to another engine."""
        with self._lock:
            self._allowed = allowed

    def end(self, may_go_on: bool) -> RepeatedRun | None:
        """End the race as the first run has ended.

        A second run that no engine has got is given up: the request goes on
        itself.

        :param may_go_on: whether the request may go on with the second run
        :returns: a second run that an engine has got; its ``done`` is to be
            waited for, unless it was cancelled. If ``goes_on`` is set then,
            its answer or failure is the request's; else it has failed before
            the first
        """
        if self._first is None:
            return None
        with self._lock:
            self._due = float("inf")
            self._first_gone = True
            second, self._second = self._second, None
            if second is None:
                return None
            gives_up = not second.sent or not may_go_on
            second.cancelled = second.cancelled or gives_up
        if gives_up:
            self._drop(second)
        return second if second.sent else None

    def close(self) -> None:
        """End the race as the request has ended."""
        if self._first is None:
            return
        with self._lock:
            self._closed = True
            self._due = float("inf")
            second, self._second = self._second, None
            if second is None:
                return
            second.cancelled = True
        self._drop(second)

    def _drop(self, second: RepeatedRun) -> None:
        """Stop a run that was cancelled, and that may have won before."""
        second.stop()
        if second.goes_on and second.run is not None:
            second.done.wait()
            second.run.release(ReleaseOutcome.CANCELLED, 0)

    def is_over(self, second: RepeatedRun) -> bool:
        """Return whether a second run isn't needed any more."""
        return second.cancelled or self._disconnected()

    def on_send(self, second: RepeatedRun, run: EngineRun) -> bool:
        """Note that a second run is sent; return whether it still may be."""
        with self._lock:
            if second.cancelled or self._closed or self._first_gone:
                return False
            second.run = run
            second.sent = True
            self._allowed = False
            after_s = time.monotonic() - self._waits_since
        self._repeats.count(self._service, Counted.STARTED)
        LOG.info(
            "second run",
            id=self._request_id,
            reason=second.cause.value,
            engine=run.engine,
            delay_ms=round(after_s * MS_PER_S),
        )
        stop_at = time.monotonic() + SIDE_BY_SIDE_S
        self._repeats.call_at(stop_at, lambda: self._stop_first(second))
        return True

    def on_answer(self, second: RepeatedRun) -> bool:
        """Note the first event of a second run, or its whole answer.

        :returns: whether the request reads on with it
        """
        with self._lock:
            if second.cancelled or self._closed:
                return False
            second.won = True
            first = None if self._first_gone else self._first
            waited_s = time.monotonic() - self._waits_since
        if first is not None:
            first.run.stop()
        self._repeats.count(self._service, Counted.WON)
        LOG.info(
            "second run won",
            id=self._request_id,
            reason=second.cause.value,
            engine=second.engine,
            delay_ms=round(waited_s * MS_PER_S),
        )
        self._observe_winner(second, waited_s)
        return True

    def on_failure(self, second: RepeatedRun, failed: EngineFailed) -> bool:
        """Note that a second run has failed.

        :returns: whether the request has no other run any more
        """
        with self._lock:
            second.failed = failed
            if second.cancelled or self._closed:
                return False
            second.goes_alone = self._first_gone or self._first_stopped
            return second.goes_alone

    def _observe_winner(self, second: RepeatedRun, waited_s: float) -> None:
        """Record its time, and that the first takes longer than until now."""
        if second.cause is Cause.PAUSE:
            self._repeats.observe_pause(self._service, waited_s)
            return
        self._observe_first(waited_s)
        if second.run is not None:
            self._observe_first(time.monotonic() - second.run.permit.sent_at)

    def _observe_first(self, latency_s: float) -> None:
        whole = not self._stream
        self._repeats.observe(self._service, latency_s, whole)

    def _delay_s(self) -> float:
        terms, service = self._terms, self._service
        if self._begun:
            return self._repeats.pause_delay_s(service, terms.pause_s)
        if terms.target_s is None:
            return float("inf")
        whole = not terms.stream
        return self._repeats.first_delay_s(service, whole, terms.target_s)

    def _wait_until(self, due: float) -> None:
        """Look again when an event is late; at most one call is pending."""
        with self._lock:
            if not self._allowed or due == float("inf"):
                return
            self._due = due
            if due >= self._called_at:
                return
            self._called_at = due
        self._repeats.call_at(due, self._on_due)

    def _on_due(self) -> None:
        """Start a second run if the event is late; on the timer's thread."""
        now = time.monotonic()
        with self._lock:
            self._called_at = float("inf")
            due, first = self._due, self._first
            if first is None or due == float("inf"):
                return
            if now < due:
                self._called_at = due
            elif not self._may_try():
                return
            else:
                self._tried = True
        if now < due:
            self._repeats.call_at(due, self._on_due)
        else:
            self._start(first, now)

    def _may_try(self) -> bool:
        over = self._closed or self._first_gone or self._tried
        return self._allowed and self._second is None and not over

    def _start(self, first: FirstRun, now: float) -> None:
        late = LateRun(
            left=self._disconnected(),
            may_end=self._may_end(),
            left_s=self._deadline.at - now,
        )
        reason = self._repeats.start(self._service, late)
        if reason is not None:
            self._log_refusal(reason.value)
            return
        cause = Cause.PAUSE if self._begun else Cause.FIRST_EVENT
        second = RepeatedRun(
            self._deps, first.make_plan(), self, cause, self._disconnected
        )
        with self._lock:
            # An event may have come since.
            starts = self._due <= now and not self._closed
            if starts:
                self._second = second
        if not starts or not self._repeats.submit(second.work):
            with self._lock:
                if self._second is second:
                    self._second = None
            self._repeats.give_back(self._service)
            if starts:
                self._repeats.count(self._service, Counted.REFUSED)
                self._log_refusal("no thread")

    def _may_end(self) -> bool:
        ending = self._deps.ending
        if self._deadline.at <= ending.at:
            return True
        return ending.allows(self._terms.route, self._terms.output_tokens)

    def _stop_first(self, second: RepeatedRun) -> None:
        """Stop the first run, which was given its time beside the second."""
        with self._lock:
            over = second.cancelled or second.won or second.failed
            if over or second is not self._second or self._first is None:
                return
            self._first_stopped = True
            first = self._first
        LOG.info(
            "first run stopped", id=self._request_id, engine=first.run.engine
        )
        first.run.stop()

    def _log_refusal(self, reason: str) -> None:
        if reason != NoRepeat.LEFT:
            LOG.info("no second run", id=self._request_id, reason=reason)


__all__ = ["FirstRun", "OVERTAKEN", "Race", "RaceTerms"]
