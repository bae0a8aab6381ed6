"""The owner of pool cells: admits work of all holders to their engines."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import Future
import queue
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.peer.permit_cells import OwnedCells
from mulberrypass.peer.permit_inbox import (
    CacheHint,
    Dump,
    HolderSession,
    Joined,
    Left,
    Loaded,
    OwnerReply,
    Received,
    Refresh,
    Stop,
)
from mulberrypass.policy.admission.cells import parse
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import (
    Ask,
    Grant,
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
    from mulberrypass.peer.permit_inbox import Item
    from mulberrypass.policy.admission.cell import CellDecision
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
BUSY_TICK_S = 0.01
IDLE_TICK_S = 0.1
REFRESH_S = 1.0
MIN_REFRESH_S = 0.05
STOP_TIMEOUT_S = 5.0
SAY_S = 0.5
REFUSED = {
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
        self._inbox: queue.Queue[Item] = queue.Queue()
        self._cells = OwnedCells(
            me.name, membership, settings or CellSettings()
        )
        self._sessions: dict[str, HolderSession] = {}
        self._out: dict[str, list[OwnerMessage]] = {}
        self._counts: Counter[Decision] = Counter()
        self._refresh_at = 0.0
        self._refreshed_at = -MIN_REFRESH_S
        self._tick_at = 0.0
        self._said_at = 0.0
        self._thread = threading.Thread(
            target=self._run, name="cell-owner", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._membership.subscribe(self.refresh)
        self._configuration.subscribe(self._on_configuration)
        self._thread.start()

    def stop(self) -> None:
        """End the thread; queued asks are refused as not run."""
        self._inbox.put(Stop())
        self._thread.join(STOP_TIMEOUT_S)

    def join(
        self, holder: str, deliver: Callable[[OwnerReply], None]
    ) -> HolderSession:
        """Take in a holder's connection."""
        session = HolderSession(holder, deliver)
        self._inbox.put(Joined(session))
        return session

    def leave(self, session: HolderSession) -> None:
        """Note that a holder's connection has ended."""
        self._inbox.put(Left(session))

    def receive(
        self, session: HolderSession, messages: Iterable[HolderMessage]
    ) -> None:
        """Take in a holder's messages.

        Asks get a reply each time, and so does a call without messages.
        An ask names its cell in the place of its pool.
        """
        self._inbox.put(Received(session, tuple(messages)))

    def refresh(self) -> None:
        """Look at members, backend servers and objects again, soon."""
        self._inbox.put(Refresh())

    def report_loaded(self, backend: str, versions: frozenset[str]) -> None:
        """Note which versions a backend server has in memory."""
        self._inbox.put(Loaded(backend, versions))

    def cache_hint(self, backend: str, stored: bool, block: int) -> None:
        """Note an engine's report on one block of its prefix cache."""
        self._inbox.put(CacheHint(backend, stored, block))

    def state(self) -> dict[str, Any]:
        """Give the cells, their queues, permits and engines' scores."""
        dump = Dump(Future())
        self._inbox.put(dump)
        return dump.state.result(STOP_TIMEOUT_S)

    def _on_configuration(self, _cfg: Configuration) -> None:
        self.refresh()

    def _run(self) -> None:
        going = True
        while going:
            try:
                going = self._step()
            except Exception:
                LOG.exception("owner failed on a step")

    def _step(self) -> bool:
        """Take in all that has come, then send; whether to go on."""
        going = True
        for item in self._arrivals():
            try:
                going = self._take(item, self._clock()) and going
            except Exception:
                LOG.exception("owner failed on a message")
        now = self._clock()
        if now >= self._refresh_at:
            self._refresh(now)
        if now >= self._tick_at:
            self._tick(now)
        if any(cell.queueing for cell in self._cells):
            self._tick_at = min(self._tick_at, now + BUSY_TICK_S)
        if not going:
            self._decide(self._cells.close())
        self._flush()
        return going

    def _arrivals(self) -> list[Item]:
        timeout = max(0.0, self._tick_at - self._clock())
        try:
            items = [self._inbox.get(timeout=timeout)]
        except queue.Empty:
            return []
        while not self._inbox.empty():
            items.append(self._inbox.get_nowait())
        return items

    def _take(self, item: Item, now: float) -> bool:
        match item:
            case Received(session=session, messages=messages):
                self._receive(session, messages, now)
            case Joined(session=session):
                self._join(session, now)
            case Left(session=session):
                self._leave(session, now)
            case Refresh():
                self._refresh_soon(now)
            case Loaded(backend=backend, versions=versions):
                self._cells.loaded[backend] = versions
                self._refresh_soon(now)
            case CacheHint(backend=backend, stored=stored, block=block):
                for cell in self._cells:
                    cell.cache_hint(backend, stored, block)
            case Dump(state=state):
                state.set_result(self._state())
            case Stop():
                return False
        return True

    def _receive(
        self,
        session: HolderSession,
        messages: tuple[HolderMessage, ...],
        now: float,
    ) -> None:
        if not messages:
            self._out.setdefault(session.holder, [])
        for message in messages:
            if isinstance(message, Ask):
                self._out.setdefault(session.holder, [])
                self._on_ask(message, now)
                continue
            for cell in self._cells:
                if cell.knows(message.ask_id):
                    self._decide(cell.handle(message, now))
                    break

    def _on_ask(self, ask: Ask, now: float) -> None:
        key = parse(ask.pool)
        cell = self._cells.get(key) if key else None
        if key is None or cell is None:
            refuse = Refuse(ask.ask_id, RefusalReason.NOT_OWNER, 0.0)
            self._out.setdefault(ask.holder, []).append(refuse)
            return
        self._decide(cell.handle(ask, now))
        if ask.ask_id in cell.queued(ask.work_class):
            self._counts[Decision.QUEUED] += 1

    def _join(self, session: HolderSession, now: float) -> None:
        """Take in a connection; it tells of all that its holder has."""
        for cell in self._cells:
            self._decide(cell.holder_gone(session.holder, now))
        self._sessions[session.holder] = session
        self._out[session.holder] = []

    def _leave(self, session: HolderSession, now: float) -> None:
        if self._sessions.get(session.holder) is not session:
            return
        del self._sessions[session.holder]
        for cell in self._cells:
            self._decide(cell.holder_gone(session.holder, now))

    def _tick(self, now: float) -> None:
        for cell in self._cells:
            self._decide(cell.tick(now))
        self._cells.log_health()
        if now >= self._said_at + SAY_S:
            self._said_at = now
            self._cells.log_loads()
        self._tick_at = now + IDLE_TICK_S

    def _refresh_soon(self, now: float) -> None:
        """Refresh now, or when enough time is over since the last time."""
        at = max(now, self._refreshed_at + MIN_REFRESH_S)
        self._refresh_at = min(self._refresh_at, at)
        self._tick_at = min(self._tick_at, at)

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self._refresh_at = now + REFRESH_S
        cfg = self._configuration.current()
        self._decide(self._cells.refresh(cfg, self._sessions, now))

    def _state(self) -> dict[str, Any]:
        return {
            "cells": self._cells.state(),
            "holders": sorted(self._sessions),
            "inbox": self._inbox.qsize(),
        }

    def _decide(self, decisions: Iterable[CellDecision]) -> None:
        for decision in decisions:
            messages = self._out.setdefault(decision.holder, [])
            messages.append(decision.message)
            self._count(decision.message)

    def _count(self, message: OwnerMessage) -> None:
        match message:
            case Grant():
                self._counts[Decision.ADMITTED] += 1
            case Revoke():
                self._counts[Decision.REVOKED] += 1
            case Refuse(reason=reason) if reason in REFUSED:
                self._counts[REFUSED[reason]] += 1

    def _flush(self) -> None:
        out, self._out = self._out, {}
        if not out:
            return
        loads = self._cells.loads()
        for holder, messages in out.items():
            session = self._sessions.get(holder)
            if session is not None:
                session.deliver(OwnerReply(tuple(messages), loads))
        for decision, count in self._counts.items():
            self._metrics.count(decision, count)
        self._counts.clear()


__all__ = ["CellOwner"]
