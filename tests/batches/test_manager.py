"""Tests of callers' calls about batch jobs on a member that has started."""

from __future__ import annotations

import unittest

from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.manager import BatchJobManager
from mulberrypass.batches.store import BatchStore
from mulberrypass.model.batch_jobs import NoSuchJob, StoreUnavailable
from mulberrypass.platform.lots import item_request
from mulberrypass.relay.directory import Directory
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, job, outcome, route
from tests.relay.fakes import (
    ScriptedEngines,
    ScriptedPermits,
    make_dependencies,
    table,
)

ME, LOST = "entry@a", "entry@lost"


class RestartTest(unittest.TestCase):
    """A member that knows no job, while the store holds one."""

    def setUp(self) -> None:
        self.rows = RowState()
        self.store = BatchStore(self.rows, sleep=lambda _s: None)
        self.store.accept(job(), route(), LOST)
        self.store.record_outcomes(None, HOST, "job-1", (outcome(0),))
        self.directory = Directory()
        permits = ScriptedPermits("e1")
        holder = JobHolder(
            ME,
            self.store,
            make_dependencies(ScriptedEngines(), permits, route()),
            lambda: Members(frozenset(), frozenset()),
            item_request,
        )
        self.manager = BatchJobManager(ME, self.store, holder, self.directory)

    def test_an_old_job_is_read_before_its_head_is_known(self) -> None:
        page = self.manager.results(HOST, "job-1", 0).ok
        self.assertEqual(3, page.total)
        self.assertEqual(["text-0"], [found.output for found in page.outcomes])
        self.assertEqual(
            job().items[1].body,
            self.manager.body(HOST, "job-1", "item-1").ok,
        )
        self.assertTrue(self.manager.end(HOST, "job-1").is_ok())

    def test_no_call_denies_a_job_while_the_store_is_down(self) -> None:
        """A member that can't be sure says so, also without configuration."""
        for fault in ("down", "silent", "throttle"):
            with self.subTest(fault):
                setattr(self.rows.faults, fault, 99)
                for result in (
                    self.manager.results(HOST, "job-1", 0),
                    self.manager.body(HOST, "job-1", "item-1"),
                    self.manager.end(HOST, "job-1"),
                    self.manager.submit(job()),
                ):
                    self.assertIsInstance(result.error, StoreUnavailable)
                setattr(self.rows.faults, fault, 0)

    def test_a_job_on_no_route_is_denied_only_by_a_configuration(self) -> None:
        lost = self.manager.submit(job("two"))
        self.assertIsInstance(lost.error, StoreUnavailable)
        self.directory.apply_routes(table())
        denied = self.manager.submit(job("two"))
        self.assertIsInstance(denied.error, NoSuchJob)
