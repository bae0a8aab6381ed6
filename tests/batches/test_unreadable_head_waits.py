"""Tests of outcomes whose job's head can't be read any more."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.batches import codec
from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.store import BatchStore
from mulberrypass.platform.lots import item_request
from mulberrypass.policy.held_bytes import ByteLimits
from mulberrypass.relay.whole_body import HeldBodies
from mulberrypass.storage.rows import Transaction
from mulberrypass.testing.row_state import RowState
from tests.batches import cases
from tests.batches.test_holder import wait_until
from tests.known_red import known_red
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    make_dependencies,
)

A = "entry@a"
LIMITS = ByteLimits(total=100_000, source=50_000, free=1_000)
LARGE = b"id: 1\ndata: " + b"x" * 30_000 + b"\n\n"


class UnreadableHeadWaitsTest(unittest.TestCase):
    """Outcomes of a job with an unreadable head kept all items waiting."""

    @known_red(issue=33)
    def test_another_job_goes_on(self) -> None:
        rows = RowState()
        store = BatchStore(rows, sleep=lambda _s: None)

        def corrupt() -> None:
            at = codec.head_key(cases.HOST, "job-1")
            rows.apply(Transaction(puts=((at, b"{"),)))

        engines = ScriptedEngines(
            Script(parts=[LARGE], before=corrupt), Script(parts=[event(1)])
        )
        dependencies = make_dependencies(
            engines, ScriptedPermits("e1"), cases.route()
        )
        members = Members(frozenset({A}), frozenset({A}))
        holder = JobHolder(
            A,
            store,
            replace(dependencies, bodies=HeldBodies(LIMITS)),
            lambda: members,
            item_request,
        )
        holder.start()
        self.addCleanup(holder.stop)
        for number in (1, 2):
            job = cases.job(f"job-{number}", items=1)
            accepted = store.accept(job, cases.route(), A).ok
            assert accepted.head is not None
            holder.add_accepted(accepted.head, job.items)
            self.assertTrue(wait_until(lambda: len(engines.sent) >= 1))
        self.assertTrue(
            wait_until(
                lambda: bool(
                    store.results(cases.HOST, "job-2", 0, 1).ok.outcomes
                )
            )
        )


if __name__ == "__main__":
    unittest.main()
