"""Tests of what a holder keeps of jobs in memory."""

from __future__ import annotations

import threading
import tracemalloc
from typing import TYPE_CHECKING
import unittest

from tests.batches import cases
from tests.batches.test_holder import A, HolderCase, wait_until
from tests.known_red import known_red
from tests.relay.fakes import CUT, Script, event

if TYPE_CHECKING:
    from mulberrypass.batches.holder import JobHolder

WAIT_S = 5.0
BODY_BYTES = 1_000_000
JOBS = 30


class EndedJobTest(HolderCase):
    """A job that its caller ended while items ran was held for good."""

    def end_running(self, name: str) -> JobHolder:
        """End a job while its only item runs; return its holder."""
        started, goes_on = threading.Event(), threading.Event()
        self.addCleanup(goes_on.set)

        def before() -> None:
            started.set()
            goes_on.wait(WAIT_S)

        holder = self.holder(Script(parts=[event(1), CUT], before=before))
        new_job = cases.job(name, items=1)
        accepted = self.store.accept(new_job, cases.route(), A).ok
        assert accepted.head is not None
        holder.add_accepted(accepted.head, new_job.items)
        self.assertTrue(started.wait(WAIT_S))
        holder.update_head(self.store.end(cases.HOST, name).ok)
        goes_on.set()
        return holder

    def test_ended_job_is_let_go(self) -> None:
        holder = self.end_running("job-1")
        self.assertTrue(wait_until(lambda: not holder.busy))
        self.assertTrue(wait_until(lambda: not holder.state()))


class WaitingBodiesTest(HolderCase):
    """The bodies of items that wait had no bound on their sum."""

    @known_red(issue=33)
    def test_bodies_of_waiting_jobs_are_bounded(self) -> None:
        holder = self.holder()
        self.permits.silent = True
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(JOBS):
            body = bytes([number]) * BODY_BYTES
            # Any quota lets a job of no tokens in.
            new_job = cases.job(f"job-{number}", items=1, tokens=0, body=body)
            accepted = self.store.accept(new_job, cases.route(), A).ok
            assert accepted.head is not None
            holder.add_accepted(accepted.head, new_job.items)
            del body, new_job, accepted
        held = tracemalloc.get_traced_memory()[0]
        self.assertLess(held, JOBS * BODY_BYTES // 2)


if __name__ == "__main__":
    unittest.main()
