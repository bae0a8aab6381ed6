"""Tests of one job whose results two members write."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import TYPE_CHECKING
import unittest

from mulberrypass.batches.store import BatchStore
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, job, outcome, route

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import ItemOutcome, VersionedHead

JOB = "job-1"
ITEMS = 4
SEEDS = range(40)
STEPS = 40
# Some outputs take several rows.
LONG_BYTES = 80_000


@dataclass(slots=True)
class Writer:
    """A member that takes itself for the holder of the job.

    :ivar known: the head as it last saw it, which may be an old one
    """

    rows: RowState
    known: VersionedHead

    def list(self, *outcomes: ItemOutcome) -> bool:
        """List outcomes; return whether the member knows that they are."""
        store = BatchStore(self.rows, sleep=lambda _s: None)
        result = store.record_outcomes(self.known, HOST, JOB, outcomes)
        if result.is_ok():
            self.known = result.ok
        return result.is_ok()


class TwoHoldersTest(unittest.TestCase):
    """Two members that run the same items, as around a takeover."""

    def setUp(self) -> None:
        self.rows = RowState()
        self.store = BatchStore(self.rows, sleep=lambda _s: None)
        accepted = self.store.accept(job(items=ITEMS), route(), "entry@a").ok
        assert accepted.head is not None
        self.first = Writer(self.rows, accepted.head)
        self.second = Writer(self.rows, accepted.head)

    def listed(self) -> tuple[ItemOutcome, ...]:
        """Return the results as members read them."""
        page = self.store.results(HOST, JOB, 0, None).ok.outcomes
        known = self.store.results(HOST, JOB, 0, ITEMS).ok.outcomes
        self.assertEqual(page, known)
        return page


class OneResultTest(TwoHoldersTest):
    """A listed result could change, or its item have another one."""

    def test_whole_output_is_not_replaced_by_a_part(self) -> None:
        whole, part = outcome(0, "whole"), outcome(0, "part")
        self.first.list(whole)
        self.assertTrue(self.second.list(part))
        self.assertEqual((whole,), self.listed())

    def test_part_of_a_longer_output_does_not_mix_with_it(self) -> None:
        text = random.Random(1).randbytes(2 * LONG_BYTES).hex()
        whole, part = outcome(0, text), outcome(0, text[:LONG_BYTES])
        self.first.list(whole)
        self.second.list(part)
        self.assertEqual((whole,), self.listed())

    def test_items_do_not_share_a_position(self) -> None:
        self.first.list(outcome(0, "a"))
        self.second.list(outcome(1, "b"))
        self.assertEqual((outcome(0, "a"), outcome(1, "b")), self.listed())

    def test_late_write_of_a_former_holder(self) -> None:
        self.rows.faults.late = 99
        self.assertFalse(self.first.list(outcome(0, "part")))
        self.rows.faults.late = 0
        self.second.list(outcome(0, "whole"))
        self.rows.deliver_late()
        self.assertEqual((outcome(0, "whole"),), self.listed())

    def test_write_whose_answer_was_lost(self) -> None:
        self.rows.faults.lose = 1
        self.first.list(outcome(0, "whole"))
        self.second.list(outcome(0, "part"), outcome(1, "b"))
        self.assertEqual((outcome(0, "whole"), outcome(1, "b")), self.listed())


class RandomWritersTest(TwoHoldersTest):
    """Random writes of two members under faults of the store."""

    def test_results_never_change(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.setUp()
                self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        written: set[ItemOutcome] = set()
        before: tuple[ItemOutcome, ...] = ()
        for step in range(STEPS):
            self.rows.faults.lose = rng.random() < 0.2
            self.rows.faults.late = rng.random() < 0.3
            if rng.random() < 0.2:
                self.rows.deliver_late()
            writer = rng.choice((self.first, self.second))
            size = rng.choice((1, 1, 1, LONG_BYTES))
            text = f"{step}-{rng.randbytes(size).hex()}"
            indexes = rng.sample(range(ITEMS), rng.choice((1, 1, 2)))
            outcomes = tuple(outcome(index, text) for index in indexes)
            written.update(outcomes)
            writer.list(*outcomes)
            self.rows.faults.lose = self.rows.faults.late = 0
            found = self.listed()
            self.assertEqual(before, found[: len(before)])
            self.assertLessEqual(set(found), written)
            self.assertEqual(len(found), len({o.index for o in found}))
            before = found


if __name__ == "__main__":
    unittest.main()
