"""One attempt of a batch item at an engine."""

from __future__ import annotations

from dataclasses import replace
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import CUT, Deadline, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.messages import ReleaseOutcome
from mulberrypass.relay.api import framing
from mulberrypass.relay.departures import LEAVES, EngineLeavesError
from mulberrypass.relay.end_proof import End
from mulberrypass.relay.engine_run import EngineRun
from mulberrypass.relay.events import (
    BadEventError,
    EventOrder,
    EventSplitter,
)
from mulberrypass.relay.race import FirstRun, Race, RaceTerms
from mulberrypass.relay.repeated_run import RepeatPlan
from mulberrypass.relay.streams import CUT_IN_EVENT
from mulberrypass.relay.unread import skip_rest
from mulberrypass.relay.whole_body import NO_ROOM, TURNED_AWAY

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.batches.held_output import HeldOutput
    from mulberrypass.batches.item_repeats import ItemRepeats
    from mulberrypass.batches.progress import Progress
    from mulberrypass.policy.batches.order import ItemPace
    from mulberrypass.relay.api import EngineAnswer, RelayRequest
    from mulberrypass.relay.dependencies import RelayDependencies
    from mulberrypass.relay.doubts import DoubtfulRuns
    from mulberrypass.relay.permits import HeldPermit
    from mulberrypass.relay.repeated_run import RepeatedRun

YIELDED = (TURNED_AWAY, NO_ROOM)
MAX_ATTEMPT_S = 120.0
# Events come every 25 to 300 ms, and items don't queue inside engines, so
# that a longer silence is a fault.
READ_TIMEOUT_S = 3.0


