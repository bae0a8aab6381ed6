"""Tests of what a holder tells new owners about lasting paces."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from mulberrypass.peer.owner_reports import OwnerReports
from mulberrypass.peer.permit_agent import PermitAgent
from mulberrypass.peer.permit_paces import REJECTED_AFTER_S, KnownPaces
from mulberrypass.policy.health.lasting_paces import HINT_AGE_S
from mulberrypass.policy.messages import Grant, LimitReport, PaceReport
from mulberrypass.runtime.metrics import Metrics

OWNER = "entry@owner"
OTHER = "entry@other"


class KnownPacesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = KnownPaces()

    def test_new_owner_is_told_once(self) -> None:
        self.paces.note("e0", 1.5, 0.0)
        found = self.paces.report(OWNER, "e0", 2.0)
        self.assertEqual(PaceReport("e0", 1.5, 2.0), found)
        self.assertIsNone(self.paces.report(OWNER, "e0", 2.1))
        self.assertIsNotNone(self.paces.report(OTHER, "e0", 2.2))

    def test_unknown_server(self) -> None:
        self.assertIsNone(self.paces.report(OWNER, "e0", 0.0))
        self.assertEqual([], self.paces.reports(0.0))

    def test_pace_is_forgotten(self) -> None:
        self.paces.note("e0", 1.5, 0.0)
        self.assertEqual(1, len(self.paces.reports(HINT_AGE_S - 0.1)))
        self.assertEqual([], self.paces.reports(HINT_AGE_S))

    def test_repeated_hint_makes_it_no_younger(self) -> None:
        """Owners in turn would have kept a hint alive for good."""
        self.paces.note("e0", 1.5, 0.0)
        self.paces.note("e0", 1.5, 40.0)
        self.assertEqual(
            [PaceReport("e0", 1.5, 50.0)], self.paces.reports(50.0)
        )
        self.paces.note("e0", 1.6, 50.0)
        self.assertEqual(
            [PaceReport("e0", 1.6, 5.0)], self.paces.reports(55.0)
        )

    def test_pace_that_is_not_taken_is_dropped(self) -> None:
        """A server that came back would have got the pace at a later owner."""
        self.paces.note("e0", 1.5, 0.0)
        self.paces.report(OWNER, "e0", 1.0)
        self.paces.report(OWNER, "e0", 1.0 + REJECTED_AFTER_S)
        self.assertEqual([], self.paces.reports(2.5))


class OwnerReportsTest(unittest.TestCase):
    def test_both_figures_are_learned_and_told(self) -> None:
        reports = OwnerReports()
        grant = Grant("a", "e0", 2.0, 1.5)
        self.assertEqual([], list(reports.on_grant(OWNER, grant, 0.0)))
        expected = [LimitReport("", "e0", 2.0), PaceReport("e0", 1.5, 1.0)]
        self.assertEqual(expected, list(reports.for_new_owner(1.0)))
        told = list(reports.on_grant(OTHER, Grant("b", "e0"), 1.0))
        self.assertEqual(expected, told)


class AgentTest(unittest.IsolatedAsyncioTestCase):
    async def test_owner_on_a_new_connection_is_told(self) -> None:
        """A new owner began without knowing which servers are slower."""
        sessions: Any = mock.Mock()
        PermitAgent(
            asyncio.get_running_loop(),
            mock.Mock(),
            sessions,
            lambda: 0.0,
            Metrics("entry"),
        )
        granted = mock.Mock(messages=(Grant("a", "e0", 0.0, 1.5),), loads={})
        sessions.on_reply(mock.Mock(owner=OWNER), granted)
        sessions.on_open(mock.Mock(owner=OTHER))
        sessions.send.assert_any_call(OTHER, PaceReport("e0", 1.5, 0.0))


if __name__ == "__main__":
    unittest.main()
