"""Tests of forwarding a request that crashes engines and comes again."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.health.crashes import Crash
from mulberrypass.relay.api import TruncatedAnswerError, Unservable
from mulberrypass.relay.crash_guard import (
    COLLECT_S,
    REQUEST_CRASHES,
    CrashGuard,
)
from mulberrypass.relay.forward import Forwarder
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    make_dependencies,
    request,
    route,
)

if TYPE_CHECKING:
    from mulberrypass.relay.api import RelayEvent

EXAMINED_S = 4 * COLLECT_S
CRASHES = 3
CLOSED = EngineFailed("cut", Ran.YES, closed=True)
CUT_SHORT = EngineFailed("cut", Ran.YES)


class CrashingRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guard = CrashGuard(is_listening=lambda _address: False)
        self.guard.start()
        self.addCleanup(self.guard.stop)
        self.published: list[Crash] = []
        self.guard.subscribe(self.published.append)
        self.digest = request().digest()

    def run_once(
        self, *scripts: Script | EngineFailed, resumable: bool = False
    ) -> tuple[list[RelayEvent], bool, ScriptedEngines]:
        """Return the events, whether they were truncated, and the engines."""
        engines = ScriptedEngines(*scripts)
        deps = make_dependencies(
            engines,
            ScriptedPermits("e1", "e2"),
            route(resumable=resumable),
            guard=self.guard,
        )
        events: list[RelayEvent] = []
        try:
            events.extend(Forwarder(deps).run(request(), lambda: False))
        except TruncatedAnswerError:
            return events, True, engines
        return events, False, engines

    def learn(self, *numbers: int) -> None:
        """Learn of crashes by the request."""
        for number in numbers:
            self.guard.learn(
                Crash(
                    f"i-{number}",
                    "rackmind",
                    number * 1_000,
                    frozenset(),
                    requests=frozenset({self.digest}),
                )
            )

    def test_request_that_crashes_engines_gets_none(self) -> None:
        self.learn(*range(CRASHES))
        events, _, engines = self.run_once()
        self.assertEqual([Unservable(REQUEST_CRASHES)], events)
        self.assertEqual([], engines.sent)

    def test_stream_is_not_resumed_at_one_more_engine(self) -> None:
        """The check stands before each send, not only before the first."""
        cut = Script(
            parts=[event(1), CUT_SHORT],
            before=lambda: self.learn(*range(CRASHES)),
        )
        self.guard.on_begun = lambda *_: None  # type: ignore[method-assign]
        _, truncated, engines = self.run_once(cut, resumable=True)
        self.assertTrue(truncated)
        self.assertEqual(1, len(engines.sent))

    def test_resumed_stream_crashes_an_engine_unnoticed(self) -> None:
        """Events of the first engine hid that the second had sent none."""
        self.run_once(
            Script(parts=[event(1), CUT_SHORT]),
            Script(parts=[CLOSED]),
            resumable=True,
        )
        time.sleep(EXAMINED_S)
        self.assertEqual(
            [frozenset({self.digest})],
            [crash.requests for crash in self.published],
        )

    def test_error_answer_clears_the_request(self) -> None:
        """An engine that answers with an error may not have run it."""
        for status in (400, 500):
            self.learn(0, 1)
            self.run_once(Script(status=status, parts=[b"no"]))
            self.learn(2)
            self.assertTrue(self.guard.state()["requests"], status)

    def test_answer_clears_the_request(self) -> None:
        self.learn(0, 1)
        self.run_once(Script(parts=[event(1)]))
        self.learn(2)
        self.assertFalse(self.guard.state()["requests"])


if __name__ == "__main__":
    unittest.main()
