"""Requests whose engines end right after the answer."""

from __future__ import annotations

from typing import Any
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.relay.crash_guard import CrashGuard
from mulberrypass.relay.forward import Forwarder
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    make_dependencies,
    request,
    route,
)


class RecordingGuard(CrashGuard):
    """Records the requests whose connections ended before their answers."""

    def __init__(self) -> None:
        super().__init__()
        self.blamed: list[Any] = []

    def on_connection_ended(self, *args: Any) -> None:
        """Record the call."""
        self.blamed.append(args)


class AnsweredRequestTest(unittest.TestCase):
    """A request that was answered counted as one that crashes engines."""

    def test_body_had_come(self) -> None:
        quiet_logs()
        for kind in (RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT):
            with self.subTest(kind):
                guard = RecordingGuard()
                engines = ScriptedEngines(
                    Script(parts=[b"body"], ends_with_connection=True),
                    Script(parts=[b"body"]),
                )
                engines.alive = False
                permits = ScriptedPermits("e1", "e2")
                deps = make_dependencies(
                    engines, permits, route(kind=kind), guard=guard
                )
                list(Forwarder(deps).run(request(), lambda: False))
                self.assertEqual(["e1"], engines.checked)
                self.assertEqual([], guard.blamed)


if __name__ == "__main__":
    unittest.main()
