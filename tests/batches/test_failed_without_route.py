"""Items that fail at an engine while their job's route is missing."""

from __future__ import annotations

import time
import unittest

from tests.batches.test_holder import wait_until
from tests.batches.test_items_of_another_route import (
    BELOW_NONE,
    MISSING_S,
    OTHER,
    SERVER_ERROR,
    ItemRouteCase,
)
from tests.relay.fakes import Script


class FailedWithoutRouteTest(ItemRouteCase):
    """An item was given up at its first error while its route was missing."""

    def test_route_that_is_back(self) -> None:
        gone = Script(status=SERVER_ERROR, before=self.remove)
        self.engines._scripts.appendleft(gone)
        self.accept_at(BELOW_NONE, items=1)
        self.assertTrue(wait_until(lambda: len(self.engines.sent) == 1))
        time.sleep(MISSING_S)
        self.assertEqual([], self.states("job-1"))
        self.configure(*self.routes.values())
        self.assert_done("job-1", 1)

    def remove(self) -> None:
        """Remove the route of the job."""
        self.configure(self.routes[OTHER])


if __name__ == "__main__":
    unittest.main()
