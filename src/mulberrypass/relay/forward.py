"""Passes one request on to engines until one has answered it whole."""

from __future__ import annotations

from dataclasses import dataclass, replace
from http import HTTPStatus
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.routes import RouteKind
from mulberrypass.policy.messages import ReleaseOutcome, WorkClass
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    Failed,
    NoRoute,
    Refused,
    Relay,
    TruncatedAnswerError,
)
from mulberrypass.relay.events import (
    BadEventError,
    EventOrder,
    EventSplitter,
)
from mulberrypass.relay.permits import NoPermitError, NoRouteError, WorkSpec
from mulberrypass.relay.watch import WatchedCall
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator

    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.relay.api import (
        EngineAnswer,
        EngineClient,
        RelayEvent,
        RelayRequest,
    )
    from mulberrypass.relay.directory import Directory
    from mulberrypass.relay.permits import HeldPermit, PermitAcquirer
    from mulberrypass.relay.watch import CallWatch

LOG = get_logger(__name__)
NO_CONFIGURATION_RETRY_S = 0.5
MIN_RETRY_AFTER_S = 0.2
# From an engine's slot to the caller's first byte: prefill and two hops.
FIRST_EVENT_S = 0.07
MAX_WHOLE_BYTES = 8_388_608
# An engine that answers nothing for so long is left, where the request may
# go on elsewhere; callers leave a silent stream after 2 s.
SILENT_S = 1.0


@dataclass(frozen=True, slots=True)
class RelayDependencies:
    """What all requests of a process share."""

    directory: Directory
    acquirer: PermitAcquirer
    engines: EngineClient
    watch: CallWatch


class Forwarder(Relay):
    """Answers requests by passing them on."""

    def __init__(self, tools: RelayDependencies) -> None:
        self._tools = tools

    def run(
        self, req: RelayRequest, gone: Callable[[], bool]
    ) -> Generator[RelayEvent, None, None]:
        """Answer one request; see ``Relay``."""
        table = self._tools.directory.routes()
        if table.version == 0:
            yield Refused("no_configuration", NO_CONFIGURATION_RETRY_S)
            return
        route = table.find(req.host, req.path)
        if route is None:
            LOG.info("no route", id=req.request_id, version=table.version)
            yield NoRoute()
            return
        yield from _Course(self._tools, req, route, gone).events()


