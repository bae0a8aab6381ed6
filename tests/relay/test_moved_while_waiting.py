"""Requests that wait for an engine while the configuration changes."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import ServiceShare
from mulberrypass.policy.messages import Grant, Withdraw
from mulberrypass.relay.api import NoRoute
from tests.relay.fakes import Script, ScriptedEngines, event, route, table
from tests.relay.test_forward import body, run
from tests.relay.test_other_service import (
    LOST,
    SOUND,
    OtherServiceCase,
    ServicePermits,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.routes import RouteTable
    from mulberrypass.policy.messages import Ask, Refuse

FULL, IDLE = LOST, SOUND
OWN = route(services=(ServiceShare(FULL, 1.0),))
MOVED = route(services=(ServiceShare(IDLE, 1.0),))


class FullPermits(ServicePermits):
    """Keeps asks for one service waiting.

    :ivar on_wait: called when an ask waits
    """

    def __init__(self) -> None:
        super().__init__()
        self.on_wait: Callable[[], object] = bool

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Answer at once, unless the service is full."""
        if ask.pool != FULL:
            return super().ask(ask, on_revoke)
        self.asks.append(ask)
        self.on_wait()
        return Future()


class MovedWhileWaitingTest(OtherServiceCase):
    """Requests waited for a service to which their route led no more."""

    def setUp(self) -> None:
        super().setUp()
        self.full = FullPermits()
        self.permits = self.full
        self.engines = ScriptedEngines(Script(parts=[event(1)]))
        self.deps = self.dependencies(self.engines, OWN, FULL, IDLE)

    def change_to(self, changed: RouteTable) -> None:
        """Put a table in force once a request waits."""
        self.full.on_wait = lambda: self.deps.directory.apply_routes(changed)

    def test_route_that_moves(self) -> None:
        self.change_to(table(MOVED, version=2))
        events, cut = run(self.deps)
        self.assertFalse(cut)
        self.assertEqual(event(1), body(events))
        self.assertEqual([FULL, IDLE], [ask.pool for ask in self.full.asks])

    def test_ask_is_withdrawn(self) -> None:
        self.change_to(table(MOVED, version=2))
        run(self.deps)
        self.assertIn(Withdraw(self.full.asks[0].ask_id), self.full.told)

    def test_route_that_is_removed(self) -> None:
        self.change_to(table(version=2))
        self.assertEqual(([NoRoute()], False), run(self.deps))


if __name__ == "__main__":
    unittest.main()
