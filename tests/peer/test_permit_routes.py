"""Tests of the routing of permit requests to cells."""

from __future__ import annotations

from collections import Counter
import random
import unittest

from mulberrypass.peer.permit_routes import CellRoutes
from mulberrypass.policy.admission.cells import (
    CellKey,
    CellLoad,
    preferred_cells,
)
from tests.peer.permit_fakes import (
    FakeConfiguration,
    FakeMembership,
    member,
)
from tests.policy.admission.cases import engine

ME = member("entry@a")
CELLS = 10


class CellRoutesTest(unittest.TestCase):
    def setUp(self) -> None:
        backends = [engine(f"core-{index:03}") for index in range(16 * CELLS)]
        self.cfg = FakeConfiguration("rackmind", backends)
        self.membership = FakeMembership(ME, member("entry@b"))
        self.routes = CellRoutes(
            ME, self.membership, self.cfg, random.Random(1)
        )
        self.preferred_cells = set(
            preferred_cells(self.routes.cells("rackmind"), ME.name)
        )

    def choose(self, online: bool, silent: set[CellKey]) -> set[CellKey]:
        counts: Counter[CellKey | None] = Counter(
            self.routes.choose("rackmind", lambda k: k not in silent, online)
            for _ in range(200)
        )
        return {key for key in counts if key is not None}

    def set_loaded(self, keys: set[CellKey]) -> None:
        for key in keys:
            self.routes.loads[key.name] = CellLoad(0, 3, 3)

    def test_chosen_cells(self) -> None:
        all_cells = set(self.routes.cells("rackmind"))
        others = all_cells - self.preferred_cells
        self.assertEqual(CELLS, len(all_cells))
        none: set[CellKey] = set()
        one = {min(self.preferred_cells, key=str)}
        cases = (
            ("room", none, none, True, self.preferred_cells),
            ("one is silent", none, one, True, self.preferred_cells - one),
            (
                "batch waits",
                self.preferred_cells,
                none,
                False,
                self.preferred_cells,
            ),
            ("silent", none, self.preferred_cells, False, others),
            ("all silent", none, all_cells, True, all_cells),
        )
        for name, loaded, silent, online, expected in cases:
            with self.subTest(name):
                self.routes.loads.clear()
                self.set_loaded(loaded)
                self.assertEqual(expected, self.choose(online, silent))

    def test_online_work_uses_other_cells_under_load(self) -> None:
        self.set_loaded(self.preferred_cells)
        self.assertTrue(self.choose(True, set()) - self.preferred_cells)

    def test_unknown_pool(self) -> None:
        got = self.routes.choose("nowhere", lambda _: True, True)
        self.assertIsNone(got)

    def test_membership_and_configuration_changes(self) -> None:
        key = CellKey("rackmind", 0)
        self.membership.set(ME)
        self.routes.invalidate_members()
        self.assertEqual(ME.name, self.routes.owner(key))
        self.membership.set()
        self.routes.invalidate_members()
        self.assertEqual("", self.routes.owner(key))
        self.cfg.set("rackmind", [engine("core-0")])
        self.assertEqual((key,), self.routes.cells("rackmind"))
        self.assertEqual(key, self.routes.cell_of("rackmind", "core-0"))
        self.assertIsNone(self.routes.cell_of("rackmind", "core-9"))
