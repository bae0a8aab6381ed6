"""Tests of permits under seeded faults over real sockets."""

from __future__ import annotations

import os
import random
import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.peer.loop import LoopThread
from mulberrypass.policy.messages import (
    FirstToken,
    Grant,
    Refuse,
    Release,
    ReleaseOutcome,
)
from tests.peer.permit_fakes import (
    WAIT_S,
    Entry,
    FakeConfiguration,
    FakeMembership,
    member,
    start_client,
    wait_until,
)
from tests.policy.admission.cases import ask, batch, engine

if TYPE_CHECKING:
    from concurrent.futures import Future

    from mulberrypass.peer.permit_client import PeerPermitClient

SEEDS = int(os.environ.get("MULBERRY_TEST_FAULT_SEEDS", "2"))
STEPS = 12
ASKS = 25
MEMBERS = [
    member(f"entry@{name}", f"127.0.30.{10 + index}")
    for index, name in enumerate("abc")
]


class FaultScenario:
    """Three owners of two cells, and four permit clients."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ports: dict[str, int] = {}
        self.membership = FakeMembership(*MEMBERS)
        backends = [engine(f"core-{index:02}", 2) for index in range(20)]
        self.cfg = FakeConfiguration("rackmind", backends)
        self.entries = [
            Entry(m, self.membership, self.cfg, self.ports) for m in MEMBERS
        ]
        self.loop = LoopThread()
        self.loop.start()
        self.batch = start_client(
            member("batch@x"), self.loop, self.membership, self.cfg, self.ports
        )
        self.holders = [*(e.client for e in self.entries), self.batch]
        self.resume = threading.Event()
        self.answers: list[Future[Grant | Refuse]] = []

    def step(self) -> None:
        """Inject one fault, and request permits meanwhile."""
        entry = self.rng.choice(self.entries)
        fault = self.rng.choice(("cut", "pause", "members", "none"))
        self.resume.set()
        match fault:
            case "cut":
                entry.stop_server()
            case "pause":
                self.resume = threading.Event()
                entry.pause(self.resume)
            case "members":
                count = self.rng.randint(1, len(MEMBERS))
                self.membership.set(*self.rng.sample(MEMBERS, count))
        for _ in range(ASKS):
            self.ask(self.rng.choice(self.holders))
        if fault == "cut":
            entry.start_server(self.ports, self.ports[entry.me.name])

    def ask(self, holder: PeerPermitClient) -> None:
        """Request a permit, and release it as soon as it is granted."""
        make_ask = self.rng.choice((ask, batch))
        new_ask = make_ask(f"ask-{len(self.answers)}", budget_s=60.0)
        answer = holder.ask(new_ask, lambda: None)
        answer.add_done_callback(
            lambda fut: self.release_grant(holder, fut.result())
        )
        self.answers.append(answer)

    def release_grant(
        self, holder: PeerPermitClient, answer: Grant | Refuse
    ) -> None:
        """Release a permit if it was granted."""
        if isinstance(answer, Grant):
            holder.tell(FirstToken(answer.ask_id, 0.01))
            done = ReleaseOutcome.DONE
            holder.tell(Release(answer.ask_id, done, 0.02, 10))

    def is_idle(self) -> bool:
        """Return whether no owner has a permit in use."""
        return not any(
            cell["permits"]
            for entry in self.entries
            for cell in entry.owner.state()["cells"].values()
        )

    def stop(self) -> None:
        """Stop all parts."""
        self.resume.set()
        self.batch.stop()
        for entry in self.entries:
            entry.stop()
        self.loop.stop()


class PermitFaultsTest(unittest.TestCase):
    def test_all_asks_granted_and_all_permits_released(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                scenario = FaultScenario(seed)
                try:
                    for _ in range(STEPS):
                        scenario.step()
                    scenario.resume.set()
                    scenario.membership.set(*MEMBERS)
                    for answer in scenario.answers:
                        self.assertIsInstance(answer.result(WAIT_S), Grant)
                    wait_until(scenario.is_idle)
                    for holder in scenario.holders:
                        state = holder.state()
                        self.assertEqual({}, state["local"])
                        self.assertEqual({}, state["asks"])
                finally:
                    scenario.stop()
