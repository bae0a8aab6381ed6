"""Acquires and releases the permits of relayed requests."""

from __future__ import annotations

from concurrent.futures import TimeoutError as FutureTimeoutError
import contextlib
from dataclasses import dataclass, field, replace
import itertools
import time
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    LimitReport,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Withdraw,
)
from mulberrypass.policy.online.services import (
    choose_service,
    rank_services,
)
from mulberrypass.relay.crash_guard import CrashGuard, QuarantinedError
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from concurrent.futures import Future

    from mulberrypass.model.routes import RegisteredEngine, RelayRoute
    from mulberrypass.peer.api import PermitClient
    from mulberrypass.policy.health.trials import Trial
    from mulberrypass.policy.messages import WorkClass
    from mulberrypass.relay.directory import Directory

LOG = get_logger(__name__)
# How often a waiting permit request checks whether it was abandoned.
ABANDONED_POLL_S = 0.05
MIN_START_WITHIN_S = 0.001


@value_class
class WorkSpec:
    """Requirements of a request or batch item for an engine.

    :param find: returns the route that is currently in force for the work
    :param routing_key: ranks the services of a route
    :param deadline: monotonic time by which the work must have ended
    :param start_by: monotonic time by which it should have started
    :param request: digest of a request; ``None`` for an item
    :param service: the service that has begun the answer, which no other may
        go on with; empty for any of the route
    :param repeat: whether this is a second run beside one that is late
    """

    find: Callable[[], RelayRoute | None]
    routing_key: str
    customer: str
    work_class: WorkClass
    deadline: float
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...] = ()
    revocable: bool = False
    start_by: float | None = None
    request: int | None = None
    service: str = ""
    repeat: bool = False

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """The prompt's parts that other requests may share."""
        return self.prefix[:-1]


class NoRouteError(Exception):
    """No route leads to a service."""


class NoPermitError(Exception):
    """No permit was granted.

    :param reason: stable reason code
    """

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclass(slots=True, eq=False)
class HeldPermit:
    """A granted permit; released exactly once, and perhaps judged later.

    :param queued_s: how long the permit request waited
    :param parts: parts of the prompt that other requests may share
    :param limit_per_s: limit of the engine when it was granted; 0 for none
    :param request: digest of the request; ``None`` for an item
    :param trials: what the run tries, see ``start_trials``
    :ivar succeeded: whether the answer is no error, as a refusal or an error
        doesn't show that the engine has run the request
    """

    permits: PermitClient
    ask_id: str
    engine: RegisteredEngine
    queued_s: float
    guard: CrashGuard
    parts: tuple[int, ...] = ()
    limit_per_s: float = 0.0
    request: int | None = None
    trials: tuple[Trial, ...] = ()
    sent_at: float = field(default_factory=time.monotonic)
    first_at: float | None = None
    succeeded: bool = True
    released: bool = False
    _unjudged: Release | None = field(default=None, init=False)
    _started: tuple[Trial, ...] = field(default=(), init=False)
    revoked: Callable[[], bool] = lambda: False

    def start_trials(self) -> None:
        """Start the trials right before the request is sent; may block.

        Releases the permit if they may not start.

        :raises QuarantinedError: if another request tries the same
        """
        if not self.trials:
            return
        try:
            self.guard.start_trials(self.trials)
        except QuarantinedError:
            self.release_unused()
            raise
        self._started = self.trials

    def mark_first_event(self, slowness: float = 0.0) -> None:
        """Report the latency of the first event to the owner.

        :param slowness: what the answer says of the engine's moment; 0 if
            unknown
        """
        if self.first_at is None:
            self.first_at = time.monotonic()
            after_s = self.first_at - self.sent_at
            self.permits.tell(FirstToken(self.ask_id, after_s, slowness))
            self._mark_begun()

    def mark_overtaken(self) -> None:
        """Report that the first event takes longer than until now."""
        if self.first_at is None:
            after_s = time.monotonic() - self.sent_at
            self.permits.tell(FirstToken(self.ask_id, after_s))

    def mark_limit(self, per_s: float | None) -> None:
        """Report the limit that the answer names, or that it ends."""
        if per_s is not None and (per_s > 0 or self.limit_per_s > 0):
            self.permits.tell(
                LimitReport(self.ask_id, self.engine.name, per_s)
            )

    def mark_connection_ended(self) -> None:
        """Note that the connection ended before the answer began."""
        if self.first_at is None:
            self.guard.on_connection_ended(
                self.engine, self.parts, self.request
            )

    def _mark_begun(self) -> None:
        self.guard.on_begun(self.engine.service, self.parts, self.request)
        self._end_trials(sent=True, begun=True)

    def _end_trials(self, sent: bool, begun: bool) -> None:
        started, self._started = self._started, ()
        if started:
            self.guard.end_trials(started, sent, begun)

    def release(self, outcome: ReleaseOutcome, tokens: int = 0) -> None:
        """Release the permit; further calls do nothing."""
        if self.released:
            return
        self.released = True
        done = outcome is ReleaseOutcome.DONE and self.succeeded
        if done and self.first_at is None:
            self._mark_begun()
        sent = outcome is not ReleaseOutcome.UNUSED
        self._end_trials(sent, begun=False)
        service_s = time.monotonic() - self.sent_at
        message = Release(self.ask_id, outcome, service_s, tokens)
        self.permits.tell(message)
        if outcome is ReleaseOutcome.CANCELLED:
            self._unjudged = message

    def judge(self, outcome: ReleaseOutcome) -> None:
        """Tell the outcome of a run that was released as cancelled, once."""
        message, self._unjudged = self._unjudged, None
        if message is not None:
            self.permits.tell(replace(message, outcome=outcome))

    def release_unused(self) -> None:
        """Release the permit without a run."""
        self.release(ReleaseOutcome.UNUSED)