class _Course:
    """One request on its way; used by one thread.

    :param shown: the last event that was passed on to the caller
    """

    def __init__(
        self,
        tools: RelayDependencies,
        req: RelayRequest,
        route: RelayRoute,
        gone: Callable[[], bool],
    ) -> None:
        now = time.monotonic()
        wait_s = route.timeout_s
        if req.wait_s is not None:
            wait_s = min(wait_s, req.wait_s)
        self._tools = tools
        self._req = req
        self._route = route
        self._gone = gone
        self._began = now
        self._deadline = Deadline(now + wait_s)
        self._avoid: tuple[str, ...] = ()
        self._attempts = 0
        self._maybe_ran = False
        self._head_sent = False
        self._shown = req.after_event
        self._tokens = 0
        self._placement: HeldPermit | None = None
        self._answer: EngineAnswer | None = None
        self._watched: WatchedCall | None = None

    def events(self) -> Iterator[RelayEvent]:
        """Give the events of the answer."""
        try:
            while True:
                ended = self._place()
                if ended is not None:
                    yield from self._end(ended)
                    return
                failed = yield from self._attempt()
                if failed is None:
                    return
                if not self._may_go_on(failed):
                    yield from self._end(self._failure(failed))
                    return
        finally:
            self._leave(ReleaseOutcome.CANCELLED)

    # Placing

    def _place(self) -> Refused | Failed | NoRoute | None:
        """Take a permit; an event where there is none to be had."""
        need = WorkSpec(
            find=self._find,
            spread=self._req.request_id,
            customer=f"priority-{self._route.priority}",
            work_class=WorkClass.ONLINE,
            deadline=self._deadline.at,
            prompt_tokens=self._req.prompt_tokens,
            output_tokens=self._req.output_tokens,
            prefix=self._req.prefix,
            start_by=self._start_by(),
        )
        try:
            self._placement = self._tools.acquirer.acquire(
                need, self._avoid, self._gone
            )
        except NoRouteError:
            return self._unplaced("no_route", 0.0)
        except NoPermitError as exc:
            return self._unplaced(exc.reason, exc.retry_after_s)
        return None

    def _start_by(self) -> float | None:
        """Give when it must start to be in time; once sent, any time."""
        if self._maybe_ran or self._head_sent:
            return None
        return self._began + self._route.target_s - FIRST_EVENT_S

    def _find(self) -> RelayRoute | None:
        table = self._tools.directory.routes()
        return table.find(self._req.host, self._req.path)

    def _unplaced(
        self, reason: str, retry_after_s: float
    ) -> Refused | Failed | NoRoute:
        """Say what no permit means; only what never ran is refused."""
        LOG.info(
            "not placed",
            id=self._req.request_id,
            route=self._route.name,
            reason=reason,
            attempts=self._attempts,
            maybe_ran=self._maybe_ran,
            age_ms=self._age_ms(),
        )
        if self._maybe_ran:
            return Failed(reason, late=reason == "deadline")
        if reason == "no_route":
            return NoRoute()
        return Refused(reason, max(MIN_RETRY_AFTER_S, retry_after_s))

    # One attempt

    def _attempt(self) -> Generator[RelayEvent, None, EngineFailed | None]:
        """Send the request to the engine, and pass on what it answers.

        :returns: what went wrong, if not all of the answer was passed on
        """
        assert self._placement is not None
        placement = self._placement
        self._attempts += 1
        req = replace(self._req, after_event=self._shown)
        try:
            self._answer = self._tools.engines.send(
                placement.engine,
                req,
                self._deadline,
                self._watch,
                self._patience(),
            )
            head = self._answer.head
            if head.not_run:
                self._answer.read_some(self._deadline)
                reason = f"engine says not run: {head.status}"
                raise WireError(
                    EngineFailed(reason, Ran.NO, status=head.status)
                )
            if self._route.kind is RouteKind.STREAM and _is_success(head):
                yield from self._stream(self._answer)
            else:
                yield from self._whole(self._answer)
        except WireError as exc:
            self._log_failure(exc.failed)
            return self._lost(exc.failed)
        except BadEventError as exc:
            failed = EngineFailed(str(exc), Ran.YES)
            self._log_failure(failed)
            return self._lost(failed)
        self._log_done()
        self._leave(ReleaseOutcome.DONE)
        return None

    def _patience(self) -> Deadline:
        """Give until when the engine may answer nothing."""
        if self._may_repeat():
            return self._deadline.within(SILENT_S)
        return self._deadline

    def _watch(self, abort: Callable[[], None]) -> None:
        self._unwatch()
        self._watched = WatchedCall(self._gone, abort)
        self._tools.watch.add(self._watched)

    def _unwatch(self) -> None:
        if self._watched is not None:
            self._tools.watch.remove(self._watched)
            self._watched = None

    def _stream(self, answer: EngineAnswer) -> Iterator[RelayEvent]:
        """Pass on whole events, so that a cut falls between two."""
        assert self._placement is not None
        splitter = EventSplitter()
        order = EventOrder(self._shown)
        if not self._head_sent:
            self._head_sent = True
            yield AnswerHead(answer.head.status, answer.head.headers, None)
        while True:
            data = answer.read_some(self._patience())
            if not data:
                break
            events = splitter.feed(data)
            if not events:
                continue
            self._placement.mark_first_event()
            follows, bad = order.leading(events)
            self._tokens += len(follows)
            self._shown = order.last
            if follows:
                yield AnswerBody(b"".join(event.raw for event in follows))
            if bad is not None:
                raise bad
        if splitter.pending:
            raise WireError(EngineFailed("cut in an event", Ran.YES))

    def _whole(self, answer: EngineAnswer) -> Iterator[RelayEvent]:
        """Pass on an answer only when all of it is here."""
        parts = []
        size = 0
        while True:
            data = answer.read_some(self._deadline)
            if not data:
                break
            parts.append(data)
            size += len(data)
            if size > MAX_WHOLE_BYTES:
                raise WireError(EngineFailed("answer too large", Ran.YES))
        status = answer.head.status
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR and self._may_repeat():
            reason = f"engine answered {status}"
            raise WireError(EngineFailed(reason, Ran.YES, status=status))
        if self._head_sent:
            raise WireError(EngineFailed(f"status {status}", Ran.YES))
        self._head_sent = True
        yield AnswerHead(status, answer.head.headers, size)
        yield AnswerBody(b"".join(parts))

    # What follows a failure

    def _lost(self, failed: EngineFailed) -> EngineFailed:
        """Give the permit back after a failure."""
        assert self._placement is not None
        self._maybe_ran = self._maybe_ran or failed.ran is not Ran.NO
        self._avoid = (*self._avoid, self._placement.engine.name)
        if failed.ran is Ran.NO:
            self._attempts -= 1
        self._leave(self._blame(failed))
        return failed

    def _blame(self, failed: EngineFailed) -> ReleaseOutcome:
        """Say whether a failure speaks against the engine."""
        assert self._placement is not None
        left = self._watched is not None and self._watched.ended
        late = time.monotonic() >= self._deadline.at
        if left or (late and self._placement.first_at is not None):
            return ReleaseOutcome.CANCELLED
        if failed.status and failed.ran is Ran.NO:
            return ReleaseOutcome.UNUSED
        return ReleaseOutcome.FAILED

    def _may_go_on(self, failed: EngineFailed) -> bool:
        if self._gone() or time.monotonic() >= self._deadline.at:
            return False
        return failed.ran is Ran.NO or self._may_repeat()

    def _may_repeat(self) -> bool:
        repeatable = self._route.repeatable
        return repeatable and self._attempts < self._route.max_attempts

    def _failure(self, failed: EngineFailed) -> Failed | Refused:
        late = time.monotonic() >= self._deadline.at
        if not self._maybe_ran and not late:
            return Refused("not_run", MIN_RETRY_AFTER_S)
        return Failed(failed.reason, late)

    def _end(self, event: Refused | Failed | NoRoute) -> Iterator[RelayEvent]:
        """End with an event, or cut off an answer that has begun."""
        if self._head_sent:
            raise TruncatedAnswerError(str(event))
        yield event

    def _leave(self, outcome: ReleaseOutcome) -> None:
        """Let go of the engine and of the permit."""
        self._unwatch()
        if self._answer is not None:
            self._answer.finish()
            self._answer = None
        if self._placement is not None:
            self._placement.release(outcome, self._tokens)
            self._placement = None

    # Logs

    def _age_ms(self) -> int:
        return round((time.monotonic() - self._began) * 1_000)

    def _log_failure(self, failed: EngineFailed) -> None:
        assert self._placement is not None
        LOG.info(
            "attempt failed",
            id=self._req.request_id,
            engine=self._placement.engine.name,
            reason=failed.reason,
            ran=failed.ran.value,
            status=failed.status,
            shown=self._shown,
            left=self._gone(),
            age_ms=self._age_ms(),
        )

    def _log_done(self) -> None:
        assert self._placement is not None
        first_at = self._placement.first_at
        first_ms = None
        if first_at is not None:
            first_ms = round((first_at - self._began) * 1_000)
        LOG.info(
            "answered",
            id=self._req.request_id,
            route=self._route.name,
            engine=self._placement.engine.name,
            queued_ms=round(self._placement.queued_s * 1_000),
            first_ms=first_ms,
            age_ms=self._age_ms(),
            events=self._tokens,
            attempts=self._attempts,
        )


def _is_success(head: object) -> bool:
    status = getattr(head, "status", 0)
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


__all__ = ["Forwarder", "RelayDependencies"]
