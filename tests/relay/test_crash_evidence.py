"""Tests of what counts as evidence of a crash, and against one."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.policy.health.crashes import Crash
from mulberrypass.relay.crash_guard import (
    COLLECT_S,
    CONNECT_TIMEOUT_S,
    MAX_EXAMINERS,
    CrashGuard,
)
from mulberrypass.relay.forward import Forwarder
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    make_dependencies,
    request,
    route,
)

if TYPE_CHECKING:
    from mulberrypass.relay.api import RelayEvent

SERVICE = "rackmind"
REQUEST = 0xD1
CUT, CRASHED = "cut:1", "crashed:1"
# Engines of a lost zone at the largest site.
CUT_ENGINES = 200
# An engine is back some seconds after its crash.
BACK_AFTER_S = 2.0


class UnframedAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guard = CrashGuard(is_listening=lambda _address: False)
        self.guard.start()
        self.addCleanup(self.guard.stop)
        self.published: list[Crash] = []
        self.guard.subscribe(self.published.append)
        self.digest = request().digest()

    def learn(self, *numbers: int) -> None:
        """Learn of crashes by the request."""
        for number in numbers:
            self.guard.learn(
                Crash(
                    f"i-{number}",
                    SERVICE,
                    number * 1_000,
                    frozenset(),
                    requests=frozenset({self.digest}),
                )
            )

    def answer(self, *parts: bytes) -> list[RelayEvent]:
        """Answer once with no length, ended by the connection."""
        script = Script(ends_with_connection=True, parts=list(parts))
        deps = make_dependencies(
            ScriptedEngines(script),
            ScriptedPermits("e1"),
            route(kind=RouteKind.IDEMPOTENT, max_attempts=1),
            guard=self.guard,
        )
        return list(Forwarder(deps).run(request(), lambda: False))

    def test_engine_that_crashes_after_a_head_clears_the_request(self) -> None:
        """Its empty answer passed for a whole one."""
        self.learn(0, 1)
        self.answer()
        self.learn(2)
        self.assertTrue(self.guard.state()["requests"])

    def test_engine_that_crashes_after_a_head_is_not_looked_at(self) -> None:
        self.answer()
        time.sleep(4 * COLLECT_S)
        self.assertEqual(
            [frozenset({self.digest})],
            [crash.requests for crash in self.published],
        )

    def test_answer_with_a_body_clears_the_request(self) -> None:
        self.learn(0, 1)
        self.answer(b"body")
        self.learn(2)
        self.assertFalse(self.guard.state()["requests"])


class ExaminationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.crashed_at = time.monotonic()
        self.found = threading.Event()

    def is_listening(self, address: str) -> bool | None:
        """Reply as engines that are cut off, or as one that comes back."""
        if address == CUT:
            time.sleep(CONNECT_TIMEOUT_S)
            return None
        return time.monotonic() - self.crashed_at > BACK_AFTER_S

    def test_engines_cut_off_delay_the_look_at_a_crashed_one(self) -> None:
        """It was back when it was looked at, and the crash not seen."""
        guard = CrashGuard(is_listening=self.is_listening)
        guard.subscribe(lambda _crash: self.found.set())
        guard.start()
        self.addCleanup(guard.stop)
        for number in range(CUT_ENGINES):
            cut = engine(f"cut-{number}", address=CUT)
            guard.on_connection_ended(cut, (), number)
        time.sleep(2 * COLLECT_S)
        self.crashed_at = time.monotonic()
        guard.on_connection_ended(engine("i-1", address=CRASHED), (), REQUEST)
        wait_s = CUT_ENGINES / MAX_EXAMINERS * CONNECT_TIMEOUT_S + 1
        self.assertTrue(self.found.wait(wait_s))


if __name__ == "__main__":
    unittest.main()
