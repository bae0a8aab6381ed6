"""Tests of forwarding requests to engines."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from mulberrypass.model.routes import RouteKind, ServiceShare
from mulberrypass.policy.messages import RefusalReason
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    Failed,
    NoRoute,
    Refused,
    TruncatedAnswerError,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.due_times import SILENCE_TIMEOUT_S
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
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

if TYPE_CHECKING:
    from mulberrypass.relay.api import RelayEvent, RelayRequest

RESUMABLE = route(resumable=True)
WHOLE = [event(1) + event(2)[:4], event(2)[4:], event(3)]


def run(
    deps: RelayDependencies, req: RelayRequest | None = None
) -> tuple[list[RelayEvent], bool]:
    """Return the events of a request and whether it was truncated."""
    events: list[RelayEvent] = []
    try:
        events.extend(Forwarder(deps).run(req or request(), lambda: False))
    except TruncatedAnswerError:
        return events, True
    return events, False


def body(events: list[RelayEvent]) -> bytes:
    """Return the body that the events carry."""
    return b"".join(e.data for e in events if isinstance(e, AnswerBody))


class SilenceTest(unittest.TestCase):
    """An engine that accepts a connection and never answers.

    Found by the soak test: the request must move on to another engine if
    it may, and must wait until its deadline if it may not run again.
    """

    def longest_read_s(self, engines: ScriptedEngines) -> float:
        now = time.monotonic()
        return max(deadline.at for deadline in engines.deadlines) - now

    def test_repeatable_request_leaves_a_silent_engine(self) -> None:
        engines = ScriptedEngines(Script(parts=list(WHOLE)))
        run(make_dependencies(engines, ScriptedPermits("e1"), RESUMABLE))
        self.assertLessEqual(self.longest_read_s(engines), SILENCE_TIMEOUT_S)

    def test_last_attempt_waits_until_the_deadline(self) -> None:
        engines = ScriptedEngines(CUT, Script(parts=list(WHOLE)))
        run(make_dependencies(engines, ScriptedPermits("e1", "e2"), RESUMABLE))
        self.assertGreater(self.longest_read_s(engines), 2 * SILENCE_TIMEOUT_S)

    def test_non_repeatable_request_waits_until_the_deadline(self) -> None:
        engines = ScriptedEngines(Script(parts=list(WHOLE)))
        run(make_dependencies(engines, ScriptedPermits("e1"), route()))
        self.assertGreater(self.longest_read_s(engines), 2 * SILENCE_TIMEOUT_S)


class SlowCallerTest(unittest.TestCase):
    """A caller that read its answer slowly kept the slot of an engine."""

    def test_engine_is_free_once_the_body_has_come(self) -> None:
        permits = ScriptedPermits("e1")
        deps = make_dependencies(
            ScriptedEngines(Script(parts=[b"body"])),
            permits,
            route(kind=RouteKind.NON_IDEMPOTENT),
        )
        events = Forwarder(deps).run(request(), lambda: False)
        self.assertIsInstance(next(events), AnswerHead)
        self.assertEqual(["done"], permits.released)
        self.assertEqual(b"body", body(list(events)))
        self.assertEqual(["done"], permits.released)


class StreamTest(unittest.TestCase):
    def test_complete_stream(self) -> None:
        engines = ScriptedEngines(Script(parts=list(WHOLE)))
        permits = ScriptedPermits("e1", "e2")
        events, cut = run(make_dependencies(engines, permits))
        self.assertFalse(cut)
        self.assertEqual(AnswerHead(200, (("X-Stamp", "s"),), None), events[0])
        self.assertEqual(b"".join(WHOLE), body(events))
        self.assertEqual(["done"], permits.released)

    def test_outcome_by_failure(self) -> None:
        full = Script(503, not_run=True)
        server_error = Script(500, parts=[b"no"])
        part = Script(parts=[event(1), CUT])
        rest = Script(parts=[event(2), event(3)])
        truncated = Script(parts=[event(1), event(2)[:5]])
        whole = Script(parts=list(WHOLE))
        empty = Script(ends_with_connection=True)
        cases: dict[str, tuple[bool, list[Any], Any, bool, int]] = {
            # name: (resumable, scripts, body or event, cut, sends)
            "not run, then success": (
                False,
                [NOT_RUN, whole],
                "all",
                False,
                2,
            ),
            "full, then success": (False, [full, whole], "all", False, 2),
            "both full": (False, [full, full], Refused, False, 2),
            "no answer": (False, [CUT], Failed, False, 1),
            "no answer, resumable": (True, [CUT, whole], "all", False, 2),
            "cut": (False, [part], "first", True, 1),
            "cut, resumable": (True, [part, rest], "all", False, 2),
            "truncated within an event": (
                True,
                [truncated, rest],
                "all",
                False,
                2,
            ),
            "whole without an event": (False, [Script()], "", True, 1),
            "whole without an event, resumable": (
                True,
                [Script(), whole],
                "all",
                False,
                2,
            ),
            "whole after the last event": (
                True,
                [Script(parts=[*WHOLE, CUT]), Script()],
                "all",
                False,
                2,
            ),
            "cut twice": (True, [part, Script(parts=[CUT])], "first", True, 2),
            "ended before the first event": (False, [empty], "", True, 1),
            "ended before the first event, resumable": (
                True,
                [empty, whole],
                "all",
                False,
                2,
            ),
            "error": (False, [server_error], "no", False, 1),
            "error, resumable": (
                True,
                [server_error, whole],
                "all",
                False,
                2,
            ),
        }
        bodies = {
            "all": b"".join(WHOLE),
            "first": event(1),
            "no": b"no",
            "": b"",
        }
        for name, (resumable, scripts, wanted, cut, sends) in cases.items():
            with self.subTest(name):
                engines = ScriptedEngines(*scripts)
                permits = ScriptedPermits("e1", "e2")
                deps = make_dependencies(
                    engines, permits, route(resumable=resumable)
                )
                events, was_cut = run(deps)
                self.assertEqual(cut, was_cut)
                self.assertEqual(sends, len(engines.sent))
                if isinstance(wanted, str):
                    self.assertEqual(bodies[wanted], body(events))
                else:
                    self.assertIsInstance(events[-1], wanted)
                grants = [a for a in permits.asks]
                self.assertLessEqual(len(permits.released), len(grants))

    def test_resumes_elsewhere_after_the_last_complete_event(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(1), event(2)[:3], CUT]),
            Script(parts=[event(2), event(3)]),
        )
        run(make_dependencies(engines, ScriptedPermits("e1", "e2"), RESUMABLE))
        self.assertEqual(["e1", "e2"], [name for name, _ in engines.sent])
        self.assertEqual(
            [None, 1], [req.after_event for _, req in engines.sent]
        )

    def test_non_consecutive_events_truncate_the_answer(self) -> None:
        cases = {
            "gap": [event(1), event(3)],
            "twice": [event(1), event(1)],
            "back": [event(1), event(0)],
        }
        for name, parts in cases.items():
            with self.subTest(name):
                engines = ScriptedEngines(Script(parts=list(parts)))
                permits = ScriptedPermits("e1")
                events, cut = run(make_dependencies(engines, permits))
                self.assertTrue(cut)
                self.assertEqual(parts[0], body(events))

    def test_resumed_stream_must_start_at_the_next_event(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(1), CUT]), Script(parts=[event(3)])
        )
        events, cut = run(
            make_dependencies(engines, ScriptedPermits("e1", "e2"), RESUMABLE)
        )
        self.assertTrue(cut)
        self.assertEqual(event(1), body(events))


class RefusalTest(unittest.TestCase):
    def test_refusal_by_the_owner(self) -> None:
        permits = ScriptedPermits("e1")
        permits.refusal = (RefusalReason.LATE_START, 1.4)
        events, _ = run(make_dependencies(ScriptedEngines(), permits))
        self.assertEqual([Refused("late_start", 1.4)], events)

    def test_request_that_may_have_run_is_never_refused(self) -> None:
        permits = ScriptedPermits("e1")
        deps = make_dependencies(ScriptedEngines(CUT), permits, RESUMABLE)
        events, _ = run(deps)
        self.assertIsInstance(events[-1], Failed)

    def test_no_configuration(self) -> None:
        permits = ScriptedPermits("e1")
        directory = Directory()
        acquirer = PermitAcquirer("entry@a", permits, directory)
        deps = RelayDependencies(
            directory, acquirer, ScriptedEngines(), CallWatch()
        )
        events, _ = run(deps)
        self.assertIsInstance(events[0], Refused)

    def test_no_route(self) -> None:
        deps = make_dependencies(ScriptedEngines(), ScriptedPermits("e1"))
        for field in ({"host": "x.example"}, {"target": "/other/1"}):
            with self.subTest(field):
                events, _ = run(deps, request(**field))
                self.assertEqual([NoRoute()], events)

    def test_deadline_while_queued(self) -> None:
        permits = ScriptedPermits("e1")
        permits.silent = True
        events, _ = run(
            make_dependencies(ScriptedEngines(), permits), request(wait_s=0.06)
        )
        self.assertEqual("deadline", getattr(events[0], "reason", ""))

    def test_caller_disconnects_while_queued(self) -> None:
        permits = ScriptedPermits("e1")
        permits.silent = True
        deps = make_dependencies(ScriptedEngines(), permits)
        events = list(Forwarder(deps).run(request(), lambda: True))
        self.assertIsInstance(events[0], Refused)
        self.assertEqual("Withdraw", type(permits.told[0]).__name__)


class RoutingTest(unittest.TestCase):
    def test_routes_are_checked_again_when_the_permit_arrives(self) -> None:
        engines = ScriptedEngines(Script(parts=list(WHOLE)))
        permits = ScriptedPermits("e1", "f1")
        deps = make_dependencies(engines, permits)
        moved = route(services=(ServiceShare("other", 1.0),))

        def move() -> None:
            permits.on_ask = None
            deps.directory.apply_routes(table(moved, version=2))
            deps.directory.set_engines(
                [engine("e1"), engine("f1", service="other")]
            )

        permits.on_ask = move
        run(deps)
        self.assertEqual(["f1"], [name for name, _ in engines.sent])
        self.assertEqual(["unused", "done"], permits.released)

    def test_leaving_engine_gets_no_request(self) -> None:
        engines = ScriptedEngines(Script(parts=list(WHOLE)))
        permits = ScriptedPermits("e1", "e2")
        deps = make_dependencies(engines, permits)

        def leave() -> None:
            permits.on_ask = None
            deps.directory.set_engines(
                [engine("e1", leaving=True), engine("e2")]
            )

        permits.on_ask = leave
        run(deps)
        self.assertEqual(["e2"], [name for name, _ in engines.sent])

    def test_route_removed_while_queued(self) -> None:
        permits = ScriptedPermits("e1")
        deps = make_dependencies(ScriptedEngines(), permits)
        other = route(prefix="/other/")

        def drop() -> None:
            deps.directory.apply_routes(table(other, version=2))

        permits.on_ask = drop
        events, _ = run(deps)
        self.assertEqual([NoRoute()], events)


class WholeAnswerTest(unittest.TestCase):
    CALL = route(kind=RouteKind.NON_IDEMPOTENT)
    REPEATABLE = route(kind=RouteKind.IDEMPOTENT)

    def test_truncated_answer_is_not_forwarded(self) -> None:
        engines = ScriptedEngines(Script(parts=[b"half", CUT]))
        events, cut = run(
            make_dependencies(engines, ScriptedPermits("e1", "e2"), self.CALL)
        )
        self.assertFalse(cut)
        self.assertIsInstance(events[0], Failed)
        self.assertEqual(1, len(engines.sent))

    def test_idempotent_request_is_retried(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[b"half", CUT]), Script(parts=[b"whole"])
        )
        events, _ = run(
            make_dependencies(
                engines, ScriptedPermits("e1", "e2"), self.REPEATABLE
            )
        )
        self.assertEqual(b"whole", body(events))

    def test_answer_that_ends_after_its_head(self) -> None:
        """It was forwarded as a whole answer without a body."""
        for status in (200, 201):
            empty = Script(status, ends_with_connection=True)
            for kind, wanted in ((self.CALL, b""), (self.REPEATABLE, b"all")):
                with self.subTest(status, kind=kind.kind):
                    engines = ScriptedEngines(empty, Script(parts=[b"all"]))
                    permits = ScriptedPermits("e1", "e2")
                    events, _ = run(make_dependencies(engines, permits, kind))
                    self.assertEqual(wanted, body(events))
                    if not wanted:
                        self.assertIsInstance(events[0], Failed)

    def test_framed_answer_without_a_body_is_whole(self) -> None:
        engines = ScriptedEngines(Script(204))
        events, _ = run(
            make_dependencies(engines, ScriptedPermits("e1"), self.CALL)
        )
        self.assertEqual(AnswerHead(204, (("X-Stamp", "s"),), 0), events[0])

    def test_client_error_of_the_engine_is_forwarded_unchanged(self) -> None:
        engines = ScriptedEngines(Script(404, parts=[b"none"]))
        events, _ = run(
            make_dependencies(engines, ScriptedPermits("e1"), self.CALL)
        )
        self.assertEqual(AnswerHead(404, (("X-Stamp", "s"),), 4), events[0])

    def test_answer_without_a_stamp(self) -> None:
        """It was passed on, and counted for nothing."""
        stream = route(resumable=True, max_attempts=3)
        whole = Script(parts=[event(1)])
        for kind in (self.CALL, self.REPEATABLE, route(), stream):
            with self.subTest(kind=kind.kind, resumable=kind.resumable):
                bare = Script(stamped=False, parts=[event(1)])
                engines = ScriptedEngines(bare, whole)
                permits = ScriptedPermits("e1", "e2")
                events, _ = run(make_dependencies(engines, permits, kind))
                self.assertEqual(1 + kind.repeatable, len(engines.sent))
                if kind.repeatable:
                    self.assertEqual(event(1), body(events))
                else:
                    self.assertIsInstance(events[0], Failed)

    def test_resumed_stream_keeps_the_stamp_of_its_first_engine(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(1), CUT]),
            Script(stamp="t", parts=[event(2)]),
        )
        permits = ScriptedPermits("e1", "e2")
        events, cut = run(make_dependencies(engines, permits, RESUMABLE))
        self.assertFalse(cut)
        self.assertEqual(event(1) + event(2), body(events))
        heads = [each for each in events if isinstance(each, AnswerHead)]
        self.assertEqual([(("X-Stamp", "s"),)], [h.headers for h in heads])

    def test_status_that_promises_what_the_engine_does_not_say(self) -> None:
        """The caller took it for a promise, and sent the request again."""
        for status in (408, 421, 429, 503):
            for kind in (self.CALL, route(), self.REPEATABLE):
                with self.subTest(status, kind=kind.kind):
                    scripts = [Script(status, parts=[b"full"])] * 2
                    engines = ScriptedEngines(*scripts)
                    permits = ScriptedPermits("e1", "e2")
                    events, _ = run(make_dependencies(engines, permits, kind))
                    self.assertIsInstance(events[0], Failed)
                    repeats = kind is self.REPEATABLE
                    self.assertEqual(1 + repeats, len(engines.sent))

    def test_deadline_during_the_call(self) -> None:
        late = EngineFailed("deadline", Ran.MAYBE)
        engines = ScriptedEngines(late)
        events, _ = run(
            make_dependencies(engines, ScriptedPermits("e1"), self.CALL),
            request(wait_s=0.0001),
        )
        self.assertIsInstance(events[0], Failed | Refused)
