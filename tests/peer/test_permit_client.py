"""Tests of permit clients and cell owners over real sockets."""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.peer.loop import LoopThread
from mulberrypass.policy.admission import cells
from mulberrypass.policy.messages import (
    FirstToken,
    Grant,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Withdraw,
)
from mulberrypass.runtime.metrics import Decision
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
    from mulberrypass.peer.permit_client import PeerPermitClient
    from mulberrypass.policy.messages import Ask

ENTRY_A = member("entry@a", "127.0.30.1")
ENTRY_B = member("entry@b", "127.0.30.2")
BATCH = member("batch@c", "127.0.30.3")
CELL = cells.CellKey("rackmind", 0)


def _ignore_revoke() -> None:
    return None


class PermitClientCase(unittest.TestCase):
    """One owner, one other entry, and two engines with two slots each."""

    def setUp(self) -> None:
        self.ports: dict[str, int] = {}
        self.membership = FakeMembership(ENTRY_A, ENTRY_B)
        self.backends = [engine("core-0", 2), engine("core-1", 2)]
        self.cfg = FakeConfiguration("rackmind", self.backends)
        self.entries = {
            m.name: Entry(m, self.membership, self.cfg, self.ports)
            for m in (ENTRY_A, ENTRY_B)
        }
        owner_entry = cells.owner(CELL, self.entries)
        self.owner_entry = self.entries.pop(owner_entry or "")
        self.other_entry = next(iter(self.entries.values()))
        self.loop = LoopThread()
        self.loop.start()
        self.client = start_client(
            BATCH, self.loop, self.membership, self.cfg, self.ports
        )

    def tearDown(self) -> None:
        self.client.stop()
        self.loop.stop()
        self.owner_entry.stop()
        self.other_entry.stop()

    def answer(
        self, made: Ask, holder: PeerPermitClient | None = None
    ) -> Grant | Refuse:
        return (holder or self.client).ask(made, _ignore_revoke).result(WAIT_S)

    def grant(
        self, made: Ask, holder: PeerPermitClient | None = None
    ) -> Grant:
        got = self.answer(made, holder)
        assert isinstance(got, Grant), got
        return got

    def permits(self, entry: Entry) -> int:
        cell = entry.owner.state()["cells"].get(CELL.name)
        return cell["permits"] if cell else 0

    def queued(self, entry: Entry, work_class: str) -> int:
        cell = entry.owner.state()["cells"][CELL.name]
        return sum(cell["queued"][work_class].values())

    def leaving(self, entry: Entry) -> set[str]:
        engines = entry.owner.state()["cells"][CELL.name]["engines"]
        return {name for name, e in engines.items() if e["leaving"]}


