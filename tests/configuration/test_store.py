"""Tests of publishing: conditions, lost replies, repeats, conflicts."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

from expression import Result

from mulberrypass.configuration import store as s
from mulberrypass.model.objects import Configuration, Model
from mulberrypass.model.snapshot import encode
from mulberrypass.testing.platform_faults import CallFault, Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Iterable

PASS = CallFault.PASS
LOST_REPLY = CallFault.LOSE_REPLY
LOST_REQUEST = CallFault.LOSE_REQUEST
REFUSED = CallFault.REFUSE


def make_configuration(*models: str) -> Configuration:
    """Return an unpublished configuration that has these models."""
    cfg = Configuration(models={name: Model(name) for name in models})
    return Configuration(models=cfg.models, digest=encode(cfg, 0).digest)


class StoreTest(unittest.TestCase):
    """A submission is published once, and answered correctly."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.store = s.ConfigurationStore(
            MemoryTable(self.platform),
            MemoryObjects(self.platform),
            clock=lambda: 1_000.0,
            sleep=lambda _: None,
        )

    def submit(
        self, cfg: Configuration, base: int, submit_id: str, who: str = "ann"
    ) -> s.Accepted | s.SubmitError:
        """Submit a configuration, and return the answer."""
        sub = s.Submission(cfg, base, submit_id, who)
        match self.store.submit(sub):
            case Result(tag="ok", ok=accepted):
                return accepted
            case Result(error=exc):
                return exc

    def generation(self) -> int:
        """Return the published generation."""
        self.platform.set_faults(Faults())
        match self.store.head():
            case Result(tag="ok", ok=head):
                return head.generation
            case Result(error=exc):
                self.fail(exc)

    def test_each_write_lost(self) -> None:
        """Writes: the check that reads the head, the snapshot, the head."""
        cases: tuple[tuple[str, Iterable[CallFault], bool], ...] = (
            ("none", (), True),
            ("reading's reply", (LOST_REPLY,), True),
            ("snapshot's reply", (PASS, LOST_REPLY), True),
            ("snapshot's request", (PASS, LOST_REQUEST), True),
            ("head's reply", (PASS, PASS, LOST_REPLY), True),
            ("head's request", (PASS, PASS, LOST_REQUEST), True),
            ("head's twice", (PASS, PASS, LOST_REPLY, LOST_REPLY), True),
            (
                "conflict check's reply",
                (PASS, PASS, LOST_REPLY, PASS, LOST_REPLY),
                True,
            ),
            ("reading refused", [REFUSED] * 4, False),
            ("snapshot refused", (PASS, *[REFUSED] * 4), False),
            ("head refused", (PASS, PASS, *[REFUSED] * 4), False),
        )
        for name, script, published in cases:
            with self.subTest(name):
                self.setUp()
                self.platform.script_writes(script)
                answer = self.submit(make_configuration("a"), 0, "1")
                if published:
                    assert isinstance(answer, s.Accepted), answer
                    self.assertEqual(1, answer.snapshot.generation)
                else:
                    assert isinstance(answer, s.StoreDown), answer
                    self.assertFalse(answer.maybe_accepted)
                self.assertEqual(int(published), self.generation())

    def test_unknown_outcome_is_resolved_by_a_repeat(self) -> None:
        self.platform.script_writes([PASS, PASS, LOST_REPLY, *[REFUSED] * 3])
        first = self.submit(make_configuration("a"), 0, "1")
        assert isinstance(first, s.StoreDown)
        self.assertTrue(first.maybe_accepted)
        again = self.submit(make_configuration("a"), 0, "1")
        assert isinstance(again, s.Accepted)
        self.assertTrue(again.repeated)
        self.assertEqual(1, self.generation())

    def test_repeats(self) -> None:
        self.submit(make_configuration("a"), 0, "1")
        self.submit(make_configuration("a", "b"), 1, "2", "bob")
        repeated = self.submit(make_configuration("a"), 0, "1")
        assert isinstance(repeated, s.Accepted)
        self.assertEqual(1, repeated.snapshot.generation)
        same = self.submit(make_configuration("a", "b"), 1, "3")
        assert isinstance(same, s.Accepted)
        self.assertTrue(same.unchanged)
        reused = self.submit(make_configuration("c"), 2, "2")
        self.assertEqual(s.SubmitIdReused(2), reused)
        self.assertEqual(2, self.generation())

    def test_conflict_lists_the_changes_and_their_operator(self) -> None:
        self.submit(make_configuration("a", "b"), 0, "1")
        self.submit(make_configuration("a", "c"), 1, "2", "bob")
        answer = self.submit(make_configuration("a", "b", "d"), 1, "3")
        assert isinstance(answer, s.StaleBase)
        (entry,) = answer.since
        self.assertEqual(("bob", 2), (entry.operator, entry.generation))
        changes = [(c.key, c.action) for c in entry.changes]
        self.assertEqual([("b", "removed"), ("c", "added")], changes)

    def test_a_lost_snapshot_can_be_replaced(self) -> None:
        self.submit(make_configuration("a"), 0, "1")
        for key in self.platform.object_keys():
            self.platform.delete_object(key)
        answer = self.submit(make_configuration("a", "b"), 1, "2")
        assert isinstance(answer, s.Accepted), answer
        self.assertEqual(2, self.generation())

    def test_outage(self) -> None:
        self.platform.set_faults(Faults(outage=True))
        answer = self.submit(make_configuration("a"), 0, "1")
        assert isinstance(answer, s.StoreDown)
        self.assertFalse(answer.maybe_accepted)
        self.assertEqual(0, self.generation())

    def test_history_is_newest_first(self) -> None:
        for number in range(12):
            names = [f"m{i}" for i in range(number + 1)]
            self.submit(make_configuration(*names), number, str(number))
        match self.store.history(limit=3):
            case Result(tag="ok", ok=entries):
                found = [entry.generation for entry in entries]
                self.assertEqual([12, 11, 10], found)
            case Result(error=exc):
                self.fail(exc)


if __name__ == "__main__":
    unittest.main()
