"""What is known of the runs of one request, and what may follow them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mulberrypass.model.outcome import Ran
from mulberrypass.policy.online.repeats import LateRun, reason_against
from mulberrypass.policy.online.runs import Runs
from mulberrypass.relay.admission import PermitNeed
from mulberrypass.relay.streams import BROKEN_OFF, ENGINE_GONE, IN_DOUBT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.engine.api import EngineFailed
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.relay.engine_run import EngineRun
    from mulberrypass.relay.repeated_run import RepeatedRun
    from mulberrypass.relay.streams import EventStream

# Callers leave a stream after a gap of 2 s; half of it is for the second run.
SECOND_RUN_WAIT_S = 1.0


class RunRecord:
    """The runs of one request; used by one thread.

    :param after_event: the event after which the request begins
    :ivar settles: whether the latest run, or the next one, settles where
        the stream ends
    :ivar doubt_ends_at: until when a second run may end, in monotonic
        seconds
    :ivar maybe_ran: whether an engine may have run the request
    :ivar _whole: whether the latest run began where the request does
    :ivar _first_run_s: time of such a run whose end is in doubt
    :ivar _connection_ended: whether the connection of a run has ended too
        early, as those of an engine do that crashes
    """

    def __init__(
        self, route: RelayRoute, stream: EventStream, after_event: int | None
    ) -> None:
        self._route = route
        self._stream = stream
        self._after_event = after_event
        self._runs = Runs(route.max_attempts, route.repeatable)
        self.settles = False
        self.maybe_ran = False
        self.doubt_ends_at = float("inf")
        self._whole = True
        self._first_run_s: float | None = None
        self._connection_ended = False

    @property
    def attempts(self) -> int:
        """Number of runs that don't settle where the stream ends."""
        return self._runs.attempts

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt may follow."""
        return self._runs.may_repeat()

    @property
    def in_doubt(self) -> bool:
        """Whether the next run must bring the last event again."""
        return self._stream.in_doubt

    @property
    def may_race(self) -> bool:
        """Whether another engine may get the request beside this one.

        Not if the request may be the reason why a connection has ended.
        """
        late = LateRun(
            repeatable=self._route.repeatable,
            attempts_left=self.may_repeat,
            in_doubt=self.settles or self._stream.in_doubt,
            ended=self._connection_ended,
        )
        return reason_against(late) is None

    def need(
        self,
        engines: Iterable[str],
        service: str,
        failing: tuple[str, ...] = (),
    ) -> PermitNeed:
        """Return what the next run needs.

        :param engines: the known engines
        :param service: the service that has begun the answer
        :param failing: engines whose latest run has failed
        """
        return PermitNeed(
            self._runs.avoided(self.settles, engines, failing),
            self.doubt_ends_at,
            self._runs.attempts,
            self.maybe_ran,
            service,
        )

    def avoided(self, engine: str, engines: Iterable[str]) -> tuple[str, ...]:
        """Return which engines may not get a second run beside one."""
        return (*self._runs.avoided(False, engines)[0], engine)

    def begin(self) -> None:
        """Note that a run begins."""
        self._runs.begin(self.settles)
        self._note_whole()

    def take_over(self) -> None:
        """Note that the request goes on with a second run."""
        self._note_whole()

    def count_second(self, second: RepeatedRun) -> None:
        """Count a second run that an engine has got and that has ended."""
        failed = second.failed
        self._runs.begin(False)
        if failed is None or failed.ran is not Ran.NO:
            self.maybe_ran = True
        if second.goes_on and not second.cancelled:
            return
        if failed is None:
            self._runs.note_lost(second.engine)
        elif failed.ran is Ran.NO:
            self._runs.note_not_run(second.engine, False)
        elif failed is ENGINE_GONE:
            self._runs.note_gone(second.engine, False)
        else:
            self._runs.note_failed(second.engine)

    def note_overtaken(self, run: EngineRun) -> None:
        """Note that a second run was ahead of one."""
        self.maybe_ran = True
        self._runs.note_failed(run.engine)

    def note_failure(self, run: EngineRun, failed: EngineFailed) -> None:
        """Note that a run has failed."""
        self.maybe_ran = self.maybe_ran or failed.ran is not Ran.NO
        self._connection_ended = self._connection_ended or failed.closed
        if failed in (IN_DOUBT, ENGINE_GONE) and self._whole:
            self._first_run_s = time.monotonic() - run.permit.sent_at
        if failed is IN_DOUBT:
            self._runs.note_ended(run.engine)
        elif failed is ENGINE_GONE:
            self._runs.note_gone(run.engine, self.settles)
        elif failed.ran is Ran.NO:
            self._runs.note_not_run(run.engine, self.settles)
        elif failed is BROKEN_OFF:
            self._runs.note_more(run.engine)
            self._first_run_s = None
        else:
            self._runs.note_failed(run.engine)
        self.settles = self._stream.in_doubt or failed is BROKEN_OFF
        if not self._stream.in_doubt:
            self.doubt_ends_at = float("inf")
        elif self.doubt_ends_at == float("inf"):
            self.doubt_ends_at = time.monotonic() + SECOND_RUN_WAIT_S

    def may_follow(self, failed: EngineFailed) -> bool:
        """Return whether a run may follow one that has failed."""
        if self.settles:
            if failed.ran is Ran.NO and time.monotonic() > self.doubt_ends_at:
                return False
            return self._runs.may_settle()
        return failed.ran is Ran.NO or self.may_repeat

    def whole_s(self, run: EngineRun) -> float | None:
        """Return the time of a whole answer, which one run has brought.

        ``None`` if several have.
        """
        if self._first_run_s is None and self._whole:
            return time.monotonic() - run.permit.sent_at
        return self._first_run_s

    def _note_whole(self) -> None:
        after = self._stream.resume_after
        self._whole = after == self._after_event and not self._stream.in_doubt


__all__ = ["RunRecord"]
