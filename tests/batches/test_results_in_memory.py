"""Tests of the memory that the results of a job take while they are read."""

from __future__ import annotations

import json
import tracemalloc
import unittest

from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.manager import BatchJobManager
from mulberrypass.batches.store import BatchStore
from mulberrypass.platform.headers import read_request
from mulberrypass.platform.lots import BatchJobApi, item_request
from mulberrypass.testing.row_state import RowState
from tests.batches import cases
from tests.relay.fakes import (
    ScriptedEngines,
    ScriptedPermits,
    make_dependencies,
)

ITEMS = 40
# An output that the store keeps in few bytes, as an engine may repeat itself.
OUTPUT = "x" * 1_000_000
# A page of one result, with its copies as it is decoded and encoded again.
ALLOWED_BYTES = 10 * len(OUTPUT)


class ResultsCase(unittest.TestCase):
    """The API of a job with equal results."""

    items = ITEMS
    output = OUTPUT

    def setUp(self) -> None:
        store = BatchStore(RowState(), sleep=lambda _s: None)
        dependencies = make_dependencies(
            ScriptedEngines(), ScriptedPermits("e1"), cases.route()
        )
        members = Members(frozenset({"entry@a"}), frozenset({"entry@a"}))
        holder = JobHolder(
            "entry@a", store, dependencies, lambda: members, item_request
        )
        directory = dependencies.directory
        manager = BatchJobManager("entry@a", store, holder, directory)
        self.api = BatchJobApi(manager, directory)
        store.accept(cases.job(items=self.items), cases.route(), "entry@a")
        outcomes = tuple(
            cases.outcome(i, self.output) for i in range(self.items)
        )
        store.record_outcomes(None, cases.HOST, "job-1", outcomes)

    def call(self, after: int) -> bytes:
        """Return the body of the answer to a call for results."""
        headers = {"host": cases.HOST}
        target = f"/lots/job-1?After={after}"
        reply = self.api.handle(read_request("GET", target, headers, b""))
        assert reply is not None
        return reply.body


class ResultsInMemoryTest(ResultsCase):
    """One call for results took the memory of all results of a job."""

    def page(self, after: int) -> tuple[list[str], int]:
        """Return the outputs on a page, and where the next one begins."""
        doc = json.loads(self.call(after))
        return [each["Output"] for each in doc["Results"]], doc["Next"]

    def test_one_page_takes_the_memory_of_one_page(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.page(0)
        self.assertLess(tracemalloc.get_traced_memory()[1], ALLOWED_BYTES)

    def test_pages_bring_all_results(self) -> None:
        found: list[str] = []
        after = 0
        while len(found) < ITEMS:
            outputs, after = self.page(after)
            self.assertTrue(outputs)
            found += outputs
            self.assertEqual(len(found), after)
        self.assertEqual([f"{OUTPUT}-{i}" for i in range(ITEMS)], found)


if __name__ == "__main__":
    unittest.main()
