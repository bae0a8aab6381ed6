"""Asks for engines for waiting items, and runs those that got one."""

from __future__ import annotations

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.batches.held_output import ITEMS
from mulberrypass.batches.run import Ended, Pause
from mulberrypass.policy.batches.waiting import WaitingItems
from mulberrypass.relay.permits import HeldPermit, PendingPermit
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.batches.run import ItemRun
    from mulberrypass.model.batch_jobs import ItemOutcome
    from mulberrypass.model.objects import Configuration
    from mulberrypass.relay.directory import Directory
    from mulberrypass.relay.whole_body import HeldBodies

LOG = get_logger(__name__)
MAX_RUNNING_ITEMS = 48
# How soon an ended job, an expired item or an output that must yield is seen.
SWEEP_S = 0.25
RETRY_S = 0.05
# After which an item without output tries another service of its route; the
# engines of the first may be gone, though they are still listed.
SERVICE_WAIT_S = 1.0


@dataclass(slots=True, eq=False)
class QueuedItem:
    """An item that is to run on this member.

    :param due_at: Unix time at which it is due; orders the items
    :param is_needed: whether it waits for its outcome, and may run
    :param find_service: returns the service for its first ask; empty without
        a route
    :param make_run: called before the first ask
    :param on_begun: called when it runs for the first time
    :param on_ended: called with its outcome, once
    :ivar pending: the ask that waits for its answer
    :ivar begun: whether it has run at an engine
    :ivar running: whether it runs at one now
    :ivar ended: whether it has left the dispatcher
    """

    due_at: float
    is_needed: Callable[[], bool]
    find_service: Callable[[], str]
    make_run: Callable[[], ItemRun]
    on_begun: Callable[[], None]
    on_ended: Callable[[ItemRun | None, ItemOutcome | None], None]
    run: ItemRun | None = field(default=None, init=False)
    pending: PendingPermit | None = field(default=None, init=False)
    begun: bool = field(default=False, init=False)
    running: bool = field(default=False, init=False)
    ended: bool = field(default=False, init=False)

    @property
    def service(self) -> str:
        """The service to ask next; empty without a route."""
        run = self.run
        return self.find_service() if run is None else run.find_service()


