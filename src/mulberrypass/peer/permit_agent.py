"""A holder's permit requests and permits, managed on the peer loop."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from mulberrypass.model.jsonable import jsonable
from mulberrypass.peer.owner_reports import OwnerReports
from mulberrypass.peer.permit_request import PermitRequest, RequestState
from mulberrypass.policy.admission.without_owner import LocalShare
from mulberrypass.policy.messages import (
    FirstToken,
    Grant,
    LimitReport,
    PaceReport,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    Withdraw,
)
from mulberrypass.policy.verdicts import AwaitedVerdicts
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from mulberrypass.peer.owner_events import OwnerReply
    from mulberrypass.peer.permit_routes import CellRoutes
    from mulberrypass.peer.permit_session import OwnerSession
    from mulberrypass.peer.permit_session_registry import OwnerSessionRegistry
    from mulberrypass.policy.admission.cells import CellKey
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
FAIL_OPEN_AFTER_S = 0.3
# While online work waits, an unresponsive owner must be detected within
# FAIL_OPEN_AFTER_S.
URGENT_TICK_S = 0.05
URGENT_PING_S = 0.15
# Running work and waiting batch work can wait longer for a reply.
NORMAL_TICK_S = 0.25
NORMAL_PING_S = 1.0
RECONNECT_AFTER_S = 2.0
DEADLINE_GRACE_S = 0.1
RETRY_AFTER_S = 1.0
NOT_OWNER_REASONS = (RefusalReason.NOT_OWNER, RefusalReason.DRAINING)


class PermitAgent:
    """Sends permit requests to owners, and fails over if an owner is lost."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        routes: CellRoutes,
        sessions: OwnerSessionRegistry,
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
        self._local_share = LocalShare()
        self._reports = OwnerReports()
        self._requests: dict[str, PermitRequest] = {}
        self._unjudged: AwaitedVerdicts[str] = AwaitedVerdicts()
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    def stop(self) -> None:
        """Close all connections and refuse waiting requests."""
        self._sessions.stop()
        self._stopped = True
        for request in list(self._requests.values()):
            self._refuse(request, RefusalReason.DRAINING)

    def handle(self, call: PermitRequest | HolderMessage) -> None:
        """Handle a new request, or a message on an earlier one."""
        match call:
            case PermitRequest():
                self._on_ask(call)
            case Withdraw(ask_id=ask_id):
                self._on_withdraw(ask_id)
            case FirstToken(ask_id=ask_id):
                self._on_first_token(ask_id, call)
            case Release(ask_id=ask_id):
                self._on_release(ask_id, call)
            case LimitReport():
                self._on_limit(call)
            case PaceReport():
                pass

    def flush(self) -> None:
        """Send the messages queued by the calls handled."""
        self._sessions.flush()

    def _on_ask(self, request: PermitRequest) -> None:
        self._requests[request.ask.ask_id] = request
        if self._stopped:
            self._refuse(request, RefusalReason.DRAINING)
            return
        self._route(request)
        self._schedule_tick(URGENT_TICK_S if request.online else NORMAL_TICK_S)

    def _on_withdraw(self, ask_id: str) -> None:
        request = self._requests.get(ask_id)
        if request is None:
            return
        self._sessions.send(request.owner, Withdraw(ask_id))
        self._refuse(request, RefusalReason.DEADLINE)

    def _on_first_token(self, ask_id: str, message: FirstToken) -> None:
        request = self._requests.get(ask_id)
        if request is not None and not request.waiting:
            request.prefilled = True
            self._sessions.send(request.owner, message)

    def _on_release(self, ask_id: str, message: Release) -> None:
        """Release a permit, or pass a verdict on to its last owner."""
        request = self._requests.get(ask_id)
        now = self._clock()
        if request is None:
            owner = self._unjudged.take(message, now)
            if owner is not None:
                self._sessions.send(owner, message)
        elif not request.waiting:
            self._sessions.send(request.owner, message)
            cancelled = message.outcome is ReleaseOutcome.CANCELLED
            if cancelled and not request.local:
                self._unjudged.put(ask_id, request.owner, now)
            self._finish(request)

    def _on_limit(self, report: LimitReport) -> None:
        now = self._clock()
        self._reports.limits.note(report.backend, report.requests_per_s, now)
        request = self._requests.get(report.ask_id)
        if request is not None and not request.waiting:
            self._sessions.send(request.owner, report)

    def _compare(self, session: OwnerSession, grant: Grant) -> None:
        """Learn from a grant, and tell its owner what it doesn't know."""
        now = self._clock()
        for report in self._reports.on_grant(session.owner, grant, now):
            self._sessions.send(session.owner, report)

    def _route(self, request: PermitRequest) -> None:
        """Send a request to a cell's owner, or fail open without one."""
        ask = request.ask
        key = self._routes.choose(
            ask.pool, self._is_responsive, request.online
        )
        if key is None:
            self._refuse(request, RefusalReason.NO_BACKEND)
            return
        request.cell = key
        if self._is_responsive(key):
            request.owner = self._routes.owner(key)
            self._send(request)
        elif ask.repeat:
            # Nobody knows whether there is room to spare.
            self._refuse(request, RefusalReason.NO_SPARE)
        else:
            self._fail_open(request)

    def _send(self, request: PermitRequest) -> None:
        """Send a request, or a report of its permit in use, to its owner."""
        request.sent_at = self._clock()
        self._sessions.send(request.owner, request.message(request.sent_at))

    def _is_responsive(self, key: CellKey) -> bool:
        """Return whether a cell has an owner that replied recently."""
        session = self._sessions.get(self._routes.owner(key))
        if session is None:
            return False
        return session.silent_s(self._clock()) < FAIL_OPEN_AFTER_S

    def _fail_open(self, request: PermitRequest) -> bool:
        """Grant online work a slot of the local share; batch work waits."""
        if not request.online or request.cell is None:
            return False
        if request.ask.repeat:
            self._sessions.send(request.owner, Withdraw(request.ask.ask_id))
            self._refuse(request, RefusalReason.NO_SPARE)
            return True
        backends = self._routes.backends(request.cell)
        members = len(self._routes.live_names())
        now = self._clock()
        allowed = [
            backend
            for backend in backends
            if self._reports.limits.admits_local(backend.name, members, now)
        ]
        backend = self._local_share.choose(request.ask, allowed, members)
        if backend is None:
            return False
        self._reports.limits.take_local(backend, now)
        request.local = True
        self._local_share.acquire(backend)
        self._metrics.count(Decision.FAIL_OPEN)
        request.owner = request.owner or self._routes.owner(request.cell)
        self._sessions.send(request.owner, Withdraw(request.ask.ask_id))
        self._grant(request, backend)
        self._send(request)
        return True

    def _grant(self, request: PermitRequest, backend: str) -> None:
        request.state = RequestState.RUNNING
        request.backend = backend
        limit_per_s = self._reports.limits.per_s(backend, self._clock())
        grant = Grant(request.ask.ask_id, backend, limit_per_s)
        self._resolve(request, grant)

    def _refuse(self, request: PermitRequest, reason: RefusalReason) -> None:
        self._finish(request)
        ask_id = request.ask.ask_id
        self._resolve(request, Refuse(ask_id, reason, RETRY_AFTER_S))

    def _resolve(self, request: PermitRequest, answer: Grant | Refuse) -> None:
        if request.answer.done():
            return
        if request.answer.set_running_or_notify_cancel():
            request.answer.set_result(answer)

    def _finish(self, request: PermitRequest) -> None:
        self._requests.pop(request.ask.ask_id, None)
        if request.local:
            request.local = False
            self._local_share.release(request.backend)

    def _on_reply(self, session: OwnerSession, reply: OwnerReply) -> None:
        self._routes.loads.update(reply.loads)
        for message in reply.messages:
            self._on_message(session, message)
        self._sessions.flush()

    def _on_message(
        self, session: OwnerSession, message: OwnerMessage
    ) -> None:
        request = self._requests.get(message.ask_id)
        match message:
            case Grant(ask_id=ask_id, backend=backend):
                self._compare(session, message)
                self._on_grant(session, request, ask_id, backend)
            case Refuse() if request and request.owner == session.owner:
                self._on_refuse(request, message)
            case Revoke() if request and not request.waiting:
                self._on_revoked(request)

    def _on_grant(
        self,
        session: OwnerSession,
        request: PermitRequest | None,
        ask_id: str,
        backend: str,
    ) -> None:
        """Use the first grant of a request; release others as unused."""
        unused = Release(ask_id, ReleaseOutcome.UNUSED)
        if request is None:
            self._sessions.send(session.owner, unused)
        elif request.waiting:
            request.owner = session.owner
            self._grant(request, backend)
            if request.answer.cancelled():
                self._sessions.send(session.owner, unused)
                self._finish(request)
        elif request.owner != session.owner:
            self._sessions.send(session.owner, unused)
        elif request.backend != backend:
            self._sessions.send(session.owner, unused)
            self._send(request)

    def _on_refuse(self, request: PermitRequest, refuse: Refuse) -> None:
        """Pass on a refusal, or route again if the member is not the owner."""
        if refuse.reason in NOT_OWNER_REASONS:
            request.owner = ""
            if request.refused_at is None:
                request.refused_at = self._clock()
        elif request.waiting:
            self._finish(request)
            self._resolve(request, refuse)

    def _on_revoked(self, request: PermitRequest) -> None:
        if request.revoked:
            return
        request.revoked = True
        try:
            request.on_revoke()
        except Exception:
            LOG.exception("holder failed on a revoke")

    def _on_open(self, session: OwnerSession) -> None:
        """Send an owner all its requests and permits on a new connection."""
        for report in self._reports.for_new_owner(self._clock()):
            self._sessions.send(session.owner, report)
        for request in self._requests.values():
            if request.owner == session.owner:
                self._send(request)
        self._sessions.flush()

    def reroute(self) -> None:
        """Send requests and permits to their new owners after a change."""
        self._routes.invalidate_members()
        self._sessions.close_stale()
        for request in list(self._requests.values()):
            if request.waiting:
                self._reroute_waiting(request)
            else:
                self._reroute_running(request)
        self._sessions.flush()

    def _reroute_waiting(self, request: PermitRequest) -> None:
        key = request.cell
        if key is None or key not in self._routes.cells(request.ask.pool):
            self._sessions.send(request.owner, Withdraw(request.ask.ask_id))
            self._route(request)
            return
        owner = self._routes.owner(key)
        if owner and owner != request.owner:
            self._sessions.send(request.owner, Withdraw(request.ask.ask_id))
            request.owner = owner
            self._send(request)

    def _reroute_running(self, request: PermitRequest) -> None:
        key = self._routes.cell_of(request.ask.pool, request.backend)
        if key is None:
            return
        owner = self._routes.owner(key)
        if owner and (owner != request.owner or key != request.cell):
            request.cell = key
            request.owner = owner
            self._send(request)

    def _schedule_tick(self, seconds: float) -> None:
        """Schedule a tick within a time, unless an earlier one is due."""
        due_at = self._loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due_at, self._tick)

    def _tick(self) -> None:
        """Check all requests and owners; repeat while there are requests."""
        self._timer = None
        now = self._clock()
        for request in list(self._requests.values()):
            if request.waiting:
                self._check_waiting(request, now)
            elif not request.owner:
                self._reroute_running(request)
        urgent = {r.owner for r in self._requests.values() if r.urgent}
        others = {r.owner for r in self._requests.values()} - urgent
        self._sessions.check_liveness(
            urgent, now, URGENT_PING_S, RECONNECT_AFTER_S
        )
        self._sessions.check_liveness(
            others, now, NORMAL_PING_S, RECONNECT_AFTER_S
        )
        self._sessions.flush()
        if self._requests:
            self._schedule_tick(URGENT_TICK_S if urgent else NORMAL_TICK_S)

    def _check_waiting(self, request: PermitRequest, now: float) -> None:
        if request.answer.cancelled():
            self._sessions.send(request.owner, Withdraw(request.ask.ask_id))
            self._finish(request)
        elif now > request.deadline + DEADLINE_GRACE_S:
            self._on_withdraw(request.ask.ask_id)
        elif self._is_unanswered(request, now) and self._fail_open(request):
            return
        elif not request.owner:
            self._route(request)
        elif now - request.sent_at > request.resend_s:
            self._send(request)

    def _is_unanswered(self, request: PermitRequest, now: float) -> bool:
        """Return whether a request has waited too long for an owner."""
        if request.refused_at is not None and not request.owner:
            return now - request.refused_at >= FAIL_OPEN_AFTER_S
        return request.cell is not None and not self._is_responsive(
            request.cell
        )

    def state(self) -> dict[str, Any]:
        """Return request counts, local permits, connections and cell loads."""
        requests = self._requests.values()
        return {
            "asks": dict(Counter(r.state.value for r in requests)),
            "local": self._local_share.running(),
            "owners": self._sessions.state(),
            "loads": jsonable(self._routes.loads),
        }


__all__ = ["PermitAgent"]
