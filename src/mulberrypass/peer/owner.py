"""The owner of pool cells: admits work of all holders to the engines."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import Future
import queue
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.peer.owner_events import (
    CacheHint,
    HolderConnected,
    HolderDisconnected,
    HolderSession,
    MessagesReceived,
    OwnerReply,
    Refresh,
    StateRequest,
    Stop,
    VersionsLoaded,
)
from mulberrypass.peer.permit_cells import OwnedCells
from mulberrypass.policy.admission.cells import parse_cell_name
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import (
    Ask,
    Grant,
    LimitReport,
    PaceReport,
    RefusalReason,
    Refuse,
    Revoke,
)
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypass.model.member import Member
    from mulberrypass.model.objects import Configuration
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.api import Membership
    from mulberrypass.peer.owner_events import OwnerEvent
    from mulberrypass.policy.admission.cell import CellDecision
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
QUEUED_TICK_S = 0.01
IDLE_TICK_S = 0.1
REFRESH_INTERVAL_S = 1.0
MIN_REFRESH_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 5.0
LOAD_LOG_INTERVAL_S = 0.5
REFUSAL_DECISIONS = {
    RefusalReason.DEADLINE: Decision.REFUSED_DEADLINE,
    RefusalReason.QUEUE_FULL: Decision.REFUSED_QUEUE_FULL,
    RefusalReason.CUSTOMER_LIMIT: Decision.REFUSED_CUSTOMER_LIMIT,
    RefusalReason.NO_BACKEND: Decision.REFUSED_NO_BACKEND,
}


class CellOwner:
    """The thread that owns all cells of this process."""

    def __init__(
        self,
        me: Member,
        membership: Membership,
        configuration: ConfigurationSource,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        settings: CellSettings | None = None,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._metrics = metrics
        self._clock = clock
        self._inbox: queue.Queue[OwnerEvent] = queue.Queue()
        self._cells = OwnedCells(
            me.name, membership, settings or CellSettings()
        )
        self._sessions: dict[str, HolderSession] = {}
        self._outgoing: dict[str, list[OwnerMessage]] = {}
        self._counts: Counter[Decision] = Counter()
        self._next_refresh_at = 0.0
        self._last_refresh_at = -MIN_REFRESH_INTERVAL_S
        self._next_tick_at = 0.0
        self._loads_logged_at = 0.0
        self._thread = threading.Thread(
            target=self._run, name="cell-owner", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._membership.subscribe(self.refresh)
        self._configuration.subscribe(self._on_configuration)
        self._thread.start()

    def stop(self) -> None:
        """End the thread and refuse queued requests."""
        self._inbox.put(Stop())
        self._thread.join(STOP_TIMEOUT_S)

    def connect(
        self, holder: str, deliver: Callable[[OwnerReply], None]
    ) -> HolderSession:
        """Register a holder's connection.

        :param deliver: called with replies on the owner's thread; must not
            block
        """
        session = HolderSession(holder, deliver)
        self._inbox.put(HolderConnected(session))
        return session

    def disconnect(self, session: HolderSession) -> None:
        """Remove a holder's connection."""
        self._inbox.put(HolderDisconnected(session))

    def receive(
        self, session: HolderSession, messages: Iterable[HolderMessage]
    ) -> None:
        """Queue a holder's messages.

        Each batch that is empty or contains an ``Ask`` gets a reply. The
        ``pool`` of an ``Ask`` holds the name of the cell here.
        """
        self._inbox.put(MessagesReceived(session, tuple(messages)))

    def refresh(self) -> None:
        """Schedule an update of the cells to the members and configuration."""
        self._inbox.put(Refresh())

    def report_loaded(self, backend: str, versions: frozenset[str]) -> None:
        """Record which versions a backend server has in memory."""
        self._inbox.put(VersionsLoaded(backend, versions))

    def cache_hint(self, backend: str, stored: bool, block: int) -> None:
        """Record an engine's report on one block of its prefix cache."""
        self._inbox.put(CacheHint(backend, stored, block))

    def state(self) -> dict[str, Any]:
        """Return cells with queues, permits and engine scores, and holders."""
        request = StateRequest(Future())
        self._inbox.put(request)
        return request.state.result(STOP_TIMEOUT_S)

    def _on_configuration(self, _cfg: Configuration) -> None:
        self.refresh()

    def _run(self) -> None:
        running = True
        while running:
            try:
                running = self._step()
            except Exception:
                LOG.exception("owner failed on a step")

    def _step(self) -> bool:
        """Handle queued events and send replies; return whether to go on."""
        running = True
        for event in self._next_events():
            try:
                running = self._handle_event(event, self._clock()) and running
            except Exception:
                LOG.exception("owner failed on a message")
        now = self._clock()
        if now >= self._next_refresh_at:
            self._refresh(now)
        if now >= self._next_tick_at:
            self._tick(now)
        if any(cell.queueing for cell in self._cells):
            self._next_tick_at = min(self._next_tick_at, now + QUEUED_TICK_S)
        if not running:
            self._queue_decisions(self._cells.close())
        self._flush()
        return running

    def _next_events(self) -> list[OwnerEvent]:
        timeout = max(0.0, self._next_tick_at - self._clock())
        try:
            events = [self._inbox.get(timeout=timeout)]
        except queue.Empty:
            return []
        while not self._inbox.empty():
            events.append(self._inbox.get_nowait())
        return events

    def _handle_event(self, event: OwnerEvent, now: float) -> bool:
        match event:
            case MessagesReceived(session=session, messages=messages):
                self._on_messages(session, messages, now)
            case HolderConnected(session=session):
                self._on_connected(session, now)
            case HolderDisconnected(session=session):
                self._on_disconnected(session, now)
            case Refresh():
                self._schedule_refresh(now)
            case VersionsLoaded(backend=backend, versions=versions):
                self._cells.loaded[backend] = versions
                self._schedule_refresh(now)
            case CacheHint(backend=backend, stored=stored, block=block):
                for cell in self._cells:
                    cell.cache_hint(backend, stored, block)
            case StateRequest(state=state):
                state.set_result(self._state())
            case Stop():
                return False
        return True

    def _on_messages(
        self,
        session: HolderSession,
        messages: tuple[HolderMessage, ...],
        now: float,
    ) -> None:
        if not messages:
            self._outgoing.setdefault(session.holder, [])
        for message in messages:
            if isinstance(message, Ask):
                self._outgoing.setdefault(session.holder, [])
                self._on_ask(message, now)
                continue
            if isinstance(message, LimitReport | PaceReport):
                for cell in self._cells:
                    self._queue_decisions(cell.handle(message, now))
                continue
            for cell in self._cells:
                if cell.knows(message.ask_id):
                    self._queue_decisions(cell.handle(message, now))
                    break

    def _on_ask(self, ask: Ask, now: float) -> None:
        key = parse_cell_name(ask.pool)
        cell = self._cells.get(key) if key else None
        if key is None or cell is None:
            refuse = Refuse(ask.ask_id, RefusalReason.NOT_OWNER, 0.0)
            self._outgoing.setdefault(ask.holder, []).append(refuse)
            return
        self._queue_decisions(cell.handle(ask, now))
        if ask.ask_id in cell.queued(ask.work_class):
            self._counts[Decision.QUEUED] += 1

    def _on_connected(self, session: HolderSession, now: float) -> None:
        """Register a new connection.

        Queued requests of an earlier one are dropped, because the holder
        sends all its requests and permits again.
        """
        for cell in self._cells:
            self._queue_decisions(cell.holder_lost(session.holder, now))
        self._sessions[session.holder] = session
        self._outgoing[session.holder] = []

    def _on_disconnected(self, session: HolderSession, now: float) -> None:
        if self._sessions.get(session.holder) is not session:
            return
        del self._sessions[session.holder]
        for cell in self._cells:
            self._queue_decisions(cell.holder_lost(session.holder, now))

    def _tick(self, now: float) -> None:
        for cell in self._cells:
            self._queue_decisions(cell.tick(now))
        self._cells.log_health()
        self._cells.log_limits()
        self._cells.log_paces(now)
        if now >= self._loads_logged_at + LOAD_LOG_INTERVAL_S:
            self._loads_logged_at = now
            self._cells.log_loads()
            self._cells.log_shares()
        # In a large fleet most members own no cell and have nothing to do
        # between refreshes.
        idle_s = IDLE_TICK_S if len(self._cells) else REFRESH_INTERVAL_S
        self._next_tick_at = min(now + idle_s, self._next_refresh_at)

    def _schedule_refresh(self, now: float) -> None:
        """Schedule a refresh, at most one per ``MIN_REFRESH_INTERVAL_S``."""
        at = max(now, self._last_refresh_at + MIN_REFRESH_INTERVAL_S)
        self._next_refresh_at = min(self._next_refresh_at, at)
        self._next_tick_at = min(self._next_tick_at, at)

    def _refresh(self, now: float) -> None:
        self._last_refresh_at = now
        self._next_refresh_at = now + REFRESH_INTERVAL_S
        cfg = self._configuration.current()
        self._queue_decisions(self._cells.refresh(cfg, self._sessions, now))

    def _state(self) -> dict[str, Any]:
        return {
            "cells": self._cells.state(self._clock()),
            "holders": sorted(self._sessions),
            "inbox": self._inbox.qsize(),
        }

    def _queue_decisions(self, decisions: Iterable[CellDecision]) -> None:
        for decision in decisions:
            messages = self._outgoing.setdefault(decision.holder, [])
            messages.append(decision.message)
            self._count(decision.message)

    def _count(self, message: OwnerMessage) -> None:
        match message:
            case Grant():
                self._counts[Decision.ADMITTED] += 1
            case Revoke():
                self._counts[Decision.REVOKED] += 1
            case Refuse(reason=reason) if reason in REFUSAL_DECISIONS:
                self._counts[REFUSAL_DECISIONS[reason]] += 1

    def _flush(self) -> None:
        outgoing, self._outgoing = self._outgoing, {}
        if not outgoing:
            return
        loads = self._cells.loads(self._clock())
        for holder, messages in outgoing.items():
            session = self._sessions.get(holder)
            if session is not None:
                session.deliver(OwnerReply(tuple(messages), loads))
        for decision, count in self._counts.items():
            self._metrics.count(decision, count)
        self._counts.clear()


__all__ = ["CellOwner"]