class ItemDispatcher:
    """Runs items in order of due time, as their services take work.

    Only items that run at an engine take one of the places of this member.
    Each service has at most as many asks for engines as there are free
    places; its other items wait, and none waits for those of another service.

    Callbacks run on its threads and must not block. Safe on any thread.
    """

    def __init__(self, directory: Directory, bodies: HeldBodies) -> None:
        self._directory = directory
        self._bodies = bodies
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._news: deque[tuple[QueuedItem, PendingPermit | Pause | Ended]] = (
            deque()
        )
        self._items: set[QueuedItem] = set()
        self._waiting: WaitingItems[QueuedItem] = WaitingItems()
        self._asked: dict[str, set[QueuedItem]] = {}
        self._running = 0
        self._sweep_at = 0.0
        self._directory_changed = False
        self._stopped = False
        self._pool = ThreadPoolExecutor(MAX_RUNNING_ITEMS, "item")
        self._thread = threading.Thread(
            target=self._loop, name="item-dispatcher", daemon=True
        )

    def start(self) -> None:
        """Start asking for engines."""
        self._directory.subscribe(self._on_directory)
        self._thread.start()

    def stop(self) -> None:
        """Stop; items that run at an engine see it by ``is_needed``."""
        self._stopped = True
        self._wake.set()

    def add(self, item: QueuedItem) -> None:
        """Add an item."""
        with self._lock:
            self._items.add(item)
            self._enqueue(item)
        self._wake.set()

    def drop_waiting(self) -> None:
        """Drop the items that have never run at an engine."""
        with self._lock:
            for item in [item for item in self._items if not item.begun]:
                self._withdraw(item)
                if item.run is not None:
                    item.run.close()
                self._settle(item, Ended(None))
            self._forget_ended()

    def _on_directory(self, _configuration: Configuration) -> None:
        self._directory_changed = True
        self._wake.set()

    def _loop(self) -> None:
        while not self._stopped:
            self._wake.wait(self._idle_s())
            self._wake.clear()
            try:
                with self._lock:
                    self._step()
            except Exception:
                LOG.exception("item dispatcher failed")
        self.drop_waiting()

    def _idle_s(self) -> float | None:
        """Return how long nothing is due; ``None`` without an item."""
        if not self._items:
            return None
        now = time.monotonic()
        due_at = min(self._sweep_at, self._waiting.resume_at)
        return max(0.0, due_at - now)

    def _step(self) -> None:
        while self._news:
            item, news = self._news.popleft()
            if not item.ended:
                self._handle(item, news)
        if self._directory_changed:
            self._directory_changed = False
            self._leave_lost_services()
        now = time.monotonic()
        for _, item in self._waiting.resumed(now):
            self._enqueue(item)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_S
            self._sweep(now)
        self._ask()

    def _leave_lost_services(self) -> None:
        """Let items whose service takes no work wait for another one."""
        for service in self._waiting.services:
            if not self._directory.takes_work(service):
                for item in self._waiting.pop_service(service):
                    self._enqueue(item)

    def _handle(
        self, item: QueuedItem, news: PendingPermit | Pause | Ended
    ) -> None:
        """Handle the answer to an ask, or the end of an attempt."""
        match news:
            case PendingPermit():
                if news is item.pending:
                    self._on_answer(item, news)
            case _:
                item.running = False
                self._running -= 1
                self._settle(item, news)

    def _on_answer(self, item: QueuedItem, pending: PendingPermit) -> None:
        run = item.run
        assert run is not None
        self._forget_ask(item)
        try:
            result = run.take(pending)
        except Exception:
            LOG.exception("answer not handled", ask=pending.ask_id)
            run.close()
            result = Ended(None)
        match result:
            case HeldPermit() as permit:
                self._start(item, run, permit)
            case _:
                self._settle(item, result)

    def _start(
        self, item: QueuedItem, run: ItemRun, permit: HeldPermit
    ) -> None:
        """Run an item if there is a place, which others may have taken."""
        if self._running >= MAX_RUNNING_ITEMS:
            permit.release_unused()
            self._settle(item, Pause(RETRY_S))
            return
        self._running += 1
        item.running = True
        if not item.begun:
            item.begun = True
            item.on_begun()
        self._pool.submit(self._attempt, item, run, permit)

    def _attempt(
        self, item: QueuedItem, run: ItemRun, permit: HeldPermit
    ) -> None:
        """Run an item at an engine; called on a pool thread."""
        result: Pause | Ended = Ended(None)
        try:
            result = run.attempt(permit)
        except Exception:
            LOG.exception("item failed", engine=permit.engine.name)
            run.close()
        self._news.append((item, result))
        self._wake.set()

    def _settle(self, item: QueuedItem, result: Pause | Ended) -> None:
        """Let an item wait, or end it."""
        match result:
            case Pause(seconds=seconds):
                until = time.monotonic() + seconds
                self._waiting.pause(until, item.due_at, item)
            case Ended(outcome=outcome):
                item.ended = True
                self._items.discard(item)
                item.on_ended(item.run, outcome)

    def _enqueue(self, item: QueuedItem) -> None:
        self._waiting.add(item.service, item.due_at, item)

    def _ask(self) -> None:
        """Ask for engines for the items that are due first."""
        if not self._bodies.has_room(ITEMS):
            return
        for service in self._waiting.services:
            if service and not self._directory.takes_work(service):
                # Asked when the directory changes.
                continue
            self._ask_in_order(service)

    def _ask_in_order(self, service: str) -> None:
        """Ask for the items of a service that are due first.

        An ask for one that is due later makes room for theirs.
        """
        asked = self._asked.setdefault(service, set())
        while True:
            first_due = self._waiting.first_due(service)
            room = MAX_RUNNING_ITEMS - self._running - len(asked)
            if room <= 0:
                last = max(asked, key=_due_at, default=None)
                if last is None or (room == 0 and first_due >= last.due_at):
                    return
                self._withdraw(last)
                self._enqueue(last)
                continue
            item = self._waiting.pop(service)
            if item is None:
                return
            chosen = item.service
            if chosen == service:
                self._ask_for(item)
            else:
                self._waiting.add(chosen, item.due_at, item)

    def _ask_for(self, item: QueuedItem) -> None:
        try:
            if item.run is None:
                item.run = item.make_run()
            result = item.run.ask()
        except Exception:
            LOG.exception("item could not be asked for")
            if item.run is not None:
                item.run.close()
            result = Ended(None)
        match result:
            case PendingPermit() as pending:
                item.pending = pending
                self._asked.setdefault(pending.service, set()).add(item)
                pending.answer.add_done_callback(
                    lambda _answer: self._note_answer(item, pending)
                )
            case _:
                self._settle(item, result)

    def _note_answer(self, item: QueuedItem, pending: PendingPermit) -> None:
        """Note an answer; called on any thread, perhaps at once."""
        self._news.append((item, pending))
        self._wake.set()

    def _withdraw(self, item: QueuedItem) -> None:
        if item.pending is not None and item.run is not None:
            item.run.withdraw(item.pending)
            self._forget_ask(item)

    def _forget_ask(self, item: QueuedItem) -> None:
        if item.pending is not None:
            self._asked[item.pending.service].discard(item)
            item.pending = None

    def _sweep(self, now: float) -> None:
        """Look for items that aren't needed, are late, or have to yield."""
        for item in [item for item in self._items if not item.running]:
            if not item.is_needed():
                self._withdraw(item)
                self._ask_for(item)
            elif item.run is not None:
                self._check_waiting(item, item.run, now)
        self._forget_ended()

    def _check_waiting(
        self, item: QueuedItem, run: ItemRun, now: float
    ) -> None:
        pending = item.pending
        if pending is None:
            run.renew_output()
        elif self._ask_is_void(run, pending, now):
            self._withdraw(item)
            self._settle(item, Pause(RETRY_S))
        elif now >= pending.since + SERVICE_WAIT_S and run.pass_over(pending):
            self._withdraw(item)
            self._enqueue(item)

    def _ask_is_void(
        self, run: ItemRun, pending: PendingPermit, now: float
    ) -> bool:
        late = now >= pending.work.deadline
        return late or run.yielded or not run.may_wait(pending)

    def _forget_ended(self) -> None:
        self._waiting.keep(lambda item: not item.ended)


def _due_at(item: QueuedItem) -> float:
    return item.due_at


__all__ = ["MAX_RUNNING_ITEMS", "ItemDispatcher", "QueuedItem"]
