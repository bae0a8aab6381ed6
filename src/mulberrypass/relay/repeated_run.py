"""The second run of a request beside one that is late."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.messages import RefusalReason, ReleaseOutcome
from mulberrypass.relay.answer_rules import check_whole
from mulberrypass.relay.api import EngineAnswer
from mulberrypass.relay.crash_guard import QuarantinedError
from mulberrypass.relay.engine_run import EngineRun
from mulberrypass.relay.events import (
    BadEventError,
    EventOrder,
    EventSplitter,
)
from mulberrypass.relay.permits import NoPermitError, NoRouteError
from mulberrypass.relay.repeats import Counted
from mulberrypass.relay.run_outcome import release_outcome
from mulberrypass.relay.second_answer import BrokenBodyError
from mulberrypass.relay.streams import NO_EVENT, NO_FURTHER_EVENT
from mulberrypass.relay.whole_body import read_whole
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.dependencies import RelayDependencies
    from mulberrypass.relay.permits import HeldPermit
    from mulberrypass.relay.race import Race
    from mulberrypass.relay.request_quota import RequestQuota

LOG = get_logger(__name__)
# An owner answers at once; one that doesn't has no room to spare.
MAX_ASK_S = 0.1
NOT_A_STREAM = "engine answered {}"


class Cause(StrEnum):
    """What was late when a second run started."""

    FIRST_EVENT = "first event"
    PAUSE = "pause"


@value_class
class RepeatPlan:
    """What a second run needs to know of its request.

    :param req: the request, which resumes after the last event that the
        caller has
    :param service: that of the first run; another may answer otherwise
    :param stream: whether its answer is a stream of events
    :param acquire: waits for a permit of an engine that the request has not
        been sent to, until its first argument returns true; its second is
        called if the owner takes the permit back
    :param due: returns until when the first event, or the whole answer, is
        due
    :param quota: the limit of the customer; ``None`` if it doesn't count
    """

    req: RelayRequest
    service: str
    stream: bool
    deadline: Deadline
    acquire: Callable[[Callable[[], bool], Callable[[], None]], HeldPermit]
    due: Callable[[], Deadline]
    quota: RequestQuota | None = None


class PrefetchedAnswer(EngineAnswer):
    """An answer of which parts were read on another thread."""

    def __init__(
        self, answer: EngineAnswer, parts: deque[bytes], ended: bool
    ) -> None:
        self.head = answer.head
        self._answer = answer
        self._parts = parts
        self._ended = ended

    def read_some(self, deadline: Deadline) -> bytes:
        """Return what was read, then read on; see ``EngineAnswer``."""
        if self._parts:
            return self._parts.popleft()
        return b"" if self._ended else self._answer.read_some(deadline)

    def finish(self) -> None:
        """Keep or close the connection; see ``EngineAnswer``."""
        self._answer.finish()

    def abort(self) -> None:
        """Close the connection; see ``EngineAnswer``."""
        self._answer.abort()


class RepeatedRun:
    """One second run, on a thread of its own up to its first event.

    The thread of the request then reads on, as with its own run.

    The race guards the flags.

    :ivar run: the run, once it is sent
    :ivar answer: what the thread of the request reads on
    :ivar failed: why the run has failed; ``None`` if it hasn't
    :ivar sent: whether an engine has got it
    :ivar cancelled: whether it isn't needed any more
    :ivar won: whether it was ahead of the first run
    :ivar goes_alone: whether it has failed as the only run left
    :ivar revoked: whether the owner has taken the permit back
    :ivar done: set once the thread has ended
    """

    def __init__(
        self,
        deps: RelayDependencies,
        plan: RepeatPlan,
        race: Race,
        cause: Cause,
        disconnected: Callable[[], bool],
    ) -> None:
        self.cause = cause
        self._deps = deps
        self._plan = plan
        self._race = race
        self._disconnected = disconnected
        self.run: EngineRun | None = None
        self.answer: EngineAnswer | None = None
        self.failed: EngineFailed | None = None
        self.sent = False
        self.cancelled = False
        self.won = False
        self.goes_alone = False
        self.revoked = False
        self.done = threading.Event()

    def work(self) -> None:
        """Run up to the first event."""
        try:
            self._work()
        except Exception:
            LOG.exception("second run broke off", id=self._id)
            failed = EngineFailed("second run broke off", Ran.MAYBE)
            goes_on = self._race.on_failure(self, failed)
            if self.run is not None and not goes_on:
                self.run.release(ReleaseOutcome.CANCELLED, 0)
        finally:
            self.done.set()

    @property
    def goes_on(self) -> bool:
        """Whether the request goes on with its answer or its failure."""
        return self.won or self.goes_alone

    @property
    def engine(self) -> str:
        """Name of the engine; empty before it has one."""
        return "" if self.run is None else self.run.engine

    def take_answer(self) -> EngineAnswer:
        """Return the answer, or raise why there is none.

        :raises WireError: if the run has failed
        """
        if self.failed is not None:
            raise WireError(self.failed)
        assert self.answer is not None
        return self.answer

    def revoke(self) -> None:
        """End the run, as its permit is revoked; safe on any thread."""
        self.revoked = True
        self.stop()

    def stop(self) -> None:
        """Close the connection; safe on any thread."""
        if self.run is not None:
            self.run.stop()

    @property
    def _id(self) -> str:
        return self._plan.req.request_id

    def _work(self) -> None:
        plan = self._plan
        if plan.quota is not None and not plan.quota.take_another():
            self._refuse(Counted.REFUSED, "quota")
            return
        run = self._acquire()
        if run is None:
            self._return_token()
            return
        try:
            self._read(run)
        except WireError as exc:
            self._fail(run, exc.failed)
        except (BadEventError, BrokenBodyError) as exc:
            self._fail(run, EngineFailed(str(exc), Ran.YES))
        else:
            if not self._race.on_answer(self):
                self._lose(run)
            elif self._plan.stream:
                run.permit.mark_first_event(run.slowness)

    def _acquire(self) -> EngineRun | None:
        """Wait for a permit; return ``None`` if the run doesn't start."""
        until = time.monotonic() + MAX_ASK_S

        def gives_up() -> bool:
            return self._race.is_over(self) or time.monotonic() >= until

        try:
            permit = self._plan.acquire(gives_up, self.revoke)
        except NoPermitError as exc:
            pressure = exc.reason == RefusalReason.NO_SPARE
            counted = Counted.NO_SPARE if pressure else Counted.REFUSED
            self._refuse(counted, exc.reason)
            return None
        except (NoRouteError, QuarantinedError) as exc:
            self._refuse(Counted.REFUSED, type(exc).__name__)
            return None
        run = EngineRun(self._deps, permit, self._disconnected)
        if not self._race.on_send(self, run):
            permit.release_unused()
            self._refuse(Counted.REFUSED, "first run has answered")
            return None
        if self.revoked:
            run.stop()
        return run

    def _read(self, run: EngineRun) -> None:
        """Read up to the first event, or a whole body.

        :raises WireError: if the run fails before
        :raises BadEventError: if the first event is another than that asked
        """
        plan = self._plan
        due = plan.due()
        answer = run.send(plan.req, plan.deadline, due)
        if plan.stream and not answer.head.is_success:
            status = answer.head.status
            reason = NOT_A_STREAM.format(status)
            raise WireError(EngineFailed(reason, Ran.YES, status=status))
        parts: deque[bytes] = deque()
        if plan.stream:
            self._read_first_event(answer, parts, due)
        else:
            self._read_whole(run, answer, parts, due)
        ended = not plan.stream
        self.answer = run.answer = PrefetchedAnswer(answer, parts, ended)

    def _read_first_event(
        self, answer: EngineAnswer, parts: deque[bytes], due: Deadline
    ) -> None:
        splitter = EventSplitter(answer.head.second)
        after = self._plan.req.after_event
        order = EventOrder(after)
        while not splitter.ended and (data := answer.read_some(due)):
            parts.append(data)
            events, error = order.accept_leading(splitter.feed(data))
            if events:
                return
            if error is not None:
                raise error
        raise WireError(NO_EVENT if after is None else NO_FURTHER_EVENT)

    def _read_whole(
        self,
        run: EngineRun,
        answer: EngineAnswer,
        parts: deque[bytes],
        due: Deadline,
    ) -> None:
        """Read a body; an answer that may not be forwarded is a failure."""
        with run.hold(answer) as body:
            read_whole(answer, due, body)
            check_whole(answer.head, body.size, may_repeat=True, begun=False)
            if answer.head.ends_with_connection:
                run.check_engine(answer, self._plan.deadline)
            parts.extend(body.take_parts())

    def _fail(self, run: EngineRun, failed: EngineFailed) -> None:
        """Leave the failure to the request, or release the permit."""
        service = self._plan.service
        if failed.ran is Ran.NO:
            self._return_token()
            self._deps.repeats.give_back(service)
        if self._race.on_failure(self, failed):
            return
        if run.stopped:
            self._lose(run)
            return
        self._deps.repeats.count(service, Counted.FAILED)
        outcome = release_outcome(run, failed, self._plan.deadline, False)
        LOG.info(
            "second run failed",
            id=self._id,
            engine=run.engine,
            reason=failed.reason,
            ran=failed.ran.value,
        )
        if failed.closed and outcome is ReleaseOutcome.FAILED:
            run.permit.mark_connection_ended()
        run.release(outcome, 0)

    def _lose(self, run: EngineRun) -> None:
        """Release the permit of a run that the first one was ahead of."""
        self._deps.repeats.count(self._plan.service, Counted.LOST)
        LOG.info("second run lost", id=self._id, engine=run.engine)
        run.release(ReleaseOutcome.CANCELLED, 0)

    def _return_token(self) -> None:
        """Return the token of a run that no engine has begun."""
        if self._plan.quota is not None:
            self._plan.quota.give_back()

    def _refuse(self, counted: Counted, reason: str) -> None:
        """Note that the run doesn't start, which changes nothing else."""
        service = self._plan.service
        self._deps.repeats.count(service, counted)
        self._deps.repeats.give_back(service)
        LOG.info("no second run", id=self._id, reason=reason)


__all__ = ["Cause", "PrefetchedAnswer", "RepeatPlan", "RepeatedRun"]
