"""Waits for the permits of one request, and says why there is none."""

from __future__ import annotations

from dataclasses import replace
import time
from typing import TYPE_CHECKING

from mulberrypass.model.routes import ServiceShare
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.access import (
    Allowed,
    UnknownKey,
    check_access,
)
from mulberrypass.policy.messages import RefusalReason, WorkClass
from mulberrypass.relay.api import (
    Failed,
    NoRoute,
    Refused,
    Unauthorized,
    Unservable,
)
from mulberrypass.relay.crash_guard import QuarantinedError
from mulberrypass.relay.permits import NoPermitError, NoRouteError, WorkSpec

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.relay.api import FinalEvent, RelayRequest
    from mulberrypass.relay.directory import Directory
    from mulberrypass.relay.ending import PlannedEnd
    from mulberrypass.relay.permits import HeldPermit, PermitAcquirer
    from mulberrypass.relay.request_log import RequestLog

STOPPING = "stopping"
NO_SECOND_RUN = "no engine for a second run"
MIN_RETRY_AFTER_S = 0.2
# From a free engine slot to the caller's first byte: prefill and two hops.
FIRST_EVENT_LATENCY_S = 0.07
# Before an engine that has failed or refused is asked for a second run.
ASK_AGAIN_S = 0.05


@value_class
class PermitNeed:
    """What the next run of a request needs.

    :param avoided: engines not to ask; each entry if none is left
    :param doubt_ends_at: until when a second run may end, in monotonic
        seconds
    :param attempts: attempts so far, for the log
    :param maybe_ran: whether the request may have run
    :param service: the service that has begun its answer; empty before
    """

    avoided: list[tuple[str, ...]]
    doubt_ends_at: float
    attempts: int
    maybe_ran: bool
    service: str

    @property
    def begun(self) -> bool:
        """Whether its answer has begun."""
        return bool(self.service)


