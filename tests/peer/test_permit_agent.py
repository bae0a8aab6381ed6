"""Tests of how often a holder pings its owners."""

from __future__ import annotations

import asyncio
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any
import unittest
from unittest import mock

from mulberrypass.peer.permit_agent import (
    NORMAL_PING_S,
    URGENT_PING_S,
    PermitAgent,
)
from mulberrypass.peer.permit_request import PermitRequest
from mulberrypass.policy.admission.cells import CellKey
from mulberrypass.policy.messages import WorkClass
from mulberrypass.runtime.metrics import Metrics
from tests.policy.admission.cases import ask

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = CellKey("rackmind", 0)
OWNER = "entry@owner"


def request(ask_id: str, work_class: WorkClass) -> PermitRequest:
    """Return a new permit request."""
    made = ask(ask_id, work_class=work_class)
    return PermitRequest(made, Future(), lambda: None, 0.0, 30.0)


class PingIntervalTest(unittest.IsolatedAsyncioTestCase):
    """Only waiting online work needs frequent pings.

    When all work was pinged at that rate, pings took half of the time of
    a fleet under low load.
    """

    def setUp(self) -> None:
        self.sessions = mock.Mock()
        self.sessions.get.return_value.silent_s.return_value = 0.0
        self.routes = mock.Mock()
        self.routes.choose.return_value = KEY
        self.routes.owner.return_value = OWNER

    async def pings(self, *classes: WorkClass) -> dict[float, set[str]]:
        """Return the owners that are pinged at each interval."""
        loop = asyncio.get_running_loop()
        agent = PermitAgent(
            loop, self.routes, self.sessions, lambda: 0.0, Metrics("entry")
        )
        for number, work_class in enumerate(classes):
            agent.handle(request(f"a{number}", work_class))
        called = asyncio.Event()
        self.sessions.flush.side_effect = called.set
        await asyncio.wait_for(called.wait(), 10.0)
        return dict(self._pinged())

    def _pinged(self) -> Iterator[tuple[float, set[str]]]:
        for call in self.sessions.check_liveness.call_args_list[:2]:
            arguments: Any = call.args
            yield arguments[2], set(arguments[0])

    async def test_waiting_online_work_is_urgent(self) -> None:
        pinged = await self.pings(WorkClass.BATCH, WorkClass.ONLINE)
        self.assertEqual(
            {URGENT_PING_S: {OWNER}, NORMAL_PING_S: set()}, pinged
        )

    async def test_waiting_batch_work_is_not_urgent(self) -> None:
        pinged = await self.pings(WorkClass.BATCH)
        self.assertEqual(
            {URGENT_PING_S: set(), NORMAL_PING_S: {OWNER}}, pinged
        )
