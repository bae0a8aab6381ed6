"""Runs one batch item to its outcome, with retries on other engines."""

from __future__ import annotations

from http import HTTPStatus
import sys
import time
from typing import TYPE_CHECKING

from mulberrypass.batches.held_output import HeldOutput
from mulberrypass.batches.progress import Progress
from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import CUT, Deadline, WireError
from mulberrypass.model.batch_jobs import ItemOutcome, ItemState
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.batches.order import order_item
from mulberrypass.policy.messages import (
    RefusalReason,
    ReleaseOutcome,
    WorkClass,
)
from mulberrypass.relay.api import framing, part_names
from mulberrypass.relay.crash_guard import QuarantinedError
from mulberrypass.relay.departures import LEAVES, EngineLeavesError
from mulberrypass.relay.doubts import DoubtfulRuns
from mulberrypass.relay.end_proof import End
from mulberrypass.relay.events import (
    BadEventError,
    EventOrder,
    EventSplitter,
)
from mulberrypass.relay.permits import NoPermitError, NoRouteError, WorkSpec
from mulberrypass.relay.streams import CUT_IN_EVENT
from mulberrypass.relay.unread import skip_rest
from mulberrypass.relay.watch import WatchedCall
from mulberrypass.relay.whole_body import NO_ROOM, TURNED_AWAY
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.policy.batches.order import ItemPace
    from mulberrypass.relay.api import EngineAnswer, RelayRequest
    from mulberrypass.relay.forward import RelayDependencies
    from mulberrypass.relay.permits import HeldPermit, PendingPermit

LOG = get_logger(__name__)
YIELDED = (TURNED_AWAY, NO_ROOM)
MAX_ATTEMPT_S = 120.0
# Events come every 25 to 300 ms, and items don't queue inside engines, so
# that a longer silence is a fault.
READ_TIMEOUT_S = 3.0
RETRY_S = 0.05
MAX_RETRY_S = 1.0
# The route of a job may be missing briefly while the configuration changes.
ROUTE_MISSING_S = 3.0


@value_class
class Pause:
    """The item may ask for a permit again after some seconds."""

    seconds: float


@value_class
class Ended:
    """The item needs no further permit here.

    :param outcome: ``None`` if it isn't needed any more or, as ``held_back``
        tells, if the item would crash engines
    """

    outcome: ItemOutcome | None


