"""Forwards a request to engines until one answers it completely."""

from __future__ import annotations

from dataclasses import field, replace
from functools import partial
from http import HTTPStatus
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import CUT, LATE, Deadline, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.routes import RouteKind
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.access import (
    Allowed,
    UnknownKey,
    UnknownRoute,
    check_access,
)
from mulberrypass.policy.messages import ReleaseOutcome
from mulberrypass.policy.online.runs import Runs
from mulberrypass.relay.admission import (
    MIN_RETRY_AFTER_S,
    Admission,
    PermitNeed,
)
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    Failed,
    NoRoute,
    QuotaExceeded,
    Refused,
    Relay,
    TruncatedAnswerError,
    Unauthorized,
)
from mulberrypass.relay.departures import LEAVES
from mulberrypass.relay.doubts import DoubtfulRuns
from mulberrypass.relay.end_proof import End
from mulberrypass.relay.ending import PlannedEnd
from mulberrypass.relay.events import BadEventError
from mulberrypass.relay.permits import HeldPermit
from mulberrypass.relay.quotas import (
    CustomerQuotas,
    Exceeded,
    NoQuotas,
    Taken,
    Undecided,
)
from mulberrypass.relay.request_log import RequestLog
from mulberrypass.relay.second_answer import BrokenBodyError
from mulberrypass.relay.streams import (
    BROKEN_OFF,
    IN_DOUBT,
    NO_FURTHER_EVENT,
    EventStream,
)
from mulberrypass.relay.unread import skip_rest
from mulberrypass.relay.watch import WatchedCall
from mulberrypass.relay.whole_body import NO_ROOM, HeldBodies, read_whole
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator

    from mulberrypass.relay.api import (
        EngineAnswer,
        EngineClient,
        FinalEvent,
        RelayEvent,
        RelayRequest,
    )
    from mulberrypass.relay.directory import Directory
    from mulberrypass.relay.permits import PermitAcquirer
    from mulberrypass.relay.watch import CallWatch
    from mulberrypass.relay.whole_body import HeldBody

LOG = get_logger(__name__)
# Statuses that promise a caller that its request has not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
NO_CONFIGURATION_RETRY_S = 0.5
# A request that may continue elsewhere leaves an engine that completes no
# head or event for this long. Callers give up on a silent stream after 2 s.
SILENCE_TIMEOUT_S = 1.0
# Callers leave a stream after a gap of 2 s; half of it is for the second run.
SECOND_RUN_WAIT_S = 1.0
# Work must stop within 0.5 s after its caller has left, and the check of an
# engine doesn't see a caller leave.
CHECK_TIMEOUT_S = 0.5
ENGINE_GONE = EngineFailed("engine gone after an unframed answer", Ran.YES)
ENGINE_ALIVE = "engine alive"


@value_class
class RelayDependencies:
    """Objects that all relayed requests of a process share."""

    directory: Directory
    acquirer: PermitAcquirer
    engines: EngineClient
    watch: CallWatch
    ending: PlannedEnd = field(default_factory=PlannedEnd)
    bodies: HeldBodies = field(default_factory=HeldBodies)
    quotas: CustomerQuotas = field(default_factory=NoQuotas)


class Forwarder(Relay):
    """Answers requests by forwarding them to engines."""

    def __init__(self, deps: RelayDependencies) -> None:
        self._deps = deps

    def run(
        self, req: RelayRequest, disconnected: Callable[[], bool]
    ) -> Generator[RelayEvent, None, None]:
        """Answer one request; see ``Relay``."""
        table = self._deps.directory.routes()
        if table.version == 0:
            yield Refused("no_configuration", NO_CONFIGURATION_RETRY_S)
            return
        match check_access(table, req.host, req.path, req.key):
            case UnknownRoute():
                LOG.info("no route", id=req.request_id, version=table.version)
                yield NoRoute()
            case UnknownKey():
                LOG.info(
                    "unknown key", id=req.request_id, version=table.version
                )
                yield Unauthorized()
            case Allowed() as access:
                req = replace(req, customer=access.name)
                yield from _ForwardedRequest(
                    self._deps, req, access, disconnected
                ).events()