class PermitClientTest(PermitClientCase):
    def test_grant_and_release_for_every_holder(self) -> None:
        holders = {
            "local": self.owner_entry.client,
            "remote entry": self.other_entry.client,
            "remote batch": self.client,
        }
        for name, holder in holders.items():
            with self.subTest(holder=name):
                self.grant(ask(name), holder)
                self.assertEqual(1, self.permits(self.owner_entry))
                holder.tell(FirstToken(name, 0.1))
                holder.tell(Release(name, ReleaseOutcome.DONE, 0.2, 10))
                wait_until(lambda: self.permits(self.owner_entry) == 0)

    def test_queued_ask_is_granted_on_release(self) -> None:
        for index in range(4):
            self.grant(ask(f"run-{index}"))
        waiting = self.client.ask(ask("wait"), _ignore_revoke)
        wait_until(lambda: self.queued(self.owner_entry, "online") == 1)
        self.assertFalse(waiting.done())
        self.client.tell(Release("run-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_withdrawn_ask_leaves_the_queue(self) -> None:
        for index in range(4):
            self.grant(ask(f"run-{index}"))
        waiting = self.client.ask(ask("wait"), _ignore_revoke)
        wait_until(lambda: self.queued(self.owner_entry, "online") == 1)
        self.client.tell(Withdraw("wait"))
        self.assertIsInstance(waiting.result(WAIT_S), Refuse)
        wait_until(lambda: self.queued(self.owner_entry, "online") == 0)

    def test_online_revokes_batch(self) -> None:
        revoked = threading.Event()
        for index in range(4):
            made = batch(f"batch-{index}", prompt_tokens=1)
            self.client.ask(made, revoked.set).result(WAIT_S)
            self.client.tell(FirstToken(made.ask_id, 0.01))
        waiting = self.other_entry.client.ask(ask("urgent"), _ignore_revoke)
        self.assertTrue(revoked.wait(WAIT_S))
        self.client.tell(Release("batch-3", ReleaseOutcome.CANCELLED))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_state_is_json_serializable(self) -> None:
        self.grant(ask("runs"))
        for part in (
            self.owner_entry.owner,
            self.owner_entry.client,
            self.client,
        ):
            state = part.state()
            self.assertEqual(state, json.loads(json.dumps(state)))

    def test_unknown_pool_is_refused(self) -> None:
        got = self.answer(ask("lost", pool="nowhere"))
        assert isinstance(got, Refuse)
        self.assertIs(RefusalReason.NO_BACKEND, got.reason)


class OwnerFailureTest(PermitClientCase):
    def test_running_permits_move_to_a_new_owner(self) -> None:
        for index in range(4):
            self.grant(ask(f"run-{index}"))
        waiting = self.client.ask(ask("wait"), _ignore_revoke)
        wait_until(lambda: self.queued(self.owner_entry, "online") == 1)
        self.membership.set(self.other_entry.me)
        wait_until(lambda: self.permits(self.other_entry) == 4)
        wait_until(lambda: self.queued(self.other_entry, "online") == 1)
        wait_until(lambda: self.permits(self.owner_entry) == 0)
        self.client.tell(Release("run-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_online_fails_open_and_batch_waits(self) -> None:
        self.owner_entry.stop_server()
        got = self.grant(ask("open"))
        self.assertIn(got.backend, ("core-0", "core-1"))
        local = self.client.state()["local"]
        self.assertEqual({got.backend: 1}, local)
        waiting = self.client.ask(batch("later"), _ignore_revoke)
        self.grant(ask("open-2"))
        self.assertFalse(waiting.done())
        self.owner_entry.start_server(self.ports)
        self.client.stop()

    def test_local_share_is_bounded(self) -> None:
        self.owner_entry.stop_server()
        self.grant(ask("open-0"))
        self.grant(ask("open-1"))
        third = self.client.ask(ask("open-2"), _ignore_revoke)
        self.client.tell(Release("open-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(third.result(WAIT_S), Grant)
        self.assertEqual(2, sum(self.client.state()["local"].values()))

    def test_reconnect_restores_asks_and_permits(self) -> None:
        for index in range(4):
            self.grant(batch(f"run-{index}", prompt_tokens=0))
        waiting = self.client.ask(batch("wait"), _ignore_revoke)
        wait_until(lambda: self.queued(self.owner_entry, "batch") == 1)
        port = self.ports[self.owner_entry.me.name]
        self.owner_entry.stop_server()
        wait_until(lambda: self.queued(self.owner_entry, "batch") == 0)
        self.owner_entry.start_server(self.ports, port)
        wait_until(lambda: self.queued(self.owner_entry, "batch") == 1)
        self.assertEqual(4, self.permits(self.owner_entry))
        self.client.tell(Release("run-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_paused_owner_learns_of_local_grants(self) -> None:
        self.grant(ask("before"))
        resume = threading.Event()
        self.owner_entry.pause(resume)
        try:
            self.grant(ask("open"))
            self.assertEqual(1, sum(self.client.state()["local"].values()))
        finally:
            resume.set()
        wait_until(lambda: self.permits(self.owner_entry) == 2)
        after = self.grant(ask("after"))
        self.assertNotIn("open_2", after.ask_id)
        for name in ("before", "open", "after"):
            self.client.tell(Release(name, ReleaseOutcome.DONE, 0.2, 10))
        wait_until(lambda: self.permits(self.owner_entry) == 0)
        self.assertEqual({}, self.client.state()["local"])

    def test_not_owner_refusal_is_rerouted(self) -> None:
        """A client with a stale membership asks a member that is not owner."""
        stale_membership = FakeMembership(self.other_entry.me)
        stale_client = start_client(
            BATCH, self.loop, stale_membership, self.cfg, self.ports
        )
        waiting = stale_client.ask(ask("moved"), _ignore_revoke)
        stale_membership.set(self.owner_entry.me, self.other_entry.me)
        self.assertIsInstance(waiting.result(WAIT_S), Grant)
        stale_client.stop()

    def test_leaving_backend_gets_no_new_work(self) -> None:
        both = (self.owner_entry.me, self.other_entry.me)
        self.membership.set(*both, leaving=("core-0",))
        wait_until(lambda: self.leaving(self.owner_entry) == {"core-0"})
        for index in range(2):
            got = self.grant(ask(f"run-{index}"))
            self.assertEqual("core-1", got.backend)
        self.owner_entry.stop_server()
        self.assertEqual("core-1", self.grant(ask("open")).backend)

    def test_lost_holder_frees_its_slots(self) -> None:
        for index in range(4):
            self.grant(batch(f"run-{index}", prompt_tokens=0))
        self.client.stop()
        waiting = self.other_entry.client.ask(ask("next"), _ignore_revoke)
        self.assertIsInstance(waiting.result(WAIT_S), Grant)
        counts = self.owner_entry.metrics.snapshot()
        self.assertEqual(1, counts[Decision.REVOKED])
