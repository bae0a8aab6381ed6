"""Items whose paths are below other routes than their job's, or below none."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.batches import run
from mulberrypass.model.routes import RouteKind, ServiceShare
from tests.batches.cases import job, route
from tests.batches.test_holder import wait_until
from tests.batches.test_lost_service import (
    ITEMS,
    LOST,
    ME,
    SOUND,
    LostServiceCase,
)
from tests.relay.fakes import Script, table

if TYPE_CHECKING:
    from mulberrypass.model.routes import RelayRoute

OWN, OTHER = LOST, SOUND
ONLINE = route(
    name="online",
    prefix="/crates/online/",
    kind=RouteKind.STREAM,
    services=(ServiceShare(OTHER, 1.0),),
    max_attempts=1,
)
BELOW_NONE = "/boxes/1"
BELOW_ONLINE = "/crates/online/1"
BELOW_BATCH = "/packs/1"
SERVER_ERROR = 500
MISSING_S = 0.3


class ItemRouteCase(LostServiceCase):
    """A holder of jobs of one service, beside routes to another one."""

    def setUp(self) -> None:
        super().setUp()
        self.version = 1
        self.configure(*self.routes.values(), ONLINE)
        self.register(OWN, OTHER)

    def configure(self, *routes: RelayRoute) -> None:
        """Put routes in force."""
        self.version += 1
        self.directory.apply_routes(table(*routes, version=self.version))

    def accept_at(self, path: str, items: int = ITEMS) -> None:
        """Accept a job whose items have a path."""
        new_job = job("job-1", items, path=path)
        accepted = self.store.accept(new_job, self.routes[OWN], ME).ok
        assert accepted.head is not None
        self.holder.add_accepted(accepted.head, new_job.items)

    def ran_at(self) -> set[str]:
        """Return the engines that got an item; they are named as services."""
        return {name for name, _ in self.engines.sent}


class ItemsOfAnotherRouteTest(ItemRouteCase):
    """Items ran at the service of the route that matched their own path."""

    def test_path_below_no_route(self) -> None:
        """All items were given up, and none had run."""
        with patch.object(run, "ROUTE_MISSING_S", MISSING_S):
            self.accept_at(BELOW_NONE)
            self.assert_done("job-1", ITEMS)
        self.assertEqual({OWN}, self.ran_at())

    def test_path_below_another_batch_route(self) -> None:
        self.accept_at(BELOW_BATCH)
        self.assert_done("job-1", ITEMS)
        self.assertEqual({OWN}, self.ran_at())

    def test_path_below_an_online_route(self) -> None:
        self.accept_at(BELOW_ONLINE)
        self.assert_done("job-1", ITEMS)
        self.assertEqual({OWN}, self.ran_at())

    def test_items_that_wait_follow_a_move_of_their_route(self) -> None:
        """They stayed with the former service."""
        self.permits.full.add(OWN)
        self.accept_at(BELOW_NONE)
        self.assertTrue(wait_until(lambda: self.permits.asked(OWN) > 0))
        moved = replace(self.routes[OWN], services=(ServiceShare(OTHER, 1.0),))
        self.configure(moved, self.routes[OTHER])
        self.assert_done("job-1", ITEMS)
        self.assertEqual({OTHER}, self.ran_at())

    def test_removed_route(self) -> None:
        """Its items ran at a service that it had never led to."""
        self.register(OTHER)
        with patch.object(run, "ROUTE_MISSING_S", MISSING_S):
            self.accept_at(BELOW_ONLINE)
            self.configure(self.routes[OTHER], ONLINE)
            wait_until(lambda: len(self.states("job-1")) == ITEMS)
        self.assertEqual(["abandoned"] * ITEMS, self.states("job-1"))
        self.assertEqual(set(), self.ran_at())

    def test_route_that_is_back_at_once(self) -> None:
        self.permits.full.add(OWN)
        self.accept_at(BELOW_ONLINE)
        self.assertTrue(wait_until(lambda: self.permits.asked(OWN) > 0))
        self.configure(self.routes[OTHER], ONLINE)
        self.permits.full.clear()
        self.configure(*self.routes.values(), ONLINE)
        self.permits.answer(OWN)
        self.assert_done("job-1", ITEMS)
        self.assertEqual({OWN}, self.ran_at())

    def test_renamed_route(self) -> None:
        self.permits.full.add(OWN)
        self.accept_at(BELOW_NONE)
        self.assertTrue(wait_until(lambda: self.permits.asked(OWN) > 0))
        self.configure(replace(self.routes[OWN], name="boxes"))
        self.permits.full.clear()
        self.permits.answer(OWN)
        self.assert_done("job-1", ITEMS)

    def test_attempts_are_those_of_the_route_of_the_job(self) -> None:
        """The online route allows one; the item was given up after it."""
        self.engines._scripts.appendleft(Script(status=SERVER_ERROR))
        self.engines._scripts.appendleft(Script(status=SERVER_ERROR))
        self.accept_at(BELOW_ONLINE, items=1)
        self.assert_done("job-1", 1)


if __name__ == "__main__":
    unittest.main()