@dataclass(slots=True, eq=False)
class PendingPermit:
    """A permit that was asked for.

    :param answer: the owner's answer, see ``PermitClient.ask``
    :param since: when the work began to wait, in monotonic seconds
    """

    ask_id: str
    work: WorkSpec
    service: str
    answer: Future[Grant | Refuse]
    since: float


class PermitAcquirer:
    """Requests permits from pool owners. Safe on any thread.

    :param guard: knows which prompts crash engines
    """

    def __init__(
        self,
        member: str,
        permits: PermitClient,
        directory: Directory,
        guard: CrashGuard | None = None,
    ) -> None:
        self._guard = guard or CrashGuard()
        self._member = member
        self._permits = permits
        self._directory = directory
        self._numbers: Iterator[int] = itertools.count(time.time_ns())

    def acquire(
        self,
        work: WorkSpec,
        avoid: tuple[str, ...],
        abandoned: Callable[[], bool],
        on_revoke: Callable[[], None] | None = None,
    ) -> HeldPermit:
        """Wait for a permit on an engine that may run the work now.

        :param avoid: engines not to choose
        :param abandoned: returns whether the work is no longer needed
        :raises NoRouteError: if no route matches the work any more
        :raises NoPermitError: if no permit is granted in time
        :raises QuarantinedError: if the work would crash the engine
        """
        since = time.monotonic()
        refused: tuple[str, ...] = ()
        while True:
            pending = self.ask(work, avoid, on_revoke, since, refused)
            if not self._wait(pending, abandoned):
                continue
            try:
                match self.take(pending):
                    case HeldPermit() as permit:
                        permit.start_trials()
                        return permit
                    case backend:
                        avoid = (*avoid, backend)
            except NoPermitError as exc:
                refused = (*refused, pending.service)
                if work.service or not self.has_other(work, avoid, refused):
                    raise
                LOG.info(
                    "another service is asked",
                    ask=pending.ask_id,
                    refused=list(refused),
                    reason=exc.reason,
                )

    def ask(
        self,
        work: WorkSpec,
        avoid: tuple[str, ...],
        on_revoke: Callable[[], None] | None = None,
        since: float | None = None,
        refused: tuple[str, ...] = (),
    ) -> PendingPermit:
        """Ask for a permit without waiting for the answer.

        :param since: when the work began to wait; by default now
        :param refused: services to ask only if no other takes work
        :raises NoRouteError: if no route matches the work any more
        :raises QuarantinedError: if the work would crash the engine
        """
        route = work.find()
        if route is None or not route.services:
            raise NoRouteError
        service = self._choose(route, work, avoid, refused)
        self._guard.check(
            service, work.shared_parts, work.request, work.repeat
        )
        ask = self._make_ask(work, service, avoid)
        answer = self._permits.ask(ask, on_revoke or _ignore_revocation)
        asked_at = time.monotonic() if since is None else since
        return PendingPermit(ask.ask_id, work, service, answer, asked_at)

    def choose(
        self,
        route: RelayRoute,
        key: str,
        avoid: tuple[str, ...] = (),
        refused: tuple[str, ...] = (),
        first: str = "",
    ) -> str:
        """Choose the service of a route that is to run work now.

        :param key: ranks the services
        :param avoid: engines that may not run it
        :param refused: services to choose only if no other takes work
        :param first: the service to prefer to all others
        """
        ranked = rank_services(route.services, key)
        ranked.sort(key=lambda name: (name in refused, name != first))
        return choose_service(
            ranked, lambda name: self._directory.takes_work(name, avoid)
        )

    def has_other(
        self, work: WorkSpec, avoid: tuple[str, ...], refused: tuple[str, ...]
    ) -> bool:
        """Return whether a service that has not refused work takes it."""
        route = work.find()
        if route is None:
            return False
        return any(
            name not in refused and self._directory.takes_work(name, avoid)
            for name in rank_services(route.services, work.routing_key)
        )

    def _choose(
        self,
        route: RelayRoute,
        work: WorkSpec,
        avoid: tuple[str, ...],
        refused: tuple[str, ...],
    ) -> str:
        if not work.service:
            return self.choose(route, work.routing_key, avoid, refused)
        if not route.leads_to(work.service):
            raise NoRouteError
        return work.service

    def take(self, pending: PendingPermit) -> HeldPermit | str:
        """Return the permit of an ask that is answered.

        :returns: the name of the granted engine if the work may no longer
            run there
        :raises NoPermitError: if none was granted
        :raises QuarantinedError: if the work would crash the engine
        """
        work, service = pending.work, pending.service
        match pending.answer.result():
            case Refuse(reason=reason, retry_after_s=retry_after_s):
                raise NoPermitError(reason.value, retry_after_s)
            case Grant(backend=backend, limit_per_s=limit_per_s):
                engine = self._usable_engine(work, service, backend)
                if engine is None:
                    self._release_unused(pending.ask_id)
                    return backend
                trials = self._check_granted(pending.ask_id, work, service)
                return HeldPermit(
                    self._permits,
                    pending.ask_id,
                    engine,
                    time.monotonic() - pending.since,
                    self._guard,
                    work.shared_parts,
                    limit_per_s,
                    work.request,
                    trials,
                )

    def may_wait(self, pending: PendingPermit) -> bool:
        """Return whether the route still leads to the service of an ask."""
        route = pending.work.find()
        return route is not None and route.leads_to(pending.service)

    def withdraw(self, pending: PendingPermit) -> None:
        """Withdraw an ask, and release the permit if it was granted."""
        self._permits.tell(Withdraw(pending.ask_id))
        answer = pending.answer
        if answer.done() and isinstance(answer.result(), Grant):
            self._release_unused(pending.ask_id)

    def is_quarantined(
        self,
        route: RelayRoute | None,
        routing_key: str,
        parts: tuple[int, ...],
    ) -> bool:
        """Return whether an item with these parts may not ask now."""
        if route is None or not route.services:
            return False
        service = self.choose(route, routing_key)
        return self._guard.holds(service, parts)

    def _check_granted(
        self, ask_id: str, work: WorkSpec, service: str
    ) -> tuple[Trial, ...]:
        """Check again after the wait; return the trials of the run."""
        try:
            return self._guard.find_trials(
                service, work.shared_parts, work.request, work.repeat
            )
        except QuarantinedError:
            self._release_unused(ask_id)
            raise

    def _make_ask(
        self, work: WorkSpec, service: str, avoid: tuple[str, ...]
    ) -> Ask:
        return Ask(
            ask_id=f"{self._member}/{next(self._numbers)}",
            holder=self._member,
            pool=service,
            customer=work.customer,
            work_class=work.work_class,
            budget_s=max(0.0, work.deadline - time.monotonic()),
            prompt_tokens=work.prompt_tokens,
            output_tokens=work.output_tokens,
            prefix=work.prefix,
            avoid=avoid,
            revocable=work.revocable,
            start_within_s=_start_within_s(work),
            subject=work.prefix[-1] if work.prefix else 0,
            repeat=work.repeat,
        )

    def _wait(
        self, pending: PendingPermit, abandoned: Callable[[], bool]
    ) -> bool:
        """Wait for the answer to an ask.

        :returns: whether there is one; the ask is withdrawn if the route has
            left its service
        :raises NoPermitError: if none comes in time
        """
        while True:
            with contextlib.suppress(FutureTimeoutError):
                pending.answer.result(ABANDONED_POLL_S)
                return True
            late = time.monotonic() >= pending.work.deadline
            if not late and not abandoned():
                if self.may_wait(pending):
                    continue
                self.withdraw(pending)
                return False
            self.withdraw(pending)
            reason = RefusalReason.DEADLINE.value if late else "left"
            raise NoPermitError(reason)

    def _usable_engine(
        self, work: WorkSpec, service: str, backend: str
    ) -> RegisteredEngine | None:
        """Return the granted engine if the work may still run there."""
        route = work.find()
        engine = self._directory.engine(backend)
        if route is None or engine is None:
            return None
        allowed = route.leads_to(service) and engine.service == service
        return engine if allowed else None

    def _release_unused(self, ask_id: str) -> None:
        self._permits.tell(Release(ask_id, ReleaseOutcome.UNUSED))


def _start_within_s(work: WorkSpec) -> float:
    if work.start_by is None:
        return 0.0
    return max(MIN_START_WITHIN_S, work.start_by - time.monotonic())


def _ignore_revocation() -> None:
    """Do nothing; online permits are not revocable."""


__all__ = [
    "HeldPermit",
    "NoPermitError",
    "NoRouteError",
    "PendingPermit",
    "PermitAcquirer",
    "WorkSpec",
]
