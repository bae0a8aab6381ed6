"""Forwards one request to engines until one answers it completely."""

from __future__ import annotations

from dataclasses import replace
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.routes import RouteKind
from mulberrypass.policy.messages import ReleaseOutcome
from mulberrypass.policy.online.runs import Runs
from mulberrypass.relay.admission import (
    MIN_RETRY_AFTER_S,
    Admission,
    PermitNeed,
)
from mulberrypass.relay.answer_rules import check_whole
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    Failed,
    Refused,
    TruncatedAnswerError,
)
from mulberrypass.relay.doubts import DoubtfulRuns
from mulberrypass.relay.end_proof import End
from mulberrypass.relay.engine_run import EngineRun
from mulberrypass.relay.events import BadEventError
from mulberrypass.relay.permits import HeldPermit
from mulberrypass.relay.request_log import RequestLog
from mulberrypass.relay.request_quota import RequestQuota
from mulberrypass.relay.run_outcome import release_outcome
from mulberrypass.relay.second_answer import BrokenBodyError
from mulberrypass.relay.streams import BROKEN_OFF, IN_DOUBT, EventStream
from mulberrypass.relay.whole_body import read_whole

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator

    from mulberrypass.policy.access import Allowed
    from mulberrypass.relay.api import (
        EngineAnswer,
        FinalEvent,
        RelayEvent,
        RelayRequest,
    )
    from mulberrypass.relay.dependencies import RelayDependencies
    from mulberrypass.relay.whole_body import HeldBody

# A request that may continue elsewhere leaves an engine that completes no
# head or event for this long. Callers give up on a silent stream after 2 s.
SILENCE_TIMEOUT_S = 1.0
# Callers leave a stream after a gap of 2 s; half of it is for the second run.
SECOND_RUN_WAIT_S = 1.0
ENGINE_ALIVE = "engine alive"


