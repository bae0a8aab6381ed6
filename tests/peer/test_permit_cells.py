"""Tests of the cells of an owner."""

from __future__ import annotations

from dataclasses import replace
import unittest
from unittest.mock import patch

from mulberrypass.model.objects import Backend, BackendKind, Customer
from mulberrypass.peer.permit_cells import OwnedCells
from mulberrypass.policy.admission.cells import CellKey
from mulberrypass.policy.messages import Release, ReleaseOutcome
from mulberrypass.programs.site_settings import CELLS
from tests.peer.permit_fakes import FakeConfiguration, FakeMembership, member
from tests.policy.admission.cases import ask

POOL = "pool"
HOT, OTHER = "hot", "other"


class CustomerOverItsShareTest(unittest.TestCase):
    """Operators can't see which customer takes the room."""

    def setUp(self) -> None:
        self.log = self.enterContext(
            patch("mulberrypass.peer.permit_cells.LOG")
        )
        me = member("entry@a")
        self.cells = OwnedCells(me.name, FakeMembership(me), CELLS)
        backend = Backend("b-1", BackendKind.ENGINE, "z", "127.0.0.1:1", 8)
        cfg = replace(
            FakeConfiguration(POOL, (backend,)).current(),
            customers={name: Customer(name, ()) for name in (HOT, OTHER)},
        )
        list(self.cells.refresh(cfg, {}, 0.0))
        cell = self.cells.get(CellKey(POOL, 0))
        assert cell is not None
        self.cell = cell

    def flood(self) -> None:
        self.cell.handle(ask("other", customer=OTHER), 0.0)
        limits = {"customer": HOT, "start_within_s": 0.24, "budget_s": 5.0}
        now = 0.1
        for number in range(400):
            self.cell.handle(ask(f"hot-{number}", **limits), now)
            now += 0.01
            for permit in self.cell.permits:
                if permit.ask.customer == HOT and now > permit.granted_at + 1:
                    done = Release(
                        permit.ask.ask_id, ReleaseOutcome.DONE, 1.0, 5
                    )
                    self.cell.handle(done, now)

    def test_log_line_and_figures_name_it(self) -> None:
        self.flood()
        self.cells.log_shares()
        lines = [
            call.kwargs
            for call in self.log.info.call_args_list
            if call.args == ("customer over its share",)
        ]
        self.assertEqual([HOT], [line["customer"] for line in lines])
        self.assertGreater(lines[0]["refused"], 0)
        shares = self.cells.state(5.0)[f"{POOL}#0"]["shares"]
        self.assertEqual([HOT], list(shares))
        self.assertEqual(lines[0]["refused"], shares[HOT]["refused"])

    def test_nothing_new_is_not_logged_again(self) -> None:
        self.flood()
        self.cells.log_shares()
        self.log.reset_mock()
        self.cells.log_shares()
        self.log.info.assert_not_called()
