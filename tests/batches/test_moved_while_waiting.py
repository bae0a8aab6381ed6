"""Items that wait for an engine while their job's route changes."""

from __future__ import annotations

from dataclasses import replace
import time
import unittest
from unittest.mock import patch

from mulberrypass.batches import run
from mulberrypass.model.routes import ServiceShare
from tests.batches.test_holder import wait_until
from tests.batches.test_items_of_another_route import (
    BELOW_NONE,
    MISSING_S,
    OTHER,
    OWN,
    ItemRouteCase,
)
from tests.batches.test_lost_service import ITEMS
from tests.relay.fakes import CUT, Script, event

# Of the users' pages: how soon a desired state is in force.
APPLY_S = 2.0


class MovedWhileWaitingTest(ItemRouteCase):
    """Items waited for a service to which their route led no more."""

    def wait_at_own(self, items: int = ITEMS) -> None:
        """Let the items of a job wait for engines of its service."""
        self.permits.full.add(OWN)
        self.accept_at(BELOW_NONE, items)
        self.assertTrue(wait_until(lambda: OWN in self.waiting()))

    def waiting(self) -> set[str]:
        """Return the services that asks wait for."""
        return {ask.pool for ask, _ in list(self.permits.waiting.values())}

    def test_removed_route(self) -> None:
        """The items were neither run nor listed."""
        self.wait_at_own()
        with patch.object(run, "ROUTE_MISSING_S", MISSING_S):
            self.configure(self.routes[OTHER])
            wait_until(lambda: len(self.states("job-1")) == ITEMS)
        self.assertEqual(["abandoned"] * ITEMS, self.states("job-1"))

    def test_output_that_has_begun(self) -> None:
        """Its rest waited for the former service, which may not end it."""
        self.engines._scripts.appendleft(
            Script(parts=[event(1), CUT], before=self.fill)
        )
        self.accept_at(BELOW_NONE, items=1)
        self.assertTrue(wait_until(lambda: OWN in self.waiting()))
        moved = replace(self.routes[OWN], services=(ServiceShare(OTHER, 1.0),))
        began = time.monotonic()
        self.configure(moved)
        self.assert_done("job-1", 1)
        self.assertLess(time.monotonic() - began, APPLY_S)
        self.assertEqual({OWN, OTHER}, self.ran_at())

    def fill(self) -> None:
        """Let further asks for the service of the job wait."""
        self.permits.full.add(OWN)


if __name__ == "__main__":
    unittest.main()
