"""Tests of the planned end of a process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.relay import ending as module
from mulberrypass.relay.api import Refused, RelayRequest
from mulberrypass.relay.ending import PlannedEnd
from mulberrypass.relay.forward import Forwarder
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    HOST,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    make_dependencies,
)

if TYPE_CHECKING:
    from mulberrypass.relay.api import RelayEvent


class PlannedEndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.ending = PlannedEnd(lambda: self.now)
        self.ending.note("slow", 100, 2.0)

    def test_everything_is_allowed_before_a_stop(self) -> None:
        self.assertTrue(self.ending.allows("slow", 10**9))

    def test_by_the_times_of_the_route(self) -> None:
        self.ending.set(3.0)
        self.assertTrue(self.ending.allows("slow", 100))
        self.assertFalse(self.ending.allows("slow", 200))
        self.assertTrue(self.ending.allows("unknown", 200))
        self.now = 1.5
        self.assertFalse(self.ending.allows("slow", 100))
        self.now = 3.0
        self.assertFalse(self.ending.allows("unknown", 0))

    def test_what_is_remembered_is_bounded(self) -> None:
        with patch.object(module, "MAX_ROUTES", 2):
            for route in ("a", "b", "c"):
                self.ending.note(route, 100, 9.0)
        self.ending.set(3.0)
        self.assertTrue(self.ending.allows("slow", 100))
        self.assertFalse(self.ending.allows("c", 100))


class ForwarderTest(unittest.TestCase):
    def setUp(self) -> None:
        quiet_logs()
        self.engines = ScriptedEngines(Script(parts=[event(1)]))
        self.permits = ScriptedPermits("e1")
        self.deps = make_dependencies(self.engines, self.permits)
        self.deps.ending.note("lookup", 100, 2.0)

    def first(self, wait_s: float | None = None) -> RelayEvent:
        """Return the first event of the answer to a request."""
        req = RelayRequest(
            "r1",
            "POST",
            HOST,
            "/lookup/x",
            (),
            b"",
            wait_s=wait_s,
            output_tokens=100,
        )
        events = Forwarder(self.deps).run(req, lambda: False)
        return next(events)

    def test_request_that_cannot_end_gets_no_permit(self) -> None:
        self.deps.ending.set(time.monotonic() + 1.0)
        self.assertEqual(Refused("stopping", 0.2), self.first())
        self.assertEqual([], self.permits.asks)

    def test_wait_ends_when_the_answer_cannot_end_any_more(self) -> None:
        self.permits.silent = True
        self.deps.ending.set(time.monotonic() + 2.3)
        begun = time.monotonic()
        self.assertEqual(Refused("stopping", 0.2), self.first())
        self.assertLess(time.monotonic() - begun, 0.6)
        self.assertGreaterEqual(self.permits.asks[0].budget_s, 4.0)

    def test_request_whose_own_deadline_is_earlier_is_taken(self) -> None:
        self.deps.ending.set(time.monotonic() + 1.0)
        self.assertNotIsInstance(self.first(wait_s=0.5), Refused)
