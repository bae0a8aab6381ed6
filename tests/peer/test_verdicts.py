"""Tests of verdicts on their way from holders to owners."""

from __future__ import annotations

import asyncio
from concurrent.futures import Future
import unittest
from unittest import mock

from mulberrypass.peer.permit_agent import PermitAgent
from mulberrypass.peer.permit_request import PermitRequest
from mulberrypass.policy.admission.cells import CellKey
from mulberrypass.policy.admission.settings import HealthSettings
from mulberrypass.policy.messages import Grant, Release, ReleaseOutcome
from mulberrypass.policy.verdicts import VERDICT_WAIT_S
from mulberrypass.runtime.metrics import Metrics
from tests.peer.permit_fakes import Entry, wait_until
from tests.peer.test_permit_client import CELL, PermitClientCase
from tests.policy.admission.cases import ask

KEY = CellKey("rackmind", 0)
OWNER = "entry@owner"
OTHER = "entry@other"
CANCELLED = Release("a", ReleaseOutcome.CANCELLED, 0.1, 5)
FAILED = Release("a", ReleaseOutcome.FAILED, 0.1, 5)
DONE = Release("a", ReleaseOutcome.DONE, 0.1, 5)
LIMIT = HealthSettings().failures


class AgentTest(unittest.IsolatedAsyncioTestCase):
    """A message about a permit that had been released went nowhere."""

    async def asyncSetUp(self) -> None:
        self.now = 0.0
        self.sessions = mock.Mock()
        self.session = self.sessions.get.return_value
        self.session.owner = OWNER
        self.session.silent_s.return_value = 0.0
        self.routes = mock.Mock()
        self.routes.choose.return_value = KEY
        self.routes.owner.return_value = OWNER
        self.agent = PermitAgent(
            asyncio.get_running_loop(),
            self.routes,
            self.sessions,
            lambda: self.now,
            Metrics("entry"),
        )
        self.addCleanup(self.agent.stop)

    def grant(self) -> None:
        self.agent.handle(
            PermitRequest(ask("a"), Future(), lambda: None, 0.0, 30.0)
        )
        reply = mock.Mock(loads={}, messages=(Grant("a", "core-0"),))
        self.sessions.on_reply(self.session, reply)

    def told(self, *messages: Release) -> list[tuple[str, Release]]:
        """Return which releases went to which owners."""
        for message in messages:
            self.agent.handle(message)
        calls = (call.args for call in self.sessions.send.call_args_list)
        return [
            (owner, message)
            for owner, message in calls
            if isinstance(message, Release)
        ]

    async def test_verdict_goes_to_the_owner_of_the_permit(self) -> None:
        for verdict in (FAILED, DONE):
            self.sessions.send.reset_mock()
            self.grant()
            told = self.told(CANCELLED)
            self.routes.owner.return_value = OTHER
            self.agent.reroute()
            self.assertEqual([(OWNER, CANCELLED)], told)
            told = self.told(verdict)
            self.assertEqual([(OWNER, CANCELLED), (OWNER, verdict)], told)
            self.routes.owner.return_value = OWNER

    async def test_second_verdict(self) -> None:
        self.grant()
        told = self.told(CANCELLED, FAILED, FAILED, DONE)
        self.assertEqual([(OWNER, CANCELLED), (OWNER, FAILED)], told)

    async def test_repeated_release(self) -> None:
        self.grant()
        told = self.told(CANCELLED, CANCELLED)
        self.assertEqual([(OWNER, CANCELLED)], told)

    async def test_unknown_permit(self) -> None:
        self.assertEqual([], self.told(FAILED))

    async def test_permit_with_another_outcome(self) -> None:
        self.grant()
        self.assertEqual([(OWNER, DONE)], self.told(DONE, FAILED))

    async def test_late_verdict(self) -> None:
        self.grant()
        self.told(CANCELLED)
        self.now = VERDICT_WAIT_S
        self.assertEqual([(OWNER, CANCELLED)], self.told(FAILED))

    async def test_permit_granted_here(self) -> None:
        self.session.silent_s.return_value = 30.0
        self.routes.backends.return_value = [mock.Mock(slots=8)]
        self.routes.backends.return_value[0].name = "core-0"
        self.routes.live_names.return_value = ["entry@a"]
        request = PermitRequest(ask("a"), Future(), lambda: None, 0.0, 30.0)
        self.agent.handle(request)
        self.assertTrue(request.local)
        told = self.told(CANCELLED, FAILED)
        self.assertNotIn(FAILED, [message for _, message in told])


class OwnerTest(PermitClientCase):
    """An owner dropped verdicts, as it didn't know their permits."""

    def failures(self, entry: Entry) -> int:
        cell = entry.owner.state()["cells"][CELL.name]
        return sum(each["failures"] for each in cell["health"].values())

    def wait_for_failures(self, count: int) -> None:
        wait_until(lambda: self.failures(self.owner_entry) == count)

    def test_verdicts_of_every_holder(self) -> None:
        holders = (
            self.owner_entry.client,
            self.other_entry.client,
            self.client,
        )
        for number, holder in enumerate(holders):
            name = f"run-{number}"
            # Each engine fails less often than what takes it out.
            avoid = (f"core-{number % 2}",)
            self.grant(ask(name, avoid=avoid), holder)
            holder.tell(Release(name, ReleaseOutcome.CANCELLED, 0.1, 5))
            wait_until(lambda: self.permits(self.owner_entry) == 0)
            self.assertEqual(number, self.failures(self.owner_entry))
            holder.tell(Release(name, ReleaseOutcome.FAILED, 0.1, 5))
            self.wait_for_failures(number + 1)
            self.assertEqual(0, self.permits(self.owner_entry))

    def test_breaking_engine_is_taken_out(self) -> None:
        for number in range(LIMIT):
            name = f"run-{number}"
            self.grant(ask(name, avoid=("core-1",)))
            self.client.tell(Release(name, ReleaseOutcome.CANCELLED, 0.1, 5))
            self.client.tell(Release(name, ReleaseOutcome.FAILED, 0.1, 5))

        def share() -> float:
            cell = self.owner_entry.owner.state()["cells"][CELL.name]
            found: float = cell["health"]["core-0"]["share"]
            return found

        wait_until(lambda: share() < 1.0)


if __name__ == "__main__":
    unittest.main()
