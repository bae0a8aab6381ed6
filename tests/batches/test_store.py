"""Tests of stored batch jobs, with lost responses and late writes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
import unittest

from mulberrypass.batches.store import BatchStore
from mulberrypass.model.batch_jobs import (
    Accepted,
    NoSuchJob,
    OverQuota,
    StoreUnavailable,
)
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, head, job, outcome, route

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.storage.rows import RowsError, Transaction


def store(rows: RowState) -> BatchStore:
    """Return a store that retries without delay."""
    return BatchStore(rows, clock=lambda: 1_000.0, sleep=lambda _s: None)


class RacingRows(RowState):
    """Runs another change between the read of a quota and the write."""

    competitor: Callable[[], object] | None = None

    def transact(self, change: Transaction) -> Result[int, RowsError]:
        """Run the competitor before the first change."""
        competitor, self.competitor = self.competitor, None
        if competitor is not None:
            competitor()
        return RowState.transact(self, change)


class AcceptTest(unittest.TestCase):
    def test_stores_the_whole_job(self) -> None:
        rows = RowState()
        result = store(rows).accept(job(), route(), "entry@a")
        assert isinstance(result.ok, Accepted)
        self.assertFalse(result.ok.again)
        read = store(rows).read(HOST, "job-1").ok.head
        self.assertEqual((100, 100, 100), read.tokens)
        self.assertEqual("entry@a", read.holder)
        items = store(rows).items(HOST, "job-1").ok
        self.assertEqual(job().items, items)

    def test_resend_is_the_same_job(self) -> None:
        rows = RowState()
        store(rows).accept(job(), route(), "entry@a")
        again = store(rows).accept(job(), route(), "entry@b")
        self.assertTrue(again.ok.again)
        read = store(rows).read(HOST, "job-1").ok.head
        self.assertEqual("entry@a", read.holder)

    def test_large_manifest(self) -> None:
        rows = RowState()
        body = random.Random(1).randbytes(20_000)
        large = job(items=60, body=body)
        result = store(rows).accept(large, route(), "entry@a")
        self.assertTrue(result.is_ok())
        self.assertEqual(large.items, store(rows).items(HOST, "job-1").ok)

    def test_quota_of_a_route_that_was_renamed(self) -> None:
        """Jobs accepted under the former name didn't count."""
        jobs = store(RowState())
        limited = route(quota_tokens=400)
        self.assertTrue(jobs.accept(job("one"), limited, "entry@a").is_ok())
        renamed = route(name="boxes", quota_tokens=400)
        refused = jobs.accept(job("two"), renamed, "entry@a").error
        self.assertEqual(OverQuota(300), refused)
        other = route(name="b", prefix="/b/", quota_tokens=400)
        self.assertTrue(jobs.accept(job("two"), other, "entry@a").is_ok())

    def test_quota_counts_waiting_tokens(self) -> None:
        rows = RowState()
        limited = route(quota_tokens=500)
        jobs = store(rows)
        self.assertTrue(jobs.accept(job("one"), limited, "entry@a").is_ok())
        refused = jobs.accept(job("two"), limited, "entry@a").error
        self.assertEqual(OverQuota(300), refused)
        jobs.record_outcomes(None, HOST, "one", (outcome(0),))
        self.assertTrue(jobs.accept(job("two"), limited, "entry@a").is_ok())

    def test_ended_job_frees_its_quota(self) -> None:
        rows = RowState()
        limited = route(quota_tokens=300)
        jobs = store(rows)
        jobs.accept(job("one"), limited, "entry@a")
        jobs.end(HOST, "one")
        self.assertTrue(jobs.accept(job("two"), limited, "entry@a").is_ok())

    def test_concurrent_acceptances_are_serialized(self) -> None:
        limited = route(quota_tokens=400)
        rows = RacingRows()
        rows.competitor = lambda: store(rows).accept(
            job("rival"), limited, "entry@b"
        )
        refused = store(rows).accept(job("late"), limited, "entry@a")
        self.assertEqual(OverQuota(300), refused.error)

    def test_faults(self) -> None:
        cases = {
            "down": ({"down": True}, False),
            "silent": ({"silent": True}, False),
        }
        for name, (faults, maybe) in cases.items():
            with self.subTest(name):
                rows = RowState()
                for field, value in faults.items():
                    setattr(rows.faults, field, value)
                lost = store(rows).accept(job(), route(), "entry@a").error
                assert isinstance(lost, StoreUnavailable)
                self.assertEqual(maybe, lost.maybe_done)

    def test_lost_response_is_resolved(self) -> None:
        rows = RowState()
        rows.faults.lose = 1
        result = store(rows).accept(job(), route(), "entry@a")
        self.assertTrue(result.is_ok())
        self.assertEqual(1, rows.version)

    def test_unknown_result_is_not_refused(self) -> None:
        rows = RowState()
        rows.faults.late = 99
        lost = store(rows).accept(job(), route(), "entry@a").error
        assert isinstance(lost, StoreUnavailable)
        self.assertTrue(lost.maybe_done)

    def test_late_write_accepts_once(self) -> None:
        rows = RowState()
        rows.faults.late = 1
        result = store(rows).accept(job(), route(), "entry@a")
        self.assertTrue(result.is_ok())
        version = rows.version
        rows.deliver_late()
        self.assertEqual(version, rows.version)

    def test_power_lost_in_an_acceptance(self) -> None:
        """A job that is sent again to another member counts once.

        The first member wrote it without an answer and lost power; its
        write takes effect before the second attempt, after it, or never.
        """
        for moment in ("before", "after", "never"):
            with self.subTest(moment):
                rows = RowState()
                exact = route(quota_tokens=300)
                rows.faults.late = 99
                lost = store(rows).accept(job(), exact, "entry@a")
                assert isinstance(lost.error, StoreUnavailable)
                self.assertTrue(lost.error.maybe_done)
                rows.faults.late = 0
                if moment == "before":
                    rows.deliver_late()
                again = store(rows).accept(job(), exact, "entry@b").ok
                self.assertEqual(moment == "before", again.again)
                if moment == "after":
                    rows.deliver_late()
                self.assertEqual(1, rows.version)
                other = store(rows).accept(job("two"), exact, "entry@b")
                self.assertEqual(OverQuota(300), other.error)

    def test_resend_within_a_full_quota_is_not_refused(self) -> None:
        """A job's own tokens don't count against it when it comes again."""
        rows = RowState()
        full = route(quota_tokens=300)
        self.assertTrue(store(rows).accept(job(), full, "entry@a").is_ok())
        lowered = route(quota_tokens=100)
        for limited in (full, lowered):
            again = store(rows).accept(job(), limited, "entry@b")
            self.assertTrue(again.ok.again)


