"""Runs one item, over several engines if need be, to its outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.model.batch_jobs import ItemOutcome, ItemState
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.batches.order import order_item
from mulberrypass.policy.messages import ReleaseOutcome, WorkClass
from mulberrypass.relay.events import (
    BadEventError,
    EventOrder,
    EventSplitter,
)
from mulberrypass.relay.permits import NoPermitError, NoRouteError, WorkSpec
from mulberrypass.relay.watch import WatchedCall
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.policy.batches.order import ItemPace
    from mulberrypass.relay.api import EngineAnswer, RelayRequest
    from mulberrypass.relay.forward import RelayDependencies
    from mulberrypass.relay.permits import HeldPermit

LOG = get_logger(__name__)
MAX_RUN_S = 120.0
# An engine that answers nothing for so long is left; events come each 25 to
# 300 ms, and items don't wait inside engines.
SILENT_S = 3.0
PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
# The route of a job may be missing for the moment of a change.
ROUTE_GONE_S = 3.0


@dataclass(slots=True)
class Progress:
    """What there is of an item's output.

    :param last: number of the last event; ``None`` before the first
    :param failures: runs that ended with the engine's own error
    """

    pieces: list[str] = field(default_factory=list)
    last: int | None = None
    failures: int = 0
    route_gone_since: float | None = None


class ItemRun:
    """One item on its way; used by one thread.

    :param request: makes the request of an item
    :param over: whether the item has no use any more
    """

    def __init__(
        self,
        tools: RelayDependencies,
        head: JobHead,
        index: int,
        item: BatchItem,
        request: Callable[[JobHead, BatchItem, int | None], RelayRequest],
        over: Callable[[], bool],
        pace: ItemPace,
    ) -> None:
        self._tools = tools
        self._head = head
        self._index = index
        self._item = item
        self._request = request
        self._over = over
        self._pace = pace
        self._progress = Progress()
        self._revoked = False
        self._abort: Callable[[], None] | None = None
        self._avoid: tuple[str, ...] = ()

    def run(self) -> ItemOutcome | None:
        """Run until there is an outcome, or the item has no use."""
        pause_s = PAUSE_S
        while not self._over():
            if self._expired():
                return self._abandon("expired")
            try:
                placement = self._place()
            except NoRouteError:
                if self._route_is_gone():
                    return self._abandon("no route")
                time.sleep(PAUSE_S)
                continue
            except NoPermitError as exc:
                time.sleep(max(PAUSE_S, min(MAX_PAUSE_S, exc.retry_after_s)))
                continue
            self._log_placed(placement)
            try:
                self._attempt(placement)
            except WireError as exc:
                outcome = self._failed(placement, exc.failed)
                if outcome is not None:
                    return outcome
                if not self._revoked:
                    time.sleep(pause_s)
                    pause_s = min(MAX_PAUSE_S, pause_s * 2)
                continue
            return self._outcome(ItemState.COMPLETED, placement.engine.name)
        return None

    # Placing

    def _place(self) -> HeldPermit:
        self._revoked = False
        self._abort = None
        req = self._request(self._head, self._item, None)
        left = self._tokens_left(req)
        due_in_s = self._head.first_s + self._head.due_s - time.time()
        order = order_item(due_in_s, left * self._pace.token_s)
        now = time.monotonic()
        need = WorkSpec(
            find=self._find,
            routing_key=self._item.item_id,
            customer=self._head.host,
            work_class=WorkClass.BATCH,
            deadline=now + order.budget_s,
            start_by=(
                None
                if order.start_within_s is None
                else now + order.start_within_s
            ),
            prompt_tokens=req.prompt_tokens
            + len(self._progress.pieces) * self._event_tokens(),
            output_tokens=left,
            prefix=req.prefix,
            revocable=True,
        )
        return self._tools.acquirer.acquire(
            need, self._avoid, self._over, self._on_revoke
        )

    def _tokens_left(self, req: RelayRequest) -> int:
        """Estimate the tokens that are still to be generated."""
        made = len(self._progress.pieces) * self._event_tokens()
        return max(self._event_tokens(), req.output_tokens - made)

    def _event_tokens(self) -> int:
        table = self._tools.directory.routes()
        route = table.find(self._head.host, self._item.path)
        if route is None or not route.services:
            return 1
        service = table.services.get(route.services[0].service)
        return service.event_tokens if service is not None else 1

    def _find(self) -> RelayRoute | None:
        table = self._tools.directory.routes()
        return table.find(self._head.host, self._item.path)

    def _route_is_gone(self) -> bool:
        if self._tools.directory.routes().version == 0:
            return False
        now = time.monotonic()
        if self._progress.route_gone_since is None:
            self._progress.route_gone_since = now
        return now - self._progress.route_gone_since > ROUTE_GONE_S

    def _expired(self) -> bool:
        return time.time() > self._head.first_s + self._head.retention_s

    def _on_revoke(self) -> None:
        self._revoked = True
        abort = self._abort
        if abort is not None:
            abort()

    def _log_placed(self, placement: HeldPermit) -> None:
        LOG.info(
            "item placed",
            job=self._head.job_id,
            item=self._item.item_id,
            engine=placement.engine.name,
            ask=placement.ask_id,
            queued_ms=round(placement.queued_s * 1_000),
            events=len(self._progress.pieces),
        )

    # One attempt

    def _attempt(self, placement: HeldPermit) -> None:
        """Run the item at an engine, and keep what it answers.

        :raises WireError: where the output is not whole
        """
        self._progress.route_gone_since = None
        watched: WatchedCall | None = None
        answer: EngineAnswer | None = None
        outcome = ReleaseOutcome.FAILED
        events = 0

        def on_open(abort: Callable[[], None]) -> None:
            nonlocal watched
            self._abort = abort
            watched = WatchedCall(self._over, abort)
            self._tools.watch.add(watched)
            if self._revoked:
                abort()

        deadline = Deadline(time.monotonic() + MAX_RUN_S)
        req = self._request(self._head, self._item, self._progress.last)
        try:
            answer = self._tools.engines.send(
                placement.engine,
                req,
                deadline,
                on_open,
                deadline.within(SILENT_S),
            )
            self._check_head(answer, deadline.within(SILENT_S))
            for count in self._read(answer, deadline, placement):
                events += count
            outcome = ReleaseOutcome.DONE
            if req.after_event is None:
                took_s = time.monotonic() - placement.sent_at
                self._pace.observe(req.output_tokens, took_s)
        except BadEventError as exc:
            raise WireError(EngineFailed(str(exc), Ran.MAYBE))
        finally:
            if watched is not None:
                self._tools.watch.remove(watched)
            if answer is not None:
                answer.finish()
            if self._revoked or (watched is not None and watched.ended):
                outcome = ReleaseOutcome.CANCELLED
            placement.release(outcome, events)

    def _check_head(self, answer: EngineAnswer, deadline: Deadline) -> None:
        head = answer.head
        if HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES:
            return
        answer.read_some(deadline)
        ran = Ran.NO if head.not_run else Ran.YES
        raise WireError(
            EngineFailed(f"status {head.status}", ran, status=head.status)
        )

    def _read(
        self, answer: EngineAnswer, deadline: Deadline, placement: HeldPermit
    ) -> list[int]:
        counts = []
        splitter = EventSplitter()
        order = EventOrder(self._progress.last)
        while True:
            data = answer.read_some(deadline.within(SILENT_S))
            if not data:
                break
            events = splitter.feed(data)
            if events:
                placement.mark_first_event()
            for event in events:
                order.accept(event)
                self._progress.last = order.last
                self._progress.pieces.append(
                    event.data.decode("utf-8", "replace")
                )
            counts.append(len(events))
        if splitter.pending:
            raise WireError(EngineFailed("cut in an event", Ran.YES))
        return counts

    # Ends

    def _failed(
        self, placement: HeldPermit, failed: EngineFailed
    ) -> ItemOutcome | None:
        """Decide what follows a failure; an outcome ends the item."""
        LOG.info(
            "item attempt failed",
            job=self._head.job_id,
            item=self._item.item_id,
            engine=placement.engine.name,
            reason=failed.reason,
            revoked=self._revoked,
            events=len(self._progress.pieces),
        )
        if failed.status == HTTPStatus.UNPROCESSABLE_ENTITY:
            return self._abandon("can't be done")
        if failed.status == HTTPStatus.INTERNAL_SERVER_ERROR:
            self._progress.failures += 1
            route = self._find()
            most = route.max_attempts if route is not None else 1
            if self._progress.failures >= most:
                return self._abandon("failed at each run")
        self._avoid = () if self._revoked else (placement.engine.name,)
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

    def _outcome(self, state: ItemState, engine: str) -> ItemOutcome:
        LOG.info(
            "item done",
            job=self._head.job_id,
            item=self._item.item_id,
            engine=engine,
            events=len(self._progress.pieces),
        )
        output = "\n".join(self._progress.pieces)
        return ItemOutcome(self._index, self._item.item_id, state, output)


__all__ = ["ItemRun"]