class _ForwardedRequest:
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
        self._customer = access.customer
        self._disconnected = disconnected
        self._deadline = Deadline(now + wait_s)
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
        self._permit: HeldPermit | None = None
        self._answer: EngineAnswer | None = None
        self._watched_call: WatchedCall | None = None

    def events(self) -> Iterator[RelayEvent]:
        """Yield the events of the answer."""
        refusal = self._take_quota()
        if refusal is not None:
            yield refusal
            return
        try:
            while True:
                found = self._admission.acquire(self._need())
                if not isinstance(found, HeldPermit):
                    yield from self._end(found)
                    return
                self._permit = found
                failed = yield from self._attempt()
                if failed is None:
                    return
                if not self._may_retry(failed):
                    yield from self._end(self._failure_event(failed))
                    return
        finally:
            self._release(ReleaseOutcome.CANCELLED)
            self._return_quota()

    def _take_quota(self) -> Refused | QuotaExceeded | None:
        """Count the request against its customer's limit.

        :returns: the final event if there is no room
        """
        customer = self._customer
        if customer is None or customer.rate_per_s <= 0:
            return None
        match self._deps.quotas.take(customer, self._deadline):
            case Taken():
                return None
            case Exceeded(retry_after_s=retry_after_s):
                self._log.not_placed("quota", customer=customer.name)
                return QuotaExceeded(max(MIN_RETRY_AFTER_S, retry_after_s))
            case Undecided(retry_after_s=retry_after_s):
                reason = "quota undecided"
                self._log.not_placed(reason, customer=customer.name)
                return Refused(reason, max(MIN_RETRY_AFTER_S, retry_after_s))

    def _return_quota(self) -> None:
        """Return what was counted for a request that no engine has run."""
        customer = self._customer
        if customer is None or customer.rate_per_s <= 0:
            return
        if not self._maybe_ran and not self._answered:
            self._deps.quotas.give_back(customer.name)

    def _need(self) -> PermitNeed:
        engines = self._deps.directory.engine_names()
        return PermitNeed(
            self._runs.avoided(self._settles, engines),
            self._doubt_ends_at,
            self._runs.attempts,
            self._maybe_ran,
            self._service,
        )

    def _attempt(self) -> Generator[RelayEvent, None, EngineFailed | None]:
        """Send the request to the engine and forward its answer.

        :returns: the failure, unless the whole answer was forwarded
        """
        assert self._permit is not None
        permit = self._permit
        self._runs.begin(self._settles)
        after = self._stream.resume_after
        self._runs_whole = (
            after == self._req.after_event and not self._stream.in_doubt
        )
        req = replace(self._req, after_event=after)
        try:
            self._answer = self._deps.engines.send(
                permit.engine,
                req,
                self._deadline,
                self._watch_call,
                self._read_deadline(),
            )
            head = self._answer.head
            permit.mark_limit(head.limit_per_s)
            permit.succeeded = head.is_success
            if head.not_run:
                reason = f"engine says not run: {head.status}"
                sound = skip_rest(self._answer, self._deadline)
                status = head.status if sound else 0
                raise WireError(EngineFailed(reason, Ran.NO, status=status))
            self._answered = True
            if self._route.kind is RouteKind.STREAM and head.is_success:
                with self._hold(self._answer) as held:
                    yield from self._forward_stream(self._answer, held)
                self._complete(self._answer)
            else:
                yield from self._forward_buffered(self._answer)
        except WireError as exc:
            self._log_failure(exc.failed)
            return self._after_failure(exc.failed)
        except (BadEventError, BrokenBodyError) as exc:
            failed = EngineFailed(str(exc), Ran.YES)
            self._log_failure(failed)
            return self._after_failure(failed)
        return None

    def _complete(self, answer: EngineAnswer) -> None:
        """Note that the whole answer has come, and release its engine."""
        permit = self._permit
        assert permit is not None
        self._log.answered(
            permit,
            answer,
            self._stream.count,
            self._runs.attempts,
            self._proof,
        )
        if answer.head.is_success:
            self._note_time(permit)
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

    def _watch_call(self, abort: Callable[[], None]) -> None:
        self._unwatch_call()
        self._watched_call = WatchedCall(self._disconnected, abort)
        self._deps.watch.add(self._watched_call)

    def _unwatch_call(self) -> None:
        if self._watched_call is not None:
            self._deps.watch.remove(self._watched_call)
            self._watched_call = None

    def _hold(self, answer: EngineAnswer) -> HeldBody:
        """Return what counts the bytes that are held of an answer."""
        assert self._permit is not None
        return self._deps.bodies.open(self._permit.engine.name, answer.abort)

    def _forward_stream(
        self, answer: EngineAnswer, held: HeldBody
    ) -> Iterator[RelayEvent]:
        """Forward only whole events, so that a cut falls between two.

        An end in doubt is handed on as it came if no second run may follow.
        """
        assert self._permit is not None
        if not self._head_sent:
            self._head_sent = True
            self._service = self._permit.engine.service
            yield AnswerHead(
                answer.head.status,
                answer.head.headers,
                None,
                ends_with_connection=self._ends_as_it_came(answer),
            )
        for data in self._stream.read(
            answer,
            self._read_deadline,
            partial(self._permit.mark_first_event, answer.head.slowness),
            held.resize,
            lambda: self._check_engine(answer),
            self._ends_as_it_came(answer),
        ):
            self._doubts.judge(self._stream.seen)
            yield AnswerBody(data)
        self._proof = self._stream.proof or ENGINE_ALIVE

    def _ends_as_it_came(self, answer: EngineAnswer) -> bool:
        """Return whether nobody can find out where an answer ends."""
        unframed = answer.head.ends_with_connection
        return unframed and not self._route.repeatable

    def _forward_buffered(self, answer: EngineAnswer) -> Iterator[RelayEvent]:
        """Forward an answer once it is complete."""
        with self._hold(answer) as body:
            read_whole(answer, self._body_deadline(), body)
            second = answer.head.second
            if second is not None:
                body.shorten(second)
            self._check_whole(answer, body.size)
            self._proof = End.FRAMED.value
            head = answer.head
            unframed = head.ends_with_connection
            if unframed:
                self._check_engine(answer)
                self._proof = ENGINE_ALIVE
            # A slow caller must not keep the engine's slot.
            self._complete(answer)
            self._head_sent = True
            yield AnswerHead(
                head.status,
                head.headers,
                None if unframed else body.size,
                ends_with_connection=unframed,
            )
            yield from map(AnswerBody, body.take_parts())

    def _check_whole(self, answer: EngineAnswer, size: int) -> None:
        """Check that a complete answer may be forwarded.

        :raises WireError: if it may not
        """
        unframed = answer.head.ends_with_connection
        if not size and unframed and answer.head.is_success:
            # Nothing else shows that it ended too early.
            raise WireError(CUT)
        status = answer.head.status
        if status in NOT_RUN_STATUSES:
            # The engine doesn't say so itself.
            reason = f"engine answered {status}"
            raise WireError(EngineFailed(reason, Ran.MAYBE, status=status))
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR and self._may_repeat():
            reason = f"engine answered {status}"
            raise WireError(EngineFailed(reason, Ran.YES, status=status))
        if self._head_sent:
            raise WireError(EngineFailed(f"status {status}", Ran.YES))

    def _check_engine(self, answer: EngineAnswer) -> None:
        """Check that an engine still runs whose answer nothing else proves.

        An engine that has just ended has ended its connections by that, those
        of a leaving one too: it leaves when its time is over, answers or not.

        :raises WireError: if it doesn't
        """
        assert self._permit is not None
        answer.finish()
        try:
            self._deps.engines.check_alive(
                self._permit.engine, self._deadline.within(CHECK_TIMEOUT_S)
            )
        except WireError:
            raise WireError(ENGINE_GONE)

    def _after_failure(self, failed: EngineFailed) -> EngineFailed:
        """Update the retry state and release the permit."""
        assert self._permit is not None
        self._maybe_ran = self._maybe_ran or failed.ran is not Ran.NO
        engine = self._permit.engine.name
        outcome = self._release_outcome(failed)
        if failed is IN_DOUBT:
            self._doubts.add(self._permit, self._stream.last)
            self._runs.note_ended(engine)
            if self._runs_whole:
                since = self._permit.sent_at
                self._first_run_s = time.monotonic() - since
        elif failed.ran is Ran.NO:
            self._runs.note_not_run(engine, self._settles)
        elif failed is BROKEN_OFF:
            self._runs.note_more(engine)
            self._first_run_s = None
        else:
            self._runs.note_failed(engine)
        self._settles = self._stream.in_doubt or failed is BROKEN_OFF
        if not self._stream.in_doubt:
            self._doubt_ends_at = float("inf")
        elif self._doubt_ends_at == float("inf"):
            self._doubt_ends_at = time.monotonic() + SECOND_RUN_WAIT_S
        if failed.closed and outcome is ReleaseOutcome.FAILED:
            self._permit.mark_connection_ended()
        self._release(outcome)
        self._doubts.judge(self._stream.seen)
        return failed

    def _release_outcome(self, failed: EngineFailed) -> ReleaseOutcome:
        """Return the outcome; FAILED counts against the engine's health."""
        assert self._permit is not None
        aborted = self._watched_call is not None and self._watched_call.ended
        late = time.monotonic() >= self._deadline.at
        had_events = self._permit.first_at is not None
        run_s = time.monotonic() - self._permit.sent_at
        hurried = self._settles and run_s < SILENCE_TIMEOUT_S
        says_nothing = failed in (
            IN_DOUBT,
            BROKEN_OFF,
            NO_FURTHER_EVENT,
            NO_ROOM,
        )
        if says_nothing or aborted or (late and had_events):
            return ReleaseOutcome.CANCELLED
        if hurried and failed == LATE:
            return ReleaseOutcome.CANCELLED
        if failed is LEAVES or (failed.status and failed.ran is Ran.NO):
            return ReleaseOutcome.UNUSED
        return ReleaseOutcome.FAILED

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
        self._unwatch_call()
        if self._answer is not None:
            self._answer.finish()
            self._answer = None
        if self._permit is not None:
            self._permit.release(outcome, self._stream.brought)
            self._permit = None

    def _note_time(self, permit: HeldPermit) -> None:
        """Note the time of a whole answer, which one run has brought."""
        seconds = self._first_run_s
        if seconds is None and self._runs_whole:
            seconds = time.monotonic() - permit.sent_at
        if seconds is not None:
            tokens = self._req.output_tokens
            self._deps.ending.note(self._route.name, tokens, seconds)

    def _log_failure(self, failed: EngineFailed) -> None:
        assert self._permit is not None
        shown = self._stream.last
        if failed is IN_DOUBT and shown is not None:
            self._log.in_doubt(self._permit, self._answer, shown)
            return
        self._log.attempt_failed(
            failed, self._permit, self._answer, shown, self._disconnected()
        )


__all__ = ["Forwarder", "RelayDependencies"]