class ForwardedRequest:
    """One request while it is forwarded; used by one thread.

    :ivar _service: the service whose answer the caller has got the head of;
        another one may answer otherwise
    :ivar _settles: whether the latest run, or the next one, settles where
        the stream ends
    :ivar _doubt_ends_at: until when a second run may end, in monotonic
        seconds
    :ivar _runs_whole: whether the latest run began where the request does
    :ivar _first_run_s: time of such a run whose end is in doubt
    """

    def __init__(
        self,
        deps: RelayDependencies,
        req: RelayRequest,
        access: Allowed,
        disconnected: Callable[[], bool],
    ) -> None:
        now = time.monotonic()
        route = access.route
        wait_s = route.timeout_s
        if req.wait_s is not None:
            wait_s = min(wait_s, req.wait_s)
        self._deps = deps
        self._req = req
        self._log = RequestLog(req, req.digest(), route.name, now)
        self._route = route
        self._disconnected = disconnected
        self._deadline = Deadline(now + wait_s)
        self._quota = RequestQuota(
            deps.quotas, access.customer, self._deadline, self._log
        )
        self._runs = Runs(route.max_attempts, route.repeatable)
        self._settles = False
        self._admission = Admission(
            deps.directory,
            deps.acquirer,
            deps.ending,
            req,
            access,
            self._deadline,
            disconnected,
            self._log,
            now,
        )
        self._maybe_ran = False
        self._answered = False
        self._head_sent = False
        self._service = ""
        self._proof = ""
        self._doubt_ends_at = float("inf")
        self._runs_whole = True
        self._first_run_s: float | None = None
        self._stream = EventStream(req.after_event)
        self._doubts = DoubtfulRuns()
        self._run: EngineRun | None = None

    def events(self) -> Iterator[RelayEvent]:
        """Yield the events of the answer."""
        refusal = self._quota.take()
        if refusal is not None:
            yield refusal
            return
        try:
            while True:
                found = self._admission.acquire(self._need())
                if not isinstance(found, HeldPermit):
                    yield from self._end(found)
                    return
                self._run = EngineRun(self._deps, found, self._disconnected)
                failed = yield from self._attempt(self._run)
                if failed is None:
                    return
                if not self._may_retry(failed):
                    yield from self._end(self._failure_event(failed))
                    return
        finally:
            self._release(ReleaseOutcome.CANCELLED)
            if not self._maybe_ran and not self._answered:
                self._quota.give_back()

    def _need(self) -> PermitNeed:
        engines = self._deps.directory.engine_names()
        return PermitNeed(
            self._runs.avoided(self._settles, engines),
            self._doubt_ends_at,
            self._runs.attempts,
            self._maybe_ran,
            self._service,
        )

    def _attempt(
        self, run: EngineRun
    ) -> Generator[RelayEvent, None, EngineFailed | None]:
        """Send the request to the engine and forward its answer.

        :returns: the failure, unless the whole answer was forwarded
        """
        self._runs.begin(self._settles)
        after = self._stream.resume_after
        self._runs_whole = (
            after == self._req.after_event and not self._stream.in_doubt
        )
        req = replace(self._req, after_event=after)
        try:
            answer = run.send(req, self._deadline, self._read_deadline())
            self._answered = True
            if self._route.kind is RouteKind.STREAM and answer.head.is_success:
                with run.hold(answer) as held:
                    yield from self._forward_stream(run, answer, held)
                self._complete(run, answer)
            else:
                yield from self._forward_buffered(run, answer)
        except WireError as exc:
            self._log_failure(run, exc.failed)
            return self._after_failure(run, exc.failed)
        except (BadEventError, BrokenBodyError) as exc:
            failed = EngineFailed(str(exc), Ran.YES)
            self._log_failure(run, failed)
            return self._after_failure(run, failed)
        return None

    def _complete(self, run: EngineRun, answer: EngineAnswer) -> None:
        """Note that the whole answer has come, and release its engine."""
        self._log.answered(
            run.permit,
            answer,
            self._stream.count,
            self._runs.attempts,
            self._proof,
        )
        if answer.head.is_success:
            self._note_time(run.permit)
        self._release(ReleaseOutcome.DONE)
        self._doubts.judge(self._stream.seen, bool(self._stream.proof))

    def _read_deadline(self) -> Deadline:
        """Return until when the head or the next event is due."""
        if self._stream.in_doubt:
            # Half is left for another run.
            left_s = self._doubt_ends_at - time.monotonic()
            return self._deadline.within(left_s / 2)
        if self._may_repeat():
            return self._deadline.within(SILENCE_TIMEOUT_S)
        return self._deadline

    def _body_deadline(self) -> Deadline:
        """Return until when a body is due that is forwarded whole.

        If the request may continue elsewhere, time is left for that.
        """
        if self._may_repeat():
            return self._deadline.within(self._deadline.left_s() / 2)
        return self._deadline

    def _forward_stream(
        self, run: EngineRun, answer: EngineAnswer, held: HeldBody
    ) -> Iterator[RelayEvent]:
        """Forward only whole events, so that a cut falls between two.

        An end in doubt is handed on as it came if no second run may follow.
        """
        if not self._head_sent:
            self._head_sent = True
            self._service = run.permit.engine.service
            yield AnswerHead(
                answer.head.status,
                answer.head.headers,
                None,
                ends_with_connection=self._ends_as_it_came(answer),
            )
        for data in self._stream.read(
            answer,
            self._read_deadline,
            run.permit.mark_first_event,
            held.resize,
            lambda: run.check_engine(answer, self._deadline),
            self._ends_as_it_came(answer),
        ):
            self._doubts.judge(self._stream.seen)
            yield AnswerBody(data)
        self._proof = self._stream.proof or ENGINE_ALIVE

    def _ends_as_it_came(self, answer: EngineAnswer) -> bool:
        """Return whether nobody can find out where an answer ends."""
        unframed = answer.head.ends_with_connection
        return unframed and not self._route.repeatable

    def _forward_buffered(
        self, run: EngineRun, answer: EngineAnswer
    ) -> Iterator[RelayEvent]:
        """Forward an answer once it is complete."""
        with run.hold(answer) as body:
            read_whole(answer, self._body_deadline(), body)
            second = answer.head.second
            if second is not None:
                body.shorten(second)
            head = answer.head
            check_whole(head, body.size, self._may_repeat(), self._head_sent)
            self._proof = End.FRAMED.value
            unframed = head.ends_with_connection
            if unframed:
                run.check_engine(answer, self._deadline)
                self._proof = ENGINE_ALIVE
            # A slow caller must not keep the engine's slot.
            self._complete(run, answer)
            self._head_sent = True
            yield AnswerHead(
                head.status,
                head.headers,
                None if unframed else body.size,
                ends_with_connection=unframed,
            )
            yield from map(AnswerBody, body.take_parts())

    def _after_failure(
        self, run: EngineRun, failed: EngineFailed
    ) -> EngineFailed:
        """Update the retry state and release the permit."""
        self._maybe_ran = self._maybe_ran or failed.ran is not Ran.NO
        run_s = time.monotonic() - run.permit.sent_at
        hurried = self._settles and run_s < SILENCE_TIMEOUT_S
        outcome = release_outcome(run, failed, self._deadline, hurried)
        if failed is IN_DOUBT:
            self._doubts.add(run.permit, self._stream.last)
            self._runs.note_ended(run.engine)
            if self._runs_whole:
                since = run.permit.sent_at
                self._first_run_s = time.monotonic() - since
        elif failed.ran is Ran.NO:
            self._runs.note_not_run(run.engine, self._settles)
        elif failed is BROKEN_OFF:
            self._runs.note_more(run.engine)
            self._first_run_s = None
        else:
            self._runs.note_failed(run.engine)
        self._settles = self._stream.in_doubt or failed is BROKEN_OFF
        if not self._stream.in_doubt:
            self._doubt_ends_at = float("inf")
        elif self._doubt_ends_at == float("inf"):
            self._doubt_ends_at = time.monotonic() + SECOND_RUN_WAIT_S
        if failed.closed and outcome is ReleaseOutcome.FAILED:
            run.permit.mark_connection_ended()
        self._release(outcome)
        self._doubts.judge(self._stream.seen)
        return failed

    def _may_retry(self, failed: EngineFailed) -> bool:
        if self._disconnected() or time.monotonic() >= self._deadline.at:
            return False
        if self._settles:
            return self._runs.may_settle()
        return failed.ran is Ran.NO or self._may_repeat()

    def _may_repeat(self) -> bool:
        return self._runs.may_repeat()

    def _failure_event(self, failed: EngineFailed) -> Failed | Refused:
        late = time.monotonic() >= self._deadline.at
        if not self._maybe_ran and not late:
            return Refused("not_run", MIN_RETRY_AFTER_S)
        return Failed(failed.reason, late)

    def _end(self, event: FinalEvent) -> Iterator[RelayEvent]:
        """Yield the final event, or truncate an answer that has begun."""
        if self._head_sent:
            raise TruncatedAnswerError(str(event))
        yield event

    def _release(self, outcome: ReleaseOutcome) -> None:
        """Release the connection and the permit."""
        if self._run is not None:
            self._run.release(outcome, self._stream.brought)
            self._run = None

    def _note_time(self, permit: HeldPermit) -> None:
        """Note the time of a whole answer, which one run has brought."""
        seconds = self._first_run_s
        if seconds is None and self._runs_whole:
            seconds = time.monotonic() - permit.sent_at
        if seconds is not None:
            tokens = self._req.output_tokens
            self._deps.ending.note(self._route.name, tokens, seconds)

    def _log_failure(self, run: EngineRun, failed: EngineFailed) -> None:
        shown = self._stream.last
        if failed is IN_DOUBT and shown is not None:
            self._log.in_doubt(run.permit, run.answer, shown)
            return
        self._log.attempt_failed(
            failed, run.permit, run.answer, shown, self._disconnected()
        )


__all__ = ["ForwardedRequest"]