class ResultsTest(unittest.TestCase):
    def test_positions_are_stable(self) -> None:
        rows = RowState()
        jobs = store(rows)
        jobs.accept(job(), route(), "entry@a")
        jobs.record_outcomes(None, HOST, "job-1", (outcome(2),))
        first = jobs.results(HOST, "job-1", 0, None).ok
        jobs.record_outcomes(None, HOST, "job-1", (outcome(0), outcome(1)))
        page = jobs.results(HOST, "job-1", 0, None).ok
        self.assertEqual(3, page.total)
        self.assertEqual(first.outcomes[0], page.outcomes[0])
        self.assertEqual([2, 0, 1], [found.index for found in page.outcomes])
        rest = jobs.results(HOST, "job-1", 2, None).ok
        self.assertEqual([1], [found.index for found in rest.outcomes])

    def test_only_the_first_outcome_of_an_item_counts(self) -> None:
        rows = RowState()
        jobs = store(rows)
        jobs.accept(job(), route(), "entry@a")
        jobs.record_outcomes(None, HOST, "job-1", (outcome(0, "first"),))
        jobs.record_outcomes(None, HOST, "job-1", (outcome(0, "second"),))
        page = jobs.results(HOST, "job-1", 0, None).ok
        self.assertEqual(["first-0"], [o.output for o in page.outcomes])

    def test_ended_job_gets_no_more_results(self) -> None:
        rows = RowState()
        jobs = store(rows)
        jobs.accept(job(), route(), "entry@a")
        jobs.record_outcomes(None, HOST, "job-1", (outcome(0),))
        jobs.end(HOST, "job-1")
        jobs.record_outcomes(None, HOST, "job-1", (outcome(1),))
        page = jobs.results(HOST, "job-1", 0, None).ok
        self.assertEqual([0], [found.index for found in page.outcomes])

    def test_long_output_is_split(self) -> None:
        rows = RowState()
        jobs = store(rows)
        jobs.accept(job(), route(), "entry@a")
        text = random.Random(2).randbytes(150_000).hex()
        jobs.record_outcomes(None, HOST, "job-1", (outcome(0, text),))
        page = jobs.results(HOST, "job-1", 0, None).ok
        self.assertEqual(f"{text}-0", page.outcomes[0].output)

    def test_no_such_job(self) -> None:
        jobs = store(RowState())
        self.assertEqual(
            NoSuchJob(), jobs.results(HOST, "job-9", 0, None).error
        )
        self.assertEqual(NoSuchJob(), jobs.end(HOST, "job-9").error)


