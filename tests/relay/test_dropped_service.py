"""Services that a version drops while answers that they have begun go on."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.model.routes import RelayService, RouteTable, ServiceShare
from mulberrypass.relay.directory import Directory
from tests.quiet import quiet_logs
from tests.relay.fakes import engine, route, table

FORMER, LATER = "rackmind", "packmind"
KV_TOKENS = 1_000
MOVED = route(services=(ServiceShare(LATER, 1.0),))


class DroppedServiceTest(unittest.TestCase):
    """Its pool was gone at once, so that no end of a stream was settled."""

    def setUp(self) -> None:
        quiet_logs()
        self.directory = Directory()
        service = RelayService(FORMER, kv_tokens=KV_TOKENS)
        first = replace(table(route()), services={FORMER: service})
        self.directory.apply_routes(first)
        self.directory.set_engines(
            [engine("e1"), engine("e2"), engine("e3", service=LATER)]
        )
        self.directory.apply_routes(table(MOVED, version=2))

    def pools(self) -> dict[str, tuple[str, ...]]:
        """Return the engines of each pool."""
        pools = self.directory.current().pools
        return {name: pool.backends for name, pool in pools.items()}

    def test_pool_stays_while_engines_are_registered(self) -> None:
        self.assertEqual({FORMER: ("e1", "e2"), LATER: ("e3",)}, self.pools())
        backend = self.directory.current().backends["e1"]
        self.assertEqual(KV_TOKENS, backend.kv_tokens)

    def test_pool_stays_over_further_versions(self) -> None:
        for version in (3, 4):
            self.directory.apply_routes(table(MOVED, version=version))
        self.assertEqual(("e1", "e2"), self.pools()[FORMER])

    def test_all_services_dropped(self) -> None:
        self.directory.apply_routes(RouteTable(3))
        self.assertEqual({FORMER: ("e1", "e2"), LATER: ("e3",)}, self.pools())

    def test_leaving_engine_of_a_dropped_service(self) -> None:
        self.directory.set_engines([engine("e1", leaving=True), engine("e2")])
        self.assertEqual(("e2",), self.pools()[FORMER])

    def test_pool_goes_with_its_last_engine(self) -> None:
        self.directory.set_engines([engine("e3", service=LATER)])
        self.assertEqual({LATER: ("e3",)}, self.pools())
        self.directory.set_engines([engine("e1")])
        self.assertEqual({LATER: ()}, self.pools())

    def test_service_that_is_back(self) -> None:
        again = table(route(), MOVED, version=3)
        self.directory.apply_routes(again)
        backend = self.directory.current().backends["e1"]
        self.assertEqual(0, backend.kv_tokens)


if __name__ == "__main__":
    unittest.main()