class Admission:
    """Admits the runs of one request; used by one thread.

    :param deadline: when the caller gives up
    :param access: under which the request was admitted
    :param disconnected: returns whether the caller has left
    :param started_at: when the request came, in monotonic seconds
    """

    def __init__(
        self,
        directory: Directory,
        acquirer: PermitAcquirer,
        ending: PlannedEnd,
        req: RelayRequest,
        access: Allowed,
        deadline: Deadline,
        disconnected: Callable[[], bool],
        log: RequestLog,
        started_at: float,
    ) -> None:
        self._directory = directory
        self._acquirer = acquirer
        self._ending = ending
        self._req = req
        self._digest = req.digest()
        self._access = access
        self._route = access.route
        self._deadline = deadline
        self._disconnected = disconnected
        self._log = log
        self._started_at = started_at
        self._admitted_by = directory.routes().version

    def acquire(self, need: PermitNeed) -> HeldPermit | FinalEvent:
        """Wait for a permit; return the final event if there is none."""
        if not self._may_finish(need):
            return self._not_admitted(need, STOPPING, 0.0)
        try:
            permit = self._wait(need)
        except NoRouteError:
            return self._not_admitted(need, "no_route", 0.0)
        except NoPermitError as exc:
            reason = exc.reason if self._may_finish(need) else STOPPING
            in_doubt = need.doubt_ends_at != float("inf")
            if in_doubt and not self._disconnected():
                reason = f"{NO_SECOND_RUN}: {reason}"
            return self._not_admitted(need, reason, exc.retry_after_s)
        except QuarantinedError as exc:
            return self._quarantined(need, exc)
        if not self._may_finish(need):
            permit.release_unused()
            return self._not_admitted(need, STOPPING, 0.0)
        return permit

    def acquire_repeat(
        self,
        service: str,
        begun: bool,
        avoided: tuple[str, ...],
        abandoned: Callable[[], bool],
    ) -> HeldPermit:
        """Wait for the permit of a second run; safe on any thread.

        :param service: that of the run beside it
        :param begun: whether that has begun the answer
        :raises NoPermitError: if none is granted
        :raises NoRouteError: if no route matches any more
        :raises QuarantinedError: if the request would crash the engine
        """
        begun_by = service if begun else ""
        need = PermitNeed([], float("inf"), 0, True, begun_by)
        work = replace(self._work(need), service=service, repeat=True)
        return self._acquirer.acquire(work, avoided, abandoned)

    def _wait(self, need: PermitNeed) -> HeldPermit:
        """Wait for a permit, for a second run not for long.

        The owner of the pool would refuse a second run whose deadline were as
        short, as it expects a whole one. Any engine may do it, if there is no
        other.
        """
        work = self._work(need)
        avoided = list(need.avoided)

        def gives_up() -> bool:
            late = time.monotonic() >= need.doubt_ends_at
            return late or self._disconnected() or not self._may_finish(need)

        while True:
            try:
                return self._acquirer.acquire(work, avoided.pop(0), gives_up)
            except NoPermitError as exc:
                if not avoided or exc.reason != RefusalReason.NO_BACKEND:
                    raise
            if len(avoided) == 1:
                time.sleep(ASK_AGAIN_S)

    def _work(self, need: PermitNeed) -> WorkSpec:
        return WorkSpec(
            find=lambda: self._find_route(need),
            routing_key=self._req.request_id,
            customer=self._access.name or f"priority-{self._route.priority}",
            work_class=WorkClass.ONLINE,
            deadline=self._deadline.at,
            prompt_tokens=self._req.prompt_tokens,
            output_tokens=self._req.output_tokens,
            prefix=self._req.prefix,
            start_by=self._start_by(need),
            request=self._digest,
            service=need.service,
        )

    def _may_finish(self, need: PermitNeed) -> bool:
        """Return whether the answer may end before this process does.

        A request that may have run goes on: it can't be refused any more.
        """
        goes_on = need.maybe_ran or need.begun
        if goes_on or self._deadline.at <= self._ending.at:
            return True
        return self._ending.allows(self._route.name, self._req.output_tokens)

    def _start_by(self, need: PermitNeed) -> float | None:
        """Return the latest start that meets the target.

        ``None`` once the request may have run.
        """
        if need.maybe_ran or need.begun:
            return None
        return self._started_at + self._route.target_s - FIRST_EVENT_LATENCY_S

    def _find_route(self, need: PermitNeed) -> RelayRoute | None:
        """Return the route in force, if the request may still use it.

        An answer that has begun ends at its service, wherever the route leads
        by now: its head can't be taken back, and no other service may go on
        with it. A key that is withdrawn or given to another customer ends
        only what has not run.
        """
        if need.begun:
            begun_by = ServiceShare(need.service, 1.0)
            return replace(self._route, services=(begun_by,))
        table = self._directory.routes()
        req = self._req
        if need.maybe_ran:
            return table.find(req.host, req.path)
        found = check_access(table, req.host, req.path, req.key)
        if isinstance(found, Allowed) and found.name == self._access.name:
            return found.route
        return None

    def _not_allowed(self) -> Refused | NoRoute | Unauthorized:
        """Return the final event of a request that has no route any more."""
        table = self._directory.routes()
        req = self._req
        match check_access(table, req.host, req.path, req.key):
            case UnknownKey():
                return Unauthorized()
            case Allowed():
                return Refused("access changed", MIN_RETRY_AFTER_S)
            case _:
                return NoRoute()

    def _not_admitted(
        self, need: PermitNeed, reason: str, retry_after_s: float
    ) -> Refused | Failed | NoRoute | Unauthorized:
        """Return the final event: a refusal only if the request never ran."""
        self._log.not_placed(
            reason,
            attempts=need.attempts,
            maybe_ran=need.maybe_ran,
            service=need.service,
            admitted_by=self._admitted_by,
            version=self._directory.routes().version,
        )
        if need.maybe_ran:
            return Failed(reason, late=reason == "deadline")
        if reason == "no_route":
            return self._not_allowed()
        return Refused(reason, max(MIN_RETRY_AFTER_S, retry_after_s))

    def _quarantined(
        self, need: PermitNeed, exc: QuarantinedError
    ) -> Unservable | Failed:
        """Return the final event of a request that crashes engines."""
        self._log.not_placed(
            exc.reason,
            part=exc.part,
            engines=exc.engines,
            attempts=need.attempts,
            maybe_ran=need.maybe_ran,
        )
        if need.maybe_ran:
            return Failed(exc.reason)
        return Unservable(exc.reason)


__all__ = ["ASK_AGAIN_S", "Admission", "MIN_RETRY_AFTER_S", "PermitNeed"]