class ItemAttempt:
    """Runs an item at one engine; used by one thread, but for ``revoke``.

    :param doubts: earlier attempts whose ends are in doubt
    :param pace: run time per token, updated by a whole run
    :param should_stop: whether the outcome isn't needed any more
    :param repeats: what a second run needs; ``None`` if there may be none
    :ivar framing: how the answer came, as it is logged
    """

    def __init__(
        self,
        deps: RelayDependencies,
        permit: HeldPermit,
        progress: Progress,
        output: HeldOutput,
        doubts: DoubtfulRuns,
        pace: ItemPace,
        should_stop: Callable[[], bool],
        repeats: ItemRepeats | None,
    ) -> None:
        self._deps = deps
        self._permit = permit
        self._progress = progress
        self._output = output
        self._doubts = doubts
        self._pace = pace
        self._should_stop = should_stop
        self._repeats = repeats
        self._race: Race | None = None
        self._run = EngineRun(deps, permit, should_stop)
        self._second: RepeatedRun | None = None
        self._revoked = False
        self.framing: dict[str, bool] = {}

    @property
    def revoked(self) -> bool:
        """Whether the owner has taken the permit back."""
        second = self._second
        return self._revoked or (second is not None and second.revoked)

    @property
    def permit(self) -> HeldPermit:
        """The permit of the run that the item goes on with."""
        return self._permit

    def revoke(self) -> None:
        """End the first run, as its permit is revoked; safe on any thread."""
        if self._second is None:
            self._revoked = True
            self._run.stop()

    def run(self, req: RelayRequest) -> End:
        """Run the item on the engine and record its events.

        :param req: the request, which resumes after the last event
        :returns: what proves the output whole, or that its end is in doubt
        :raises WireError: if the output is incomplete
        """
        deadline = Deadline(time.monotonic() + MAX_ATTEMPT_S)
        run = self._run
        self._race = self._begin_race(req, deadline)

        def send() -> EngineAnswer:
            due = deadline.within(READ_TIMEOUT_S)
            return run.exchange(req, deadline, due)

        try:
            return self._record(send, req, deadline)
        except WireError:
            second = self._end_race()
            if second is None:
                raise
            self._take_over(second)
            after = replace(req, after_event=self._progress.last)
            return self._record(second.take_answer, after, deadline)
        finally:
            if self._race is not None:
                self._race.close()

    def _begin_race(
        self, req: RelayRequest, deadline: Deadline
    ) -> Race | None:
        """Begin to look for pauses of the run."""
        repeats = self._repeats
        if repeats is None:
            return None
        race = Race(
            self._deps,
            RaceTerms(req.request_id, "", True, req.output_tokens, None, None),
            deadline,
            self._should_stop,
        )
        first = FirstRun(
            self._run,
            allowed=False,
            begun=False,
            make_plan=lambda: self._plan(repeats, deadline),
        )
        race.begin(first)
        return race

    def _plan(self, repeats: ItemRepeats, deadline: Deadline) -> RepeatPlan:
        """Return what a second run needs while the first waits."""
        engine = self._run.permit.engine
        return RepeatPlan(
            repeats.make_request(self._progress.last),
            engine.service,
            True,
            deadline,
            lambda abandoned, on_revoke: repeats.acquire(
                engine.name, abandoned, on_revoke
            ),
            lambda: deadline.within(READ_TIMEOUT_S),
        )

    def _end_race(self) -> RepeatedRun | None:
        """Return the second run if the item goes on with it."""
        progress = self._progress
        if self._race is None:
            return None
        fits = not (
            self._revoked
            or self._output.yielded
            or progress.last is None
            or progress.proof.doubts(progress.last)
        )
        second = self._race.end(fits)
        if second is None or second.cancelled:
            return None
        second.done.wait()
        return second if second.goes_on else None

    def _take_over(self, second: RepeatedRun) -> None:
        """Go on with a second run."""
        assert second.run is not None
        self._second = second
        self._run = second.run
        self._permit = second.run.permit
        self._race = None

    def _record(
        self,
        get_answer: Callable[[], EngineAnswer],
        req: RelayRequest,
        deadline: Deadline,
    ) -> End:
        """Record the events of the current run, and release its permit.

        :param get_answer: returns the answer once its head has come
        """
        run, progress = self._run, self._progress
        outcome = ReleaseOutcome.FAILED
        closed = False
        events = 0
        try:
            answer = get_answer()
            self.framing = framing(answer)
            self._check_head(answer, deadline)
            with self._output.attempt(answer.abort):
                events = self._read(answer, deadline)
            unframed = answer.head.ends_with_connection
            end = progress.judge(events, unframed)
            if end is End.BROKEN_OFF or (unframed and not events):
                if end is End.IN_DOUBT:
                    # Sound if all events had come before.
                    outcome = ReleaseOutcome.CANCELLED
                raise WireError(CUT)
            if end is End.SECOND_RUN:
                # Engines that die of the same output end alike.
                self._deps.engines.check_alive(
                    self._permit.engine, deadline.within(READ_TIMEOUT_S)
                )
            if end is End.IN_DOUBT:
                outcome = ReleaseOutcome.CANCELLED
                return end
            self._output.complete()
            outcome = ReleaseOutcome.DONE
            if req.after_event is None:
                elapsed_s = time.monotonic() - self._permit.sent_at
                self._pace.observe(req.output_tokens, elapsed_s)
            return end
        except BadEventError as exc:
            raise WireError(EngineFailed(str(exc), Ran.MAYBE))
        except WireError as exc:
            closed = exc.failed.closed
            if exc.failed is LEAVES:
                outcome = ReleaseOutcome.UNUSED
            elif exc.failed in YIELDED:
                # Items at other engines may hold the bytes.
                outcome = ReleaseOutcome.CANCELLED
            raise
        finally:
            if run.stopped or run.aborted:
                outcome = ReleaseOutcome.CANCELLED
            if closed and outcome is ReleaseOutcome.FAILED:
                self._permit.mark_connection_ended()
            run.release(outcome, events)

    def _check_head(self, answer: EngineAnswer, deadline: Deadline) -> None:
        head = answer.head
        if head.is_success:
            return
        skip_rest(answer, deadline)
        if head.leaving and head.not_run:
            raise EngineLeavesError
        ran = Ran.NO if head.not_run else Ran.YES
        raise WireError(
            EngineFailed(f"status {head.status}", ran, status=head.status)
        )

    def _read(self, answer: EngineAnswer, deadline: Deadline) -> int:
        """Record the events of an answer; return their number.

        :raises WireError: if the answer is cut
        :raises BadEventError: if an event doesn't belong to the output
        """
        splitter = EventSplitter(answer.head.second)
        try:
            count = self._read_events(answer, splitter, deadline)
            if splitter.pending:
                raise WireError(CUT_IN_EVENT)
        except WireError:
            if splitter.pending:
                self._progress.note_begun()
            raise
        except BadEventError as exc:
            if exc.more:
                self._progress.note_begun()
            raise
        return count

    def _read_events(
        self, answer: EngineAnswer, splitter: EventSplitter, deadline: Deadline
    ) -> int:
        progress = self._progress
        count = 0
        order = EventOrder(progress.last)
        event_due = deadline.within(READ_TIMEOUT_S)
        while not splitter.ended:
            data = answer.read_some(event_due)
            if not data:
                break
            events = splitter.feed(data)
            if events:
                self._on_events(answer.head.slowness)
                event_due = deadline.within(READ_TIMEOUT_S)
            for event in events:
                order.accept(event)
                progress.add(event)
            if progress.whole:
                self._doubts.judge(progress.last)
            self._output.resize(progress.taken + splitter.size)
            count += len(events)
            if events:
                self._wait()
        return count

    def _on_events(self, slowness: float) -> None:
        """Note that events have come.

        :param slowness: what the answer says of the engine's moment
        :raises WireError: if a second run was ahead
        """
        if self._race is not None:
            self._race.on_event()
        self._permit.mark_first_event(slowness)

    def _wait(self) -> None:
        """Wait for the next event, which may be late near the due time."""
        race, repeats = self._race, self._repeats
        if race is not None and repeats is not None:
            race.allow(repeats.is_near_due())
            race.wait()


__all__ = ["ItemAttempt", "READ_TIMEOUT_S", "YIELDED"]