class EndTest(unittest.TestCase):
    def test_lost_response(self) -> None:
        rows = RowState()
        jobs = store(rows)
        jobs.accept(job(), route(), "entry@a")
        rows.faults.lose = 1
        self.assertTrue(jobs.end(HOST, "job-1").ok.head.ended)
        self.assertTrue(jobs.end(HOST, "job-1").ok.head.ended)

    def test_store_down(self) -> None:
        rows = RowState()
        jobs = store(rows)
        jobs.accept(job(), route(), "entry@a")
        rows.faults.down = True
        self.assertTrue(jobs.end(HOST, "job-1").is_error())


class RandomHistoryTest(unittest.TestCase):
    """Random sequences of acceptances, outcomes and ends under faults.

    An accepted job must not vanish, no item may have two results, and a
    result that was read must not change.
    """

    def test_random_histories(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                self._run(random.Random(seed))

    def _run(self, rng: random.Random) -> None:
        rows = RowState()
        jobs = store(rows)
        listed: dict[int, str] = {}
        accepted = False
        for step in range(30):
            rows.faults.lose = rng.random() < 0.2
            rows.faults.late = rng.random() < 0.2
            rows.faults.down = rng.random() < 0.1
            match rng.randrange(6):
                case 0:
                    result = jobs.accept(job(items=4), route(), "entry@a")
                    accepted |= result.is_ok()
                case 1 | 2 | 3:
                    index = rng.randrange(4)
                    done = outcome(index, f"run{step}")
                    jobs.record_outcomes(None, HOST, "job-1", (done,))
                case 4:
                    rows.deliver_late()
                case 5 if rng.random() < 0.1:
                    jobs.end(HOST, "job-1")
            rows.faults.lose = rows.faults.late = 0
            rows.faults.down = False
            self._check(jobs, listed, accepted)

    def _check(
        self, jobs: BatchStore, listed: dict[int, str], accepted: bool
    ) -> None:
        read = jobs.results(HOST, "job-1", 0, None)
        if read.is_error():
            self.assertFalse(accepted, "an accepted job has vanished")
            return
        found = read.ok.outcomes
        self.assertEqual(len(found), len({o.index for o in found}))
        for position, text in listed.items():
            self.assertEqual(text, found[position].output)
        listed.update({i: o.output for i, o in enumerate(found)})


class HeadTest(unittest.TestCase):
    def test_waiting_tokens(self) -> None:
        self.assertEqual(300, head().waiting_tokens)
        self.assertEqual(200, head(done=frozenset({1})).waiting_tokens)
        self.assertEqual(0, head(ended=True).waiting_tokens)
