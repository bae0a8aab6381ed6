"""Requests of a route with two services, one of which takes no work."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import RouteKind, ServiceShare
from mulberrypass.policy.messages import Grant, RefusalReason, Refuse
from mulberrypass.relay.api import AnswerHead, Failed, Refused
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    CUT,
    NOT_RUN,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    event,
    make_dependencies,
    request,
    route,
    table,
)
from tests.relay.test_forward import body, run

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.policy.messages import Ask
    from mulberrypass.relay.api import RelayEvent
    from mulberrypass.relay.forward import RelayDependencies

LOST, SOUND = "rackmind", "packmind"
BOTH = (ServiceShare(LOST, 50), ServiceShare(SOUND, 50))
IDS = [f"r{number}" for number in range(20)]
STREAM = route(services=BOTH)
RESUMABLE = route(services=BOTH, resumable=True, max_attempts=3)
CALL = route(services=BOTH, kind=RouteKind.NON_IDEMPOTENT)
WHOLE = event(1) + event(2)


class ServicePermits(ScriptedPermits):
    """Grants the engine of the service that is asked, or refuses.

    :ivar refusing: why a service refuses
    """

    def __init__(self) -> None:
        super().__init__()
        self.refusing: dict[str, RefusalReason] = {}

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Answer at once."""
        self.asks.append(ask)
        answer: Future[Grant | Refuse] = Future()
        reason = self.refusing.get(ask.pool)
        if reason is None and ask.pool in ask.avoid:
            reason = RefusalReason.NO_BACKEND
        if reason is None:
            answer.set_result(Grant(ask.ask_id, ask.pool))
        else:
            answer.set_result(Refuse(ask.ask_id, reason, 1.0))
        return answer


class OtherServiceCase(unittest.TestCase):
    """Requests of a route to two services, with an engine of its name each."""

    def setUp(self) -> None:
        quiet_logs()
        self.permits = ServicePermits()

    def dependencies(
        self, engines: ScriptedEngines, to: RelayRoute, *services: str
    ) -> RelayDependencies:
        """Return dependencies with an engine of each service."""
        deps = make_dependencies(engines, self.permits, to)
        deps.directory.set_engines(
            engine(name, service=name) for name in services
        )
        return deps

    def answer(
        self, deps: RelayDependencies, request_id: str
    ) -> tuple[list[RelayEvent], bool]:
        """Return the answer to a request."""
        return run(deps, request(request_id=request_id))


class OtherServiceTest(OtherServiceCase):
    """Requests were refused beside the idle engines of another service."""

    def test_service_without_an_engine(self) -> None:
        for to in (STREAM, RESUMABLE, CALL):
            engines = ScriptedEngines(*(Script(parts=[WHOLE]) for _ in IDS))
            deps = self.dependencies(engines, to, SOUND)
            for request_id in IDS:
                events, cut = self.answer(deps, request_id)
                self.assertFalse(cut)
                self.assertEqual(WHOLE, body(events))

    def test_service_that_refuses(self) -> None:
        for reason in (
            RefusalReason.NO_BACKEND,
            RefusalReason.LATE_START,
            RefusalReason.QUEUE_FULL,
        ):
            self.permits.refusing = {LOST: reason}
            engines = ScriptedEngines(*(Script(parts=[WHOLE]) for _ in IDS))
            deps = self.dependencies(engines, STREAM, LOST, SOUND)
            for request_id in IDS:
                events, _ = self.answer(deps, request_id)
                self.assertEqual(WHOLE, body(events))

    def test_engine_that_is_gone_but_still_listed(self) -> None:
        """Nothing was sent, so that the other service may run it once."""
        for request_id in IDS:
            engines = ScriptedEngines(NOT_RUN, Script(parts=[WHOLE]))
            deps = self.dependencies(engines, CALL, LOST, SOUND)
            events, _ = self.answer(deps, request_id)
            self.assertEqual(WHOLE, body(events))
            self.assertEqual({LOST, SOUND}, {name for name, _ in engines.sent})

    def test_both_refuse(self) -> None:
        self.permits.refusing = dict.fromkeys(
            (LOST, SOUND), RefusalReason.LATE_START
        )
        deps = self.dependencies(ScriptedEngines(), STREAM, LOST, SOUND)
        events, _ = self.answer(deps, "r1")
        self.assertEqual([Refused("late_start", 1.0)], events)
        self.assertEqual({LOST, SOUND}, {a.pool for a in self.permits.asks})
        self.assertEqual(2, len(self.permits.asks))

    def test_request_that_may_have_run_is_not_sent_again(self) -> None:
        engines = ScriptedEngines(CUT)
        deps = self.dependencies(engines, CALL, LOST, SOUND)
        events, _ = self.answer(deps, "r1")
        self.assertIsInstance(events[0], Failed)
        self.assertEqual(1, len(engines.sent))


class MixedServicesTest(OtherServiceCase):
    """A stream that one service had begun was ended by another one."""

    def test_begun_stream_goes_on_at_its_service_or_is_cut(self) -> None:
        for request_id in IDS:
            engines = ScriptedEngines(
                Script(parts=[event(1), CUT]), Script(parts=[event(2)])
            )
            deps = self.dependencies(engines, RESUMABLE, LOST, SOUND)
            events, cut = self.answer(deps, request_id)
            self.assertTrue(cut)
            self.assertIsInstance(events[0], AnswerHead)
            self.assertEqual(event(1), body(events))
            self.assertEqual(1, len(engines.sent))

    def test_begun_stream_is_not_ended_where_its_route_moves_to(self) -> None:
        moved = table(route(services=BOTH[1:], resumable=True), version=2)
        engines = ScriptedEngines(
            Script(
                before=lambda: deps.directory.apply_routes(moved),
                parts=[event(1), CUT],
            ),
            Script(parts=[event(2)]),
        )
        only = route(services=BOTH[:1], resumable=True)
        deps = self.dependencies(engines, only, LOST, SOUND)
        events, cut = self.answer(deps, "r1")
        self.assertTrue(cut)
        self.assertEqual(event(1), body(events))

    def test_begun_stream_goes_on_at_another_engine(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(1), CUT]), Script(parts=[event(2)])
        )
        deps = make_dependencies(
            engines, ScriptedPermits("e1", "e2"), RESUMABLE
        )
        deps.directory.set_engines(
            engine(name, service=SOUND) for name in ("e1", "e2")
        )
        events, cut = self.answer(deps, "r1")
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body(events))


if __name__ == "__main__":
    unittest.main()
