"""Runs one batch item to its outcome, with retries on other engines."""

from __future__ import annotations

from http import HTTPStatus
import sys
import time
from typing import TYPE_CHECKING

from mulberrypass.batches.held_output import HeldOutput
from mulberrypass.batches.item_attempt import YIELDED, ItemAttempt
from mulberrypass.batches.item_log import ItemLog
from mulberrypass.batches.item_repeats import ItemRepeats
from mulberrypass.batches.item_work import ItemWork
from mulberrypass.batches.progress import Progress
from mulberrypass.engine.wire import WireError
from mulberrypass.model.batch_jobs import ItemOutcome, ItemState
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.messages import RefusalReason
from mulberrypass.relay.api import part_names
from mulberrypass.relay.crash_guard import QuarantinedError
from mulberrypass.relay.departures import LEAVES
from mulberrypass.relay.doubts import DoubtfulRuns
from mulberrypass.relay.end_proof import End
from mulberrypass.relay.permits import NoPermitError, NoRouteError

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.api import EngineFailed
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.policy.batches.order import ItemPace
    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.forward import RelayDependencies
    from mulberrypass.relay.permits import HeldPermit, PendingPermit

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
        self._work = ItemWork(
            dependencies.directory, head, item, self._progress, pace
        )
        self._doubts = DoubtfulRuns()
        self._revoked = False
        self._delay_s = RETRY_S
        self._attempt: ItemAttempt | None = None
        self._permit: HeldPermit | None = None
        self._connection_ended = False
        self._framing: dict[str, bool] = {}
        self._log = ItemLog(head.job_id, item.item_id)
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
        route = self._work.find_route()
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

    def may_wait(self, pending: PendingPermit) -> bool:
        """Return whether the route still leads to the service of an ask."""
        return self._dependencies.acquirer.may_wait(pending)

    def _refuse(self, pending: PendingPermit) -> bool:
        """Note that a service didn't grant; return whether another may."""
        refused = (*self._refused, pending.service)
        acquirer = self._dependencies.acquirer
        others = acquirer.has_other(pending.work, self._avoid, refused)
        self._refused = refused if others else ()
        if others:
            self._log.write(
                "another service is asked",
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
        self._log.placed(permit, len(self._progress.event_texts))
        return permit

    def withdraw(self, pending: PendingPermit) -> None:
        """Withdraw an ask whose answer isn't needed any more."""
        self._dependencies.acquirer.withdraw(pending)

    def attempt(self, permit: HeldPermit) -> Pause | Ended:
        """Run on an engine; blocks until that has ended."""
        self._permit = permit
        try:
            permit.start_trials()
            end = self._run(permit)
        except QuarantinedError as exc:
            return self._hold_back(exc)
        except WireError as exc:
            permit = self._permit
            self._connection_ended |= exc.failed.closed and not self._revoked
            outcome = self._handle_failure(permit, exc.failed)
            if outcome is not None:
                return self._end(outcome)
            if self._revoked or exc.failed is LEAVES:
                return Pause(0.0)
            delay_s = self._delay_s
            self._delay_s = min(MAX_RETRY_S, delay_s * 2)
            return Pause(delay_s)
        # That of a second run, if it was ahead.
        permit = self._permit
        if end is not End.IN_DOUBT:
            self._doubts.judge(self._progress.last, whole=True)
            return self._end(self._complete(permit.engine.name, end))
        self._log.in_doubt(permit, self._progress.last, self._framing)
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
        self.held_back = True
        self._log.write("item held back", part=exc.part, engines=exc.engines)
        return self._end(None)

    def _run(self, permit: HeldPermit) -> End:
        """Run on an engine; see ``ItemAttempt.run``."""
        self._progress.route_missing_since = None
        attempt = ItemAttempt(
            self._dependencies,
            permit,
            self._progress,
            self.output,
            self._doubts,
            self._pace,
            self._should_stop,
            self._make_repeats(),
        )
        self._attempt = attempt
        if self._revoked:
            attempt.revoke()
        try:
            return attempt.run(self._request(self._progress.resume()))
        finally:
            self._framing = attempt.framing
            self._permit = attempt.permit
            self._revoked = self._revoked or attempt.revoked
            self._attempt = None

    def _make_repeats(self) -> ItemRepeats | None:
        """Return what a second run needs; ``None`` if there may be none.

        The item may be the reason why an engine has ended its connection.
        """
        deps = self._dependencies
        if self._connection_ended or not deps.repeats.are_on(self._service):
            return None
        req, service, work = self._request(None), self._service, self._work
        return ItemRepeats(
            deps.acquirer,
            lambda: work.spec(req, service),
            self._request,
            work.due_in_s,
            lambda: work.remaining_s(req, service),
            self._avoid,
        )

    def _ask(self) -> PendingPermit:
        self._revoked = False
        service = self.find_service()
        if not service:
            raise NoRouteError
        if service != self._service and self._progress.last is not None:
            self._log.write(
                "item begins anew",
                former=self._service,
                service=service,
                events=len(self._progress.event_texts),
            )
            self._progress.begin_anew()
        self._service = service
        work = self._work.spec(self._request(None), service)
        return self._dependencies.acquirer.ask(
            work, self._avoid, self._on_revoke
        )

    def _request(self, after_event: int | None) -> RelayRequest:
        return self._make_request(self._head, self._item, after_event)

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
        attempt = self._attempt
        if attempt is not None:
            attempt.revoke()

    def _handle_failure(
        self, permit: HeldPermit, failed: EngineFailed
    ) -> ItemOutcome | None:
        """Return the outcome if the failure is final, ``None`` to retry."""
        self._log.write(
            "item attempt failed",
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
            route = self._work.find_route()
            # Without a route, the next ask decides.
            failures = self._progress.failures
            if route is not None and failures >= route.max_attempts:
                return self._abandon("failed at each run")
        # The next start of an engine that leaves may have its name.
        keep = not self._revoked and failed is not LEAVES
        self._avoid = (permit.engine.name,) if keep else ()
        return None

    def _abandon(self, reason: str) -> ItemOutcome:
        self._log.write(
            "item given up",
            reason=reason,
            failures=self._progress.failures,
        )
        return ItemOutcome(
            self._index, self._item.item_id, ItemState.ABANDONED
        )

    def _complete(self, engine: str, proof: End) -> ItemOutcome:
        self._log.write(
            "item done",
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
