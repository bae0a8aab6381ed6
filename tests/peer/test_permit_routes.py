"""Tests of the cells that a holder sends its asks to."""

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

    def press(self, keys: set[CellKey]) -> None:
        for key in keys:
            self.routes.loads[key.name] = CellLoad(0, 3, 3)

    def test_cells_in_use(self) -> None:
        every = set(self.routes.cells("rackmind"))
        others = every - self.preferred_cells
        self.assertEqual(CELLS, len(every))
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
            ("all silent", none, every, True, every),
        )
        for name, pressed, silent, online, expected in cases:
            with self.subTest(name):
                self.routes.loads.clear()
                self.press(pressed)
                self.assertEqual(expected, self.choose(online, silent))

    def test_online_work_looks_further_when_it_would_wait(self) -> None:
        self.press(self.preferred_cells)
        self.assertTrue(self.choose(True, set()) - self.preferred_cells)

    def test_no_such_pool(self) -> None:
        got = self.routes.choose("nowhere", lambda _: True, True)
        self.assertIsNone(got)

    def test_changes_are_seen(self) -> None:
        key = CellKey("rackmind", 0)
        self.membership.set(ME)
        self.routes.forget_owners()
        self.assertEqual(ME.name, self.routes.owner(key))
        self.membership.set()
        self.routes.forget_owners()
        self.assertEqual("", self.routes.owner(key))
        self.cfg.set("rackmind", [engine("core-0")])
        self.assertEqual((key,), self.routes.cells("rackmind"))
        self.assertEqual(key, self.routes.cell_of("rackmind", "core-0"))
        self.assertIsNone(self.routes.cell_of("rackmind", "core-9"))