class ItemRun:
    """The execution of one item; used by one thread at a time.

    Waiting for a permit blocks no thread: the answer to ``ask`` goes to
    ``take``, and the permit to ``attempt``, until one of them ends the item.

    :param make_request: builds the request of an item, which resumes after
        the event with the given number
    :param should_stop: whether the outcome isn't needed any more
    :param pace: run time per token, updated by this run
    :param expires_at: monotonic time from which the item may be abandoned
    :ivar output: counts the output; of a completed item, it is to be closed
        once the outcome is stored
    """

    def __init__(
        self,
        dependencies: RelayDependencies,
        head: JobHead,
        index: int,
        item: BatchItem,
        make_request: Callable[[JobHead, BatchItem, int | None], RelayRequest],
        should_stop: Callable[[], bool],
        pace: ItemPace,
        expires_at: float,
    ) -> None:
        self._dependencies = dependencies
        self._head = head
        self._index = index
        self._item = item
        self._make_request = make_request
        self._should_stop = should_stop
        self._pace = pace
        self._expires_at = expires_at
        self._progress = Progress()
        self._doubts = DoubtfulRuns()
        self._revoked = False
        self._delay_s = RETRY_S
        self._abort: Callable[[], None] | None = None
        self._framing: dict[str, bool] = {}
        self._avoid: tuple[str, ...] = ()
        self._refused: tuple[str, ...] = ()
        self._service = ""
        self.held_back = False
        self.output = HeldOutput(dependencies.bodies)

    @property
    def is_needed(self) -> bool:
        """Whether a run may still bring the outcome."""
        return not self._should_stop() and not self._expired()

    @property
    def yielded(self) -> bool:
        """Whether the output must go, and an ask for its rest is void."""
        return self.output.yielded

    def ask(self) -> PendingPermit | Pause | Ended:
        """Ask for a permit; the answer is handed to ``take``."""
        if self._should_stop():
            return self._end(None)
        if self._expired():
            return self._end(self._abandon("expired"))
        self.renew_output()
        if not self.output.has_room:
            return Pause(RETRY_S)
        try:
            return self._ask()
        except NoRouteError:
            if self._route_is_missing():
                return self._end(self._abandon("no route"))
            return Pause(RETRY_S)
        except QuarantinedError as exc:
            return self._hold_back(exc)

    def find_service(self) -> str:
        """Return the service to ask next; empty without a route.

        That which has begun the output is first, while it takes work.
        """
        route = self._find_route()
        if route is None or not route.services:
            return ""
        return self._dependencies.acquirer.choose(
            route,
            self._item.item_id,
            self._avoid,
            self._refused,
            self._service if self._progress.last is not None else "",
        )

    def pass_over(self, pending: PendingPermit) -> bool:
        """Prefer another service to one that keeps an ask waiting.

        An output that has begun waits, as another would begin it anew.

        :returns: whether another takes work
        """
        return self._progress.last is None and self._refuse(pending)

    def _refuse(self, pending: PendingPermit) -> bool:
        """Note that a service didn't grant; return whether another may."""
        refused = (*self._refused, pending.service)
        acquirer = self._dependencies.acquirer
        others = acquirer.has_other(pending.work, self._avoid, refused)
        self._refused = refused if others else ()
        if others:
            LOG.info(
                "another service is asked",
                job=self._head.job_id,
                item=self._item.item_id,
                ask=pending.ask_id,
                refused=list(refused),
            )
        return others

    def renew_output(self) -> None:
        """Begin anew if the output had to yield."""
        if self.output.yielded:
            self._progress.begin_anew()
            self.output.renew()

    def take(self, pending: PendingPermit) -> HeldPermit | Pause | Ended:
        """Handle the answer to an ask."""
        try:
            permit = self._dependencies.acquirer.take(pending)
        except QuarantinedError as exc:
            return self._hold_back(exc)
        except NoPermitError as exc:
            if self._avoid and exc.reason == RefusalReason.NO_BACKEND:
                # The avoided engine is the only one.
                self._avoid = ()
                return Pause(0.0)
            if self._refuse(pending):
                return Pause(0.0)
            return Pause(max(RETRY_S, min(MAX_RETRY_S, exc.retry_after_s)))
        if isinstance(permit, str):
            self._avoid = (*self._avoid, permit)
            return Pause(0.0)
        self._refused = ()
        self._log_permit(permit)
        return permit

    def withdraw(self, pending: PendingPermit) -> None:
        """Withdraw an ask whose answer isn't needed any more."""
        self._dependencies.acquirer.withdraw(pending)

    def attempt(self, permit: HeldPermit) -> Pause | Ended:
        """Run on an engine; blocks until that has ended."""
        try:
            end = self._attempt(permit)
        except WireError as exc:
            outcome = self._handle_failure(permit, exc.failed)
            if outcome is not None:
                return self._end(outcome)
            if self._revoked or exc.failed is LEAVES:
                return Pause(0.0)
            delay_s = self._delay_s
            self._delay_s = min(MAX_RETRY_S, delay_s * 2)
            return Pause(delay_s)
        if end is not End.IN_DOUBT:
            self._doubts.judge(self._progress.last, whole=True)
            return self._end(self._complete(permit.engine.name, end))
        self._log_doubt(permit)
        if not self._revoked:
            self._doubts.add(permit, self._progress.last)
        self._avoid = (permit.engine.name,)
        return Pause(0.0)

    def close(self) -> None:
        """Drop the output of an item that isn't run to its end here."""
        self.output.close()

    def _end(self, outcome: ItemOutcome | None) -> Ended:
        if outcome is None or outcome.state is not ItemState.COMPLETED:
            self.close()
        return Ended(outcome)

    def _hold_back(self, exc: QuarantinedError) -> Ended:
        self._log_held_back(exc)
        return self._end(None)

    def _ask(self) -> PendingPermit:
        self._revoked = False
        self._abort = None
        service = self.find_service()
        if not service:
            raise NoRouteError
        if service != self._service and self._progress.last is not None:
            LOG.info(
                "item begins anew",
                job=self._head.job_id,
                item=self._item.item_id,
                former=self._service,
                service=service,
                events=len(self._progress.event_texts),
            )
            self._progress.begin_anew()
        self._service = service
        req = self._request(None)
        remaining_tokens = self._remaining_tokens(req)
        due_in_s = self._head.first_s + self._head.due_s - time.time()
        order = order_item(due_in_s, remaining_tokens * self._pace.token_s)
        now = time.monotonic()
        spec = WorkSpec(
            find=self._find_route,
            routing_key=self._item.item_id,
            customer=self._head.customer or self._head.host,
            work_class=WorkClass.BATCH,
            deadline=now + order.budget_s,
            start_by=(
                None
                if order.start_within_s is None
                else now + order.start_within_s
            ),
            prompt_tokens=req.prompt_tokens
            + len(self._progress.event_texts) * self._event_tokens(),
            output_tokens=remaining_tokens,
            prefix=req.prefix,
            revocable=True,
            service=service,
        )
        return self._dependencies.acquirer.ask(
            spec, self._avoid, self._on_revoke
        )

    def _request(self, after_event: int | None) -> RelayRequest:
        return self._make_request(self._head, self._item, after_event)

    def _remaining_tokens(self, req: RelayRequest) -> int:
        """Estimate the number of tokens still to be generated."""
        generated = len(self._progress.event_texts) * self._event_tokens()
        return max(self._event_tokens(), req.output_tokens - generated)

    def _event_tokens(self) -> int:
        table = self._dependencies.directory.routes()
        route = table.find(self._head.host, self._item.path)
        if route is None:
            return 1
        service = table.services.get(self._service)
        return service.event_tokens if service is not None else 1

    def _find_route(self) -> RelayRoute | None:
        table = self._dependencies.directory.routes()
        return table.find(self._head.host, self._item.path)

    def _route_is_missing(self) -> bool:
        if self._dependencies.directory.routes().version == 0:
            return False
        now = time.monotonic()
        if self._progress.route_missing_since is None:
            self._progress.route_missing_since = now
        return now - self._progress.route_missing_since > ROUTE_MISSING_S

    def _expired(self) -> bool:
        return time.monotonic() > self._expires_at

    def _on_revoke(self) -> None:
        self._revoked = True
        abort = self._abort
        if abort is not None:
            abort()

    def _log_held_back(self, exc: QuarantinedError) -> None:
        self.held_back = True
        LOG.info(
            "item held back",
            job=self._head.job_id,
            item=self._item.item_id,
            part=exc.part,
            engines=exc.engines,
        )

    def _log_permit(self, permit: HeldPermit) -> None:
        LOG.info(
            "item placed",
            job=self._head.job_id,
            item=self._item.item_id,
            engine=permit.engine.name,
            ask=permit.ask_id,
            queued_ms=round(permit.queued_s * 1_000),
            events=len(self._progress.event_texts),
        )

    def _log_doubt(self, permit: HeldPermit) -> None:
        LOG.info(
            "item end in doubt",
            job=self._head.job_id,
            item=self._item.item_id,
            engine=permit.engine.name,
            last=self._progress.last,
            **self._framing,
        )

    def _attempt(self, permit: HeldPermit) -> End:
        """Run the item on an engine and record its events.

        :returns: what proves the output whole, or that its end is in doubt
        :raises WireError: if the output is incomplete
        """
        self._progress.route_missing_since = None
        self._framing = {}
        watched: WatchedCall | None = None
        answer: EngineAnswer | None = None
        outcome = ReleaseOutcome.FAILED
        closed = False
        events = 0

        def on_open(abort: Callable[[], None]) -> None:
            nonlocal watched
            self._abort = abort
            watched = WatchedCall(self._should_stop, abort)
            self._dependencies.watch.add(watched)
            if self._revoked:
                abort()

        deadline = Deadline(time.monotonic() + MAX_ATTEMPT_S)
        req = self._request(self._progress.resume())
        try:
            answer = self._dependencies.engines.send(
                permit.engine,
                req,
                deadline,
                on_open,
                deadline.within(READ_TIMEOUT_S),
            )
            self._framing = framing(answer)
            permit.mark_limit(answer.head.limit_per_s)
            self._check_head(answer, deadline)
            with self.output.attempt(answer.abort):
                events = self._read(answer, deadline, permit)
            unframed = answer.head.ends_with_connection
            end = self._progress.judge(events, unframed)
            if end is End.BROKEN_OFF or (unframed and not events):
                if end is End.IN_DOUBT:
                    # Sound if all events had come before.
                    outcome = ReleaseOutcome.CANCELLED
                raise WireError(CUT)
            if end is End.SECOND_RUN:
                # Engines that die of the same output end alike.
                self._dependencies.engines.check_alive(
                    permit.engine, deadline.within(READ_TIMEOUT_S)
                )
            if end is End.IN_DOUBT:
                outcome = ReleaseOutcome.CANCELLED
                return end
            self.output.complete()
            outcome = ReleaseOutcome.DONE
            if req.after_event is None:
                elapsed_s = time.monotonic() - permit.sent_at
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
            if watched is not None:
                self._dependencies.watch.remove(watched)
            if answer is not None:
                answer.finish()
            if self._revoked or (watched is not None and watched.ended):
                outcome = ReleaseOutcome.CANCELLED
            if closed and outcome is ReleaseOutcome.FAILED:
                permit.mark_connection_ended()
            permit.release(outcome, events)

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

    def _read(
        self,
        answer: EngineAnswer,
        deadline: Deadline,
        permit: HeldPermit,
    ) -> int:
        """Record the events of an answer; return their number.

        :raises WireError: if the answer is cut
        :raises BadEventError: if an event doesn't belong to the output
        """
        splitter = EventSplitter(answer.head.second)
        try:
            count = self._read_events(answer, splitter, deadline, permit)
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
        self,
        answer: EngineAnswer,
        splitter: EventSplitter,
        deadline: Deadline,
        permit: HeldPermit,
    ) -> int:
        count = 0
        order = EventOrder(self._progress.last)
        event_due = deadline.within(READ_TIMEOUT_S)
        while not splitter.ended:
            data = answer.read_some(event_due)
            if not data:
                break
            events = splitter.feed(data)
            if events:
                permit.mark_first_event(answer.head.slowness)
                event_due = deadline.within(READ_TIMEOUT_S)
            for event in events:
                order.accept(event)
                self._progress.add(event)
            if self._progress.whole:
                self._doubts.judge(self._progress.last)
            self.output.resize(self._progress.taken + splitter.size)
            count += len(events)
        return count

    def _handle_failure(
        self, permit: HeldPermit, failed: EngineFailed
    ) -> ItemOutcome | None:
        """Return the outcome if the failure is final, ``None`` to retry."""
        LOG.info(
            "item attempt failed",
            job=self._head.job_id,
            item=self._item.item_id,
            engine=permit.engine.name,
            reason=failed.reason,
            revoked=self._revoked,
            events=len(self._progress.event_texts),
            **self._framing,
            parts=part_names(self._request(None).shared_parts),
        )
        if failed in YIELDED:
            self._progress.begin_anew()
        if failed.status == HTTPStatus.UNPROCESSABLE_ENTITY:
            return self._abandon("can't be done")
        if failed.status == HTTPStatus.INTERNAL_SERVER_ERROR:
            self._progress.failures += 1
            route = self._find_route()
            limit = route.max_attempts if route is not None else 1
            if self._progress.failures >= limit:
                return self._abandon("failed at each run")
        # The next start of an engine that leaves may have its name.
        keep = not self._revoked and failed is not LEAVES
        self._avoid = (permit.engine.name,) if keep else ()
        return None

    def _abandon(self, reason: str) -> ItemOutcome:
        LOG.info(
            "item given up",
            job=self._head.job_id,
            item=self._item.item_id,
            reason=reason,
            failures=self._progress.failures,
        )
        return ItemOutcome(
            self._index, self._item.item_id, ItemState.ABANDONED
        )

    def _complete(self, engine: str, proof: End) -> ItemOutcome:
        LOG.info(
            "item done",
            job=self._head.job_id,
            item=self._item.item_id,
            engine=engine,
            events=len(self._progress.event_texts),
            last=self._progress.last,
            revoked=self._revoked,
            proof=proof.value,
            **self._framing,
        )
        output = "\n".join(self._progress.event_texts)
        self._progress.event_texts.clear()
        # One wide character widens all others of a string.
        self.output.resize(sys.getsizeof(output))
        return ItemOutcome(
            self._index, self._item.item_id, ItemState.COMPLETED, output
        )


__all__ = ["Ended", "ItemRun", "Pause"]
