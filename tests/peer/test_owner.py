"""Tests of the thread that owns cells."""

from __future__ import annotations

import math
import time
import unittest
from unittest.mock import patch

from mulberrypass.model.objects import Backend, BackendKind
from mulberrypass.peer.owner import REFRESH_INTERVAL_S, CellOwner
from mulberrypass.policy.admission.cells import CellKey, owner
from mulberrypass.runtime.metrics import Metrics
from tests.peer.permit_fakes import (
    FakeConfiguration,
    FakeMembership,
    member,
    wait_until,
)

POOL = "pool"
WATCHED_S = 1.5


class IdleOwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        names = [f"entry@{number}" for number in range(200)]
        elected = owner(CellKey(POOL, 0), names)
        assert elected is not None
        self.elected = member(elected)
        self.other = next(member(n) for n in names if n != elected)
        self.membership = FakeMembership(*map(member, names))
        self.configuration = FakeConfiguration(
            POOL, (Backend("b-1", BackendKind.ENGINE, "z", "127.0.0.1:1", 4),)
        )

    def start(self, name: str) -> CellOwner:
        made = CellOwner(
            member(name),
            self.membership,
            self.configuration,
            Metrics("entry"),
        )
        self.addCleanup(made.stop)
        return made

    def test_member_without_a_cell_wakes_to_refresh_only(self) -> None:
        idle = self.start(self.other.name)
        with patch.object(idle, "_step", wraps=idle._step) as step:
            idle.start()
            wait_until(lambda: step.call_count > 0)
            before = step.call_count
            time.sleep(WATCHED_S)
            steps = step.call_count - before
            # One more may have been under way, and one may come early.
            allowed = 2 + math.ceil(WATCHED_S / REFRESH_INTERVAL_S)
            self.assertLessEqual(steps, allowed)

    def test_member_without_a_cell_takes_one_up_at_once(self) -> None:
        idle = self.start(self.other.name)
        idle.start()
        wait_until(lambda: idle.state()["cells"] == {})
        self.membership.set(self.other)
        wait_until(lambda: list(idle.state()["cells"]) == [f"{POOL}#0"])
