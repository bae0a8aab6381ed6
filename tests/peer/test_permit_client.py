"""Tests of holders and owners over real sockets."""

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
    link,
    member,
    until,
)
from tests.policy.admission.cases import ask, batch, engine

if TYPE_CHECKING:
    from mulberrypass.peer.permit_client import PeerPermitClient
    from mulberrypass.policy.messages import Ask

ENTRY_A = member("entry@a", "127.0.30.1")
ENTRY_B = member("entry@b", "127.0.30.2")
BATCH = member("batch@c", "127.0.30.3")
CELL = cells.CellKey("rackmind", 0)


def _nothing() -> None:
    return None


class HolderCase(unittest.TestCase):
    """One owner and one other entry, two engines of two slots."""

    def setUp(self) -> None:
        self.ports: dict[str, int] = {}
        self.membership = FakeMembership(ENTRY_A, ENTRY_B)
        self.backends = [engine("core-0", 2), engine("core-1", 2)]
        self.cfg = FakeConfiguration("rackmind", self.backends)
        self.entries = {
            m.name: Entry(m, self.membership, self.cfg, self.ports)
            for m in (ENTRY_A, ENTRY_B)
        }
        first = cells.owner(CELL, self.entries)
        self.first = self.entries.pop(first or "")
        self.second = next(iter(self.entries.values()))
        self.loop = LoopThread()
        self.loop.start()
        self.link = link(
            BATCH, self.loop, self.membership, self.cfg, self.ports
        )

    def tearDown(self) -> None:
        self.link.stop()
        self.loop.stop()
        self.first.stop()
        self.second.stop()

    def answer(
        self, made: Ask, holder: PeerPermitClient | None = None
    ) -> Grant | Refuse:
        return (holder or self.link).ask(made, _nothing).result(WAIT_S)

    def grant(
        self, made: Ask, holder: PeerPermitClient | None = None
    ) -> Grant:
        got = self.answer(made, holder)
        assert isinstance(got, Grant), got
        return got

    def permits(self, entry: Entry) -> int:
        cell = entry.owner.state()["cells"].get(CELL.name)
        return cell["permits"] if cell else 0

    def queued(self, entry: Entry, kind: str) -> int:
        cell = entry.owner.state()["cells"][CELL.name]
        return sum(cell["queued"][kind].values())

    def leaving(self, entry: Entry) -> set[str]:
        engines = entry.owner.state()["cells"][CELL.name]["engines"]
        return {name for name, e in engines.items() if e["leaving"]}


