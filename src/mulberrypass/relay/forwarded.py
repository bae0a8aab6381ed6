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
from mulberrypass.relay.admission import (
    ASK_AGAIN_S,
    MIN_RETRY_AFTER_S,
    Admission,
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
from mulberrypass.relay.due_times import DueTimes
from mulberrypass.relay.end_proof import End
from mulberrypass.relay.engine_run import EngineRun
from mulberrypass.relay.events import BadEventError
from mulberrypass.relay.permits import HeldPermit
from mulberrypass.relay.race import FirstRun, Race, RaceTerms
from mulberrypass.relay.repeated_run import RepeatPlan
from mulberrypass.relay.request_log import RequestLog
from mulberrypass.relay.request_quota import RequestQuota
from mulberrypass.relay.run_outcome import overtaken_outcome, release_outcome
from mulberrypass.relay.run_record import RunRecord
from mulberrypass.relay.second_answer import BrokenBodyError
from mulberrypass.relay.streams import ENGINE_GONE, IN_DOUBT, EventStream
from mulberrypass.relay.whole_body import read_whole

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator

    from mulberrypass.policy.access import Allowed
    from mulberrypass.relay.admission import PermitNeed
    from mulberrypass.relay.api import (
        EngineAnswer,
        FinalEvent,
        RelayEvent,
        RelayRequest,
    )
    from mulberrypass.relay.dependencies import RelayDependencies
    from mulberrypass.relay.whole_body import HeldBody

ENGINE_ALIVE = "engine alive"


class ForwardedRequest:
    """One request while it is forwarded; used by one thread.

    :ivar _service: the service whose answer the caller has got the head of;
        another one may answer otherwise
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
        self._is_stream = route.kind is RouteKind.STREAM
        self._disconnected = disconnected
        self._deadline = Deadline(now + wait_s)
        self._quota = RequestQuota(
            deps.quotas, access.customer, self._deadline, self._log
        )
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
        self._answered = False
        self._head_sent = False
        self._service = ""
        self._proof = ""
        self._stream = EventStream(req.after_event)
        self._runs = RunRecord(route, self._stream, req.after_event)
        self._due = DueTimes(self._deadline, self._runs)
        self._doubts = DoubtfulRuns()
        self._run: EngineRun | None = None
        self._race = Race(
            deps,
            RaceTerms(
                req.request_id,
                route.name,
                self._is_stream,
                req.output_tokens,
                route.target_s,
                route.gap_s if route.gap_s > 0 else None,
            ),
            self._deadline,
            disconnected,
        )

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
                if self._runs.settles and failed.ran is Ran.NO:
                    time.sleep(ASK_AGAIN_S)
        finally:
            self._race.close()
            self._release(ReleaseOutcome.CANCELLED)
            if not self._runs.maybe_ran and not self._answered:
                self._quota.give_back()

    def _need(self) -> PermitNeed:
        engines = self._deps.directory.engine_names()
        failing = self._deps.failing.names(time.monotonic())
        return self._runs.need(engines, self._service, failing)

    def _attempt(
        self, run: EngineRun
    ) -> Generator[RelayEvent, None, EngineFailed | None]:
        """Send the request to the engine and forward its answer.

        :returns: the failure, unless the whole answer was forwarded
        """
        self._runs.begin()
        req = replace(self._req, after_event=self._stream.resume_after)
        self._race.begin(self._first_run(run, begun=False))
        failed = yield from self._forward(
            run,
            lambda: run.send(req, self._deadline, self._due.event()),
        )
        while failed is not None:
            second = self._race.end(not self._stream.in_doubt)
            if run.stopped:
                self._after_overtaken(run)
            else:
                self._after_failure(run, failed)
            if second is None:
                return failed
            if not second.cancelled:
                second.done.wait()
            self._runs.count_second(second)
            if second.cancelled or not second.goes_on:
                return failed
            assert second.run is not None
            run = self._run = second.run
            self._runs.take_over()
            self._race.begin(
                self._first_run(run, begun=second.won), is_second=True
            )
            failed = yield from self._forward(run, second.take_answer)
        return None

    def _forward(
        self, run: EngineRun, get_answer: Callable[[], EngineAnswer]
    ) -> Generator[RelayEvent, None, EngineFailed | None]:
        """Forward the answer of a run; return why it has failed, if so.

        :param get_answer: returns the answer once its head has come
        """
        try:
            answer = get_answer()
            self._answered = True
            if self._is_stream and answer.head.is_success:
                with run.hold(answer) as held:
                    yield from self._forward_stream(run, answer, held)
                self._complete(run, answer)
            else:
                yield from self._forward_buffered(run, answer)
        except WireError as exc:
            failed = exc.failed
        except (BadEventError, BrokenBodyError) as exc:
            failed = EngineFailed(str(exc), Ran.YES)
        else:
            return None
        if not run.stopped:
            self._log.attempt_failed(
                failed,
                run.permit,
                run.answer,
                self._stream.last,
                self._disconnected(),
            )
        return failed

    def _first_run(self, run: EngineRun, begun: bool) -> FirstRun:
        """Return what may get a second run beside it."""
        return FirstRun(
            run, self._runs.may_race, begun, lambda: self._repeat_plan(run)
        )

    def _repeat_plan(self, run: EngineRun) -> RepeatPlan:
        """Return what a second run needs while the first waits."""
        engines = self._deps.directory.engine_names()
        avoided = self._runs.avoided(run.engine, engines)
        service = run.permit.engine.service
        begun = bool(self._service)
        is_last = self._runs.attempts + 1 >= self._route.max_attempts
        return RepeatPlan(
            replace(self._req, after_event=self._stream.last),
            service,
            self._is_stream,
            self._deadline,
            lambda abandoned, _on_revoke: self._admission.acquire_repeat(
                service, begun, avoided, abandoned
            ),
            lambda: self._due.second(self._is_stream, is_last),
            self._quota,
        )

    def _after_overtaken(self, run: EngineRun) -> None:
        """Release a run that a second one was ahead of."""
        self._runs.note_overtaken(run)
        target_s = self._route.target_s
        outcome = overtaken_outcome(run, self._is_stream, target_s)
        if self._is_stream:
            # Owners compare calls by their ends, if none has first events.
            run.permit.mark_overtaken()
        self._release(outcome)

    def _on_events(self, run: EngineRun) -> None:
        """Note that events of a run have come.

        :raises WireError: if a second run was ahead
        """
        self._count_event()
        run.permit.mark_first_event(run.slowness)

    def _event_due(self) -> Deadline:
        """Begin to wait for the next event; return until when it is due."""
        self._race.wait()
        return self._due.event()

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
            self._note_time(run)
        self._release(ReleaseOutcome.DONE)
        self._doubts.judge(self._stream.seen, bool(self._stream.proof))

    def _forward_stream(
        self, run: EngineRun, answer: EngineAnswer, held: HeldBody
    ) -> Iterator[RelayEvent]:
        """Forward only whole events, so that a cut falls between two.

        An end in doubt is handed on as it came if no second run may follow.
        """
        if not self._head_sent:
            self._head_sent = True
            self._race.hold()
            self._service = run.permit.engine.service
            yield AnswerHead(
                answer.head.status,
                answer.head.headers,
                None,
                ends_with_connection=self._ends_as_it_came(answer),
            )
        for data in self._stream.read(
            answer,
            self._event_due,
            lambda: self._on_events(run),
            held.resize,
            lambda: run.is_alive(answer, self._deadline),
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
            read_whole(answer, self._due.body(), body)
            second = answer.head.second
            if second is not None:
                body.shorten(second)
            head = answer.head
            check_whole(
                head, body.size, self._runs.may_repeat, self._head_sent
            )
            self._count_event()
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

    def _count_event(self) -> None:
        """Note an event of the first run, or its whole answer.

        :raises WireError: if a second run was ahead
        """
        second = self._race.on_event()
        if second is not None:
            self._runs.count_second(second)
            self._race.allow(self._runs.may_race)

    def _after_failure(self, run: EngineRun, failed: EngineFailed) -> None:
        """Update the retry state and release the permit."""
        hurried = self._due.was_hurried(run)
        outcome = release_outcome(run, failed, self._deadline, hurried)
        if self._stream.in_doubt and failed in (IN_DOUBT, ENGINE_GONE):
            # A further run tells.
            outcome = ReleaseOutcome.CANCELLED
            self._doubts.add(run.permit, self._stream.last)
        self._runs.note_failure(run, failed)
        if failed.closed and outcome is ReleaseOutcome.FAILED:
            run.permit.mark_connection_ended()
        self._release(outcome)
        self._doubts.judge(self._stream.seen)

    def _may_retry(self, failed: EngineFailed) -> bool:
        if self._disconnected() or time.monotonic() >= self._deadline.at:
            return False
        return self._runs.may_follow(failed)

    def _failure_event(self, failed: EngineFailed) -> Failed | Refused:
        late = time.monotonic() >= self._deadline.at
        if not self._runs.maybe_ran and not late:
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

    def _note_time(self, run: EngineRun) -> None:
        """Note the time of a whole answer, which one run has brought."""
        seconds = self._runs.whole_s(run)
        if seconds is not None:
            tokens = self._req.output_tokens
            self._deps.ending.note(self._route.name, tokens, seconds)


__all__ = ["ForwardedRequest"]
