"""Items of a route with two services, one of which takes no work."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.model.routes import RelayService, ServiceShare
from tests.batches.cases import HOST, route
from tests.batches.test_holder import wait_until
from tests.batches.test_lost_service import (
    ITEMS,
    LOST,
    SOUND,
    LostServiceCase,
)
from tests.relay.fakes import CUT, NOT_RUN, Script, event, table

MANY = 4 * ITEMS
BOTH = (ServiceShare(LOST, 50), ServiceShare(SOUND, 50))


class OtherServiceCase(LostServiceCase):
    """A holder of jobs of a route to both services."""

    def setUp(self) -> None:
        super().setUp()
        self.routes[LOST] = route(services=BOTH)
        self.directory.apply_routes(table(*self.routes.values(), version=2))

    def ran_at(self, service: str) -> int:
        """Return how many runs an engine got."""
        return sum(name == service for name, _ in self.engines.sent)


class OtherServiceTest(OtherServiceCase):
    """Half of the items waited beside the idle engines of another service."""

    def test_items_of_a_lost_service_run_at_the_other(self) -> None:
        self.register(SOUND)
        self.accept(LOST, "both", MANY)
        self.assert_done("both", MANY)

    def test_items_that_wait_move_when_their_service_is_lost(self) -> None:
        self.register(LOST, SOUND)
        self.permits.full.update((LOST, SOUND))
        self.accept(LOST, "both", 5 * MANY)
        self.assertTrue(wait_until(lambda: bool(self.permits.waiting)))
        self.register(SOUND)
        self.permits.full.clear()
        self.permits.answer(LOST)
        self.permits.answer(SOUND)
        self.assert_done("both", 5 * MANY)
        self.assertEqual(0, self.ran_at(LOST))

    def test_service_that_keeps_items_waiting(self) -> None:
        """Its engines were gone, and still listed."""
        self.register(LOST, SOUND)
        self.permits.full.add(LOST)
        self.accept(LOST, "both", MANY)
        self.assert_done("both", MANY)

    def test_both_get_their_share_once_the_lost_one_returns(self) -> None:
        self.register(SOUND)
        self.accept(LOST, "before", ITEMS)
        self.assert_done("before", ITEMS)
        self.assertEqual(0, self.ran_at(LOST))
        self.register(LOST, SOUND)
        self.accept(LOST, "after", 5 * MANY)
        self.assert_done("after", 5 * MANY)
        share = self.ran_at(LOST) / (5 * MANY)
        self.assertAlmostEqual(0.5, share, delta=0.15)

    def test_engine_that_is_gone_but_still_listed(self) -> None:
        self.register(LOST, SOUND)
        self.engines._scripts.clear()
        self.engines._scripts.extend((NOT_RUN, Script(parts=[event(1)])))
        self.accept(LOST, "both", 1)
        self.assert_done("both", 1)
        self.assertEqual(
            {LOST, SOUND}, {name for name, _ in self.engines.sent}
        )


class MixedServicesTest(OtherServiceCase):
    """The output of an item was begun by one service and ended by another."""

    def test_output_begins_anew_at_another_service(self) -> None:
        self.register(LOST, SOUND)
        self.engines._scripts.clear()
        self.engines._scripts.extend(
            (
                Script(parts=[event(1), CUT]),
                Script(parts=[event(1), event(2), event(3)]),
            )
        )
        self.accept(LOST, "both", 1)
        self.assert_done("both", 1)
        (first, _), (second, again) = self.engines.sent
        self.assertNotEqual(first, second)
        self.assertIsNone(again.after_event)
        page = self.store.results(HOST, "both", 0, None).ok
        self.assertEqual("1\n2\n3", page.outcomes[0].output)

    def test_tokens_of_an_event_are_those_of_the_service(self) -> None:
        """Those of the first service of the route counted for all."""
        routes = table(*self.routes.values(), version=3)
        services = {
            LOST: RelayService(LOST, event_tokens=1),
            SOUND: RelayService(SOUND, event_tokens=50),
        }
        self.directory.apply_routes(replace(routes, services=services))
        self.register(SOUND)
        self.accept(LOST, "both", 1)
        self.assert_done("both", 1)
        self.assertEqual(50, self.permits.asks[0].output_tokens)


if __name__ == "__main__":
    unittest.main()
