"""Tests of how an owner shows the paces of engines."""

from __future__ import annotations

import unittest
from unittest import mock

from mulberrypass.model.objects import Backend, BackendKind
from mulberrypass.peer import permit_cells
from mulberrypass.peer.permit_cells import OwnedCells
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import PaceReport
from tests.peer.permit_fakes import FakeConfiguration, FakeMembership, member

NAMES = ("b-1", "b-2")


class ShownPacesTest(unittest.TestCase):
    """Operators must see why an engine gets little work."""

    def setUp(self) -> None:
        self.configuration = FakeConfiguration("pool", self.backends(NAMES))
        self.cells = OwnedCells(
            "entry@a", FakeMembership(member("entry@a")), CellSettings()
        )
        self.refresh()
        report = PaceReport("b-2", 2.0, 1.0)
        for cell in self.cells:
            cell.handle(report, 0.0)
            cell.paces.momentary.note("b-2", 2.5, 0.0)

    def backends(self, names: tuple[str, ...]) -> tuple[Backend, ...]:
        return tuple(
            Backend(name, BackendKind.ENGINE, "z", "127.0.0.1:1", 4)
            for name in names
        )

    def refresh(self) -> None:
        current = self.configuration.current()
        list(self.cells.refresh(current, {}, 0.0))

    def test_dump_has_both_figures(self) -> None:
        state = self.cells.state(0.1)["pool#0"]["engines"]["b-2"]
        self.assertEqual(2.0, round(state["lasting_pace"], 3))
        self.assertEqual(2.5, state["momentary_pace"])

    def test_change_is_logged_once(self) -> None:
        with mock.patch.object(permit_cells, "LOG") as log:
            self.cells.log_paces(0.1)
            self.cells.log_paces(0.2)
        log.info.assert_called_once_with(
            "engine pace", engine="b-2", lasting=2.0, moment=2.5
        )

    def test_engine_that_is_gone_is_logged_anew(self) -> None:
        """An engine that came back was compared with the one before it."""
        self.cells.log_paces(0.1)
        self.configuration.set("pool", self.backends(NAMES[:1]))
        self.refresh()
        self.cells.log_paces(0.2)
        self.assertNotIn("b-2", self.cells._logged_paces)


if __name__ == "__main__":
    unittest.main()
