"""Tests of what a holder keeps of jobs in memory."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
import unittest

from tests.batches import cases
from tests.batches.test_holder import A, HolderCase, wait_until
from tests.relay.fakes import CUT, Script, event

if TYPE_CHECKING:
    from mulberrypass.batches.holder import JobHolder

WAIT_S = 5.0


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


if __name__ == "__main__":
    unittest.main()
