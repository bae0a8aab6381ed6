"""Tests of results that don't fit one transaction of the store."""

from __future__ import annotations

import base64
import json
import random
from typing import TYPE_CHECKING
import unittest

from expression import Error

from mulberrypass.batches.store import BatchStore
from mulberrypass.model.batch_jobs import ItemState
from mulberrypass.model.store import Unavailable
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, job, outcome, route

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.storage.rows import RowsError, Transaction

# Bytes and entries that the store takes in one call.
MAX_BYTES = 1_000_000
MAX_ENTRIES = 100


class LimitedRows(RowState):
    """Refuses transactions that are too large, as the store does."""

    def transact(self, change: Transaction) -> Result[int, RowsError]:
        """Apply a change if it isn't too large."""
        encoded = [
            (at.table, at.part, at.key, base64.b64encode(value).decode())
            for at, value in change.puts
        ]
        size = len(json.dumps(encoded))
        entries = len(change.puts) + len(change.expected)
        if size > MAX_BYTES or entries > MAX_ENTRIES:
            return Error(Unavailable("status 413", False))
        return RowState.transact(self, change)


class LargeResultsTest(unittest.TestCase):
    """Results that were too large were sent to the store again for good."""

    def setUp(self) -> None:
        rows = LimitedRows()
        self.jobs = BatchStore(rows, sleep=lambda _s: None)
        self.jobs.accept(job(), route(), "entry@a")

    def text(self, size: int) -> str:
        """Return a text that takes about half of its size compressed."""
        return random.Random(2).randbytes(size // 2).hex()

    def test_results_that_fit_one_by_one(self) -> None:
        outcomes = tuple(outcome(i, self.text(700_000)) for i in range(3))
        recorded = self.jobs.record_outcomes(None, HOST, "job-1", outcomes)
        self.assertEqual(3, recorded.ok.head.results)
        page = self.jobs.results(HOST, "job-1", 0, None).ok
        self.assertEqual(outcomes, page.outcomes)

    def test_result_that_does_not_fit_leaves_the_others_alone(self) -> None:
        large = outcome(0, self.text(3_000_000))
        small = outcome(1, "a")
        recorded = self.jobs.record_outcomes(
            None, HOST, "job-1", (large, small)
        )
        self.assertEqual(2, recorded.ok.head.results)
        page = self.jobs.results(HOST, "job-1", 0, None).ok
        first, second = page.outcomes
        self.assertEqual(ItemState.ABANDONED, first.state)
        self.assertEqual((large.index, ""), (first.index, first.output))
        self.assertEqual(small, second)


if __name__ == "__main__":
    unittest.main()
