"""A holder's asks and permits; all of it runs on the peer loop."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from mulberrypass.model.jsonable import jsonable
from mulberrypass.peer.permit_entry import EntryState, PermitEntry
from mulberrypass.peer.permit_fallback import LocalShare
from mulberrypass.policy.messages import (
    FirstToken,
    Grant,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    Withdraw,
)
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from mulberrypass.peer.permit_inbox import OwnerReply
    from mulberrypass.peer.permit_routes import CellRoutes
    from mulberrypass.peer.permit_session import OwnerSession
    from mulberrypass.peer.permit_sessions import OwnerSessions
    from mulberrypass.policy.admission.cells import CellKey
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
FAIL_OPEN_S = 0.3
# While online work waits, a silent owner is noticed within FAIL_OPEN_S.
TICK_S = 0.05
PING_S = 0.15
# Work that runs, and batch work that waits, needs no answer so soon.
CALM_TICK_S = 0.25
CALM_PING_S = 1.0
RESET_S = 2.0
LATE_S = 0.1
RETRY_AFTER_S = 1.0
MOVED = (RefusalReason.NOT_OWNER, RefusalReason.DRAINING)


class PermitAgent:
    """Sends asks to owners, and goes on when an owner is lost."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        routes: CellRoutes,
        sessions: OwnerSessions,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._loop = loop
        self._routes = routes
        self._sessions = sessions
        self._sessions.on_reply = self._on_reply
        self._sessions.on_open = self._on_open
        self._clock = clock
        self._metrics = metrics
        self._share = LocalShare()
        self._entries: dict[str, PermitEntry] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    def stop(self) -> None:
        """End all connections; asks that wait are refused."""
        self._sessions.stop()
        self._stopped = True
        for entry in list(self._entries.values()):
            self._refuse(entry, RefusalReason.DRAINING)

    def take(self, call: PermitEntry | HolderMessage) -> None:
        """Take in an ask, or what its caller tells of it."""
        match call:
            case PermitEntry():
                self._on_ask(call)
            case Withdraw(ask_id=ask_id):
                self._on_withdraw(ask_id)
            case FirstToken(ask_id=ask_id):
                self._on_first_token(ask_id, call)
            case Release(ask_id=ask_id):
                self._on_release(ask_id, call)

    def flush(self) -> None:
        """Send what the calls taken in have led to."""
        self._sessions.flush()

    def _on_ask(self, entry: PermitEntry) -> None:
        self._entries[entry.ask.ask_id] = entry
        if self._stopped:
            self._refuse(entry, RefusalReason.DRAINING)
            return
        self._route(entry)
        self._tick_within(TICK_S if entry.online else CALM_TICK_S)

    def _on_withdraw(self, ask_id: str) -> None:
        entry = self._entries.get(ask_id)
        if entry is None:
            return
        self._sessions.send(entry.owner, Withdraw(ask_id))
        self._refuse(entry, RefusalReason.DEADLINE)

    def _on_first_token(self, ask_id: str, message: FirstToken) -> None:
        entry = self._entries.get(ask_id)
        if entry is not None and not entry.waiting:
            entry.prefilled = True
            self._sessions.send(entry.owner, message)

    def _on_release(self, ask_id: str, message: Release) -> None:
        entry = self._entries.get(ask_id)
        if entry is not None and not entry.waiting:
            self._sessions.send(entry.owner, message)
            self._finish(entry)

    def _route(self, entry: PermitEntry) -> None:
        """Send an ask to the owner of a cell, or go on without one."""
        ask = entry.ask
        key = self._routes.choose(ask.pool, self._answers, entry.online)
        if key is None:
            self._refuse(entry, RefusalReason.NO_BACKEND)
            return
        entry.cell = key
        if self._answers(key):
            entry.owner = self._routes.owner(key)
            self._tell(entry)
        else:
            self._fail_open(entry)

    def _tell(self, entry: PermitEntry) -> None:
        """Send an ask to its owner, or tell of the permit in use."""
        entry.sent_at = self._clock()
        self._sessions.send(entry.owner, entry.message(entry.sent_at))

    def _answers(self, key: CellKey) -> bool:
        """Whether a cell has an owner that is not silent for long."""
        session = self._sessions.get(self._routes.owner(key))
        if session is None:
            return False
        return session.silent_s(self._clock()) < FAIL_OPEN_S

    def _fail_open(self, entry: PermitEntry) -> bool:
        """Give online work a slot of the local share; batch work waits."""
        if not entry.online or entry.cell is None:
            return False
        backends = self._routes.backends(entry.cell)
        members = len(self._routes.live_names())
        backend = self._share.choose(entry.ask, backends, members)
        if backend is None:
            return False
        entry.local = True
        self._share.started(backend)
        self._metrics.count(Decision.FAIL_OPEN)
        entry.owner = entry.owner or self._routes.owner(entry.cell)
        self._sessions.send(entry.owner, Withdraw(entry.ask.ask_id))
        self._run(entry, backend)
        self._tell(entry)
        return True

    def _run(self, entry: PermitEntry, backend: str) -> None:
        entry.state = EntryState.RUNNING
        entry.backend = backend
        self._answer(entry, Grant(entry.ask.ask_id, backend))

    def _refuse(self, entry: PermitEntry, reason: RefusalReason) -> None:
        self._finish(entry)
        ask_id = entry.ask.ask_id
        self._answer(entry, Refuse(ask_id, reason, RETRY_AFTER_S))

    def _answer(self, entry: PermitEntry, answer: Grant | Refuse) -> None:
        if entry.answer.done():
            return
        if entry.answer.set_running_or_notify_cancel():
            entry.answer.set_result(answer)

    def _finish(self, entry: PermitEntry) -> None:
        self._entries.pop(entry.ask.ask_id, None)
        if entry.local:
            entry.local = False
            self._share.ended(entry.backend)

    def _on_reply(self, session: OwnerSession, reply: OwnerReply) -> None:
        self._routes.loads.update(reply.loads)
        for message in reply.messages:
            self._on_message(session, message)
        self._sessions.flush()

    def _on_message(
        self, session: OwnerSession, message: OwnerMessage
    ) -> None:
        entry = self._entries.get(message.ask_id)
        match message:
            case Grant(ask_id=ask_id, backend=backend):
                self._on_grant(session, entry, ask_id, backend)
            case Refuse() if entry and entry.owner == session.owner:
                self._on_refuse(entry, message)
            case Revoke() if entry and not entry.waiting:
                self._on_revoked(entry)

    def _on_grant(
        self,
        session: OwnerSession,
        entry: PermitEntry | None,
        ask_id: str,
        backend: str,
    ) -> None:
        """Use a grant once; others for the same ask are given back."""
        unused = Release(ask_id, ReleaseOutcome.UNUSED)
        if entry is None:
            self._sessions.send(session.owner, unused)
        elif entry.waiting:
            entry.owner = session.owner
            self._run(entry, backend)
            if entry.answer.cancelled():
                self._sessions.send(session.owner, unused)
                self._finish(entry)
        elif entry.owner != session.owner:
            self._sessions.send(session.owner, unused)
        elif entry.backend != backend:
            self._sessions.send(session.owner, unused)
            self._tell(entry)

    def _on_refuse(self, entry: PermitEntry, refuse: Refuse) -> None:
        """Pass a refusal on, but for those of members that own not."""
        if refuse.reason in MOVED:
            entry.owner = ""
            if entry.refused_at is None:
                entry.refused_at = self._clock()
        elif entry.waiting:
            self._finish(entry)
            self._answer(entry, refuse)

    def _on_revoked(self, entry: PermitEntry) -> None:
        if entry.revoked:
            return
        entry.revoked = True
        try:
            entry.on_revoke()
        except Exception:
            LOG.exception("holder failed on a revoke")

    def _on_open(self, session: OwnerSession) -> None:
        """Tell an owner of all asks and permits that are its own."""
        for entry in self._entries.values():
            if entry.owner == session.owner:
                self._tell(entry)
        self._sessions.flush()

    def reroute(self) -> None:
        """Tell new owners of what was sent to former ones."""
        self._routes.forget_owners()
        self._sessions.drop_gone()
        for entry in list(self._entries.values()):
            if entry.waiting:
                self._reroute_waiting(entry)
            else:
                self._reroute_running(entry)
        self._sessions.flush()

    def _reroute_waiting(self, entry: PermitEntry) -> None:
        key = entry.cell
        if key is None or key not in self._routes.cells(entry.ask.pool):
            self._sessions.send(entry.owner, Withdraw(entry.ask.ask_id))
            self._route(entry)
            return
        owner = self._routes.owner(key)
        if owner and owner != entry.owner:
            self._sessions.send(entry.owner, Withdraw(entry.ask.ask_id))
            entry.owner = owner
            self._tell(entry)

    def _reroute_running(self, entry: PermitEntry) -> None:
        key = self._routes.cell_of(entry.ask.pool, entry.backend)
        if key is None:
            return
        owner = self._routes.owner(key)
        if owner and (owner != entry.owner or key != entry.cell):
            entry.cell = key
            entry.owner = owner
            self._tell(entry)

    def _tick_within(self, seconds: float) -> None:
        """Look after what there is, so soon or sooner."""
        latest = self._loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= latest:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(latest, self._tick)

    def _tick(self) -> None:
        """Look after asks that wait, while there are any."""
        self._timer = None
        now = self._clock()
        for entry in list(self._entries.values()):
            if entry.waiting:
                self._look_after(entry, now)
            elif not entry.owner:
                self._reroute_running(entry)
        urgent = {e.owner for e in self._entries.values() if e.urgent}
        calm = {e.owner for e in self._entries.values()} - urgent
        self._sessions.look_after(urgent, now, PING_S, RESET_S)
        self._sessions.look_after(calm, now, CALM_PING_S, RESET_S)
        self._sessions.flush()
        if self._entries:
            self._tick_within(TICK_S if urgent else CALM_TICK_S)

    def _look_after(self, entry: PermitEntry, now: float) -> None:
        if entry.answer.cancelled():
            self._sessions.send(entry.owner, Withdraw(entry.ask.ask_id))
            self._finish(entry)
        elif now > entry.deadline + LATE_S:
            self._on_withdraw(entry.ask.ask_id)
        elif self._given_up(entry, now) and self._fail_open(entry):
            return
        elif not entry.owner:
            self._route(entry)
        elif now - entry.sent_at > entry.resend_s:
            self._tell(entry)

    def _given_up(self, entry: PermitEntry, now: float) -> bool:
        """Whether an ask has waited too long for any owner to answer."""
        if entry.refused_at is not None and not entry.owner:
            return now - entry.refused_at >= FAIL_OPEN_S
        return entry.cell is not None and not self._answers(entry.cell)

    def state(self) -> dict[str, Any]:
        """Give the asks, permits and owners' connections."""
        entries = self._entries.values()
        return {
            "asks": dict(Counter(e.state.value for e in entries)),
            "local": self._share.running(),
            "owners": self._sessions.state(),
            "loads": jsonable(self._routes.loads),
        }


__all__ = ["PermitAgent"]