class HolderTest(HolderCase):
    def test_ask_use_and_release_from_every_holder(self) -> None:
        holders = {
            "local": self.first.link,
            "remote entry": self.second.link,
            "remote batch": self.link,
        }
        for name, holder in holders.items():
            with self.subTest(holder=name):
                self.grant(ask(name), holder)
                self.assertEqual(1, self.permits(self.first))
                holder.tell(FirstToken(name, 0.1))
                holder.tell(Release(name, ReleaseOutcome.DONE, 0.2, 10))
                until(lambda: self.permits(self.first) == 0)

    def test_queued_ask_is_granted_on_release(self) -> None:
        for index in range(4):
            self.grant(ask(f"run-{index}"))
        waiting = self.link.ask(ask("wait"), _nothing)
        until(lambda: self.queued(self.first, "online") == 1)
        self.assertFalse(waiting.done())
        self.link.tell(Release("run-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_withdrawn_ask_leaves_the_queue(self) -> None:
        for index in range(4):
            self.grant(ask(f"run-{index}"))
        waiting = self.link.ask(ask("wait"), _nothing)
        until(lambda: self.queued(self.first, "online") == 1)
        self.link.tell(Withdraw("wait"))
        self.assertIsInstance(waiting.result(WAIT_S), Refuse)
        until(lambda: self.queued(self.first, "online") == 0)

    def test_online_revokes_batch(self) -> None:
        revoked = threading.Event()
        for index in range(4):
            made = batch(f"batch-{index}", prompt_tokens=1)
            self.link.ask(made, revoked.set).result(WAIT_S)
            self.link.tell(FirstToken(made.ask_id, 0.01))
        waiting = self.second.link.ask(ask("urgent"), _nothing)
        self.assertTrue(revoked.wait(WAIT_S))
        self.link.tell(Release("batch-3", ReleaseOutcome.CANCELLED))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_states_are_json(self) -> None:
        self.grant(ask("runs"))
        for part in (self.first.owner, self.first.link, self.link):
            state = part.state()
            self.assertEqual(state, json.loads(json.dumps(state)))

    def test_unknown_pool_is_refused(self) -> None:
        got = self.answer(ask("lost", pool="nowhere"))
        assert isinstance(got, Refuse)
        self.assertIs(RefusalReason.NO_BACKEND, got.reason)


class OwnerLostTest(HolderCase):
    def test_running_permits_move_to_a_new_owner(self) -> None:
        for index in range(4):
            self.grant(ask(f"run-{index}"))
        waiting = self.link.ask(ask("wait"), _nothing)
        until(lambda: self.queued(self.first, "online") == 1)
        self.membership.set(self.second.me)
        until(lambda: self.permits(self.second) == 4)
        until(lambda: self.queued(self.second, "online") == 1)
        until(lambda: self.permits(self.first) == 0)
        self.link.tell(Release("run-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_online_fails_open_and_batch_waits(self) -> None:
        self.first.cut()
        got = self.grant(ask("open"))
        self.assertIn(got.backend, ("core-0", "core-1"))
        share = self.link.state()["local"]
        self.assertEqual({got.backend: 1}, share)
        waiting = self.link.ask(batch("later"), _nothing)
        self.grant(ask("open-2"))
        self.assertFalse(waiting.done())
        self.first.start_server(self.ports)
        self.link.stop()

    def test_local_share_is_bounded(self) -> None:
        self.first.cut()
        self.grant(ask("open-0"))
        self.grant(ask("open-1"))
        third = self.link.ask(ask("open-2"), _nothing)
        self.link.tell(Release("open-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(third.result(WAIT_S), Grant)
        self.assertEqual(2, sum(self.link.state()["local"].values()))

    def test_cut_stream_loses_nothing(self) -> None:
        for index in range(4):
            self.grant(batch(f"run-{index}", prompt_tokens=0))
        waiting = self.link.ask(batch("wait"), _nothing)
        until(lambda: self.queued(self.first, "batch") == 1)
        port = self.ports[self.first.me.name]
        self.first.cut()
        until(lambda: self.queued(self.first, "batch") == 0)
        self.first.start_server(self.ports, port)
        until(lambda: self.queued(self.first, "batch") == 1)
        self.assertEqual(4, self.permits(self.first))
        self.link.tell(Release("run-0", ReleaseOutcome.DONE, 0.2, 10))
        self.assertIsInstance(waiting.result(WAIT_S), Grant)

    def test_paused_owner_counts_what_ran_without_it(self) -> None:
        self.grant(ask("before"))
        resume = threading.Event()
        self.first.pause(resume)
        try:
            self.grant(ask("open"))
            self.assertEqual(1, sum(self.link.state()["local"].values()))
        finally:
            resume.set()
        until(lambda: self.permits(self.first) == 2)
        after = self.grant(ask("after"))
        self.assertNotIn("open_2", after.ask_id)
        for name in ("before", "open", "after"):
            self.link.tell(Release(name, ReleaseOutcome.DONE, 0.2, 10))
        until(lambda: self.permits(self.first) == 0)
        self.assertEqual({}, self.link.state()["local"])

    def test_member_that_owns_not_is_asked_again_elsewhere(self) -> None:
        """The members differ: the asked one knows of another owner."""
        narrow = FakeMembership(self.second.me)
        mistaken = link(BATCH, self.loop, narrow, self.cfg, self.ports)
        waiting = mistaken.ask(ask("moved"), _nothing)
        narrow.set(self.first.me, self.second.me)
        self.assertIsInstance(waiting.result(WAIT_S), Grant)
        mistaken.stop()

    def test_leaving_backend_gets_nothing_new(self) -> None:
        both = (self.first.me, self.second.me)
        self.membership.set(*both, leaving=("core-0",))
        until(lambda: self.leaving(self.first) == {"core-0"})
        for index in range(2):
            got = self.grant(ask(f"run-{index}"))
            self.assertEqual("core-1", got.backend)
        self.first.cut()
        self.assertEqual("core-1", self.grant(ask("open")).backend)

    def test_lost_holder_frees_its_slots(self) -> None:
        for index in range(4):
            self.grant(batch(f"run-{index}", prompt_tokens=0))
        self.link.stop()
        waiting = self.second.link.ask(ask("next"), _nothing)
        self.assertIsInstance(waiting.result(WAIT_S), Grant)
        counts = self.first.metrics.snapshot()
        self.assertEqual(1, counts[Decision.REVOKED])
