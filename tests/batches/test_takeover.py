"""Tests of the choice of jobs that a member takes over."""

from __future__ import annotations

import unittest

from mulberrypass.batches.takeover import (
    ALONE_SETTLE_S,
    MEMBERSHIP_SETTLE_S,
    TAKEOVER_DELAY_S,
    Members,
    Takeover,
)
from tests.batches.cases import head

A, B, LOST = "entry@a", "entry@b", "entry@lost"
STEP_S = 0.25


class TakeoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.known = {A}
        self.takeover = Takeover(
            A,
            lambda: Members(frozenset(self.known), frozenset(self.known)),
            lambda: self.now,
        )

    def first_due_s(self, holder: str, within_s: float) -> float | None:
        """Return when a job of a holder is first due, from now on."""
        began = self.now
        while self.now - began < within_s:
            if list(self.takeover.due([head(holder=holder)])):
                return self.now - began
            self.now += STEP_S
        return None

    def test_jobs_of_all_holders_while_the_instance_list_is_late(
        self,
    ) -> None:
        """A restarted member that has met nobody yet claims nothing.

        Two instances of lcrc-shelf-grown claimed all jobs of live holders
        after a loss of power of all: they knew the heads 1.3 s before the
        list of instances (day grown-power-all-timed-store-lapse, seed 52).
        """
        self.assertIsNone(self.first_due_s(B, ALONE_SETTLE_S - 1.0))
        self.known.add(B)
        self.assertIsNone(self.first_due_s(B, 20.0))

    def test_lost_holder_after_others_were_met(self) -> None:
        self.assertIsNone(self.first_due_s(LOST, 5.0))
        self.known.add("entry@c")
        self.known.discard("entry@c")
        self.known.add(B)
        self.assertIsNone(self.first_due_s(LOST, MEMBERSHIP_SETTLE_S))
        self.known = {A}
        due_s = self.first_due_s(LOST, 20.0)
        assert due_s is not None
        self.assertLessEqual(due_s, TAKEOVER_DELAY_S + STEP_S)

    def test_the_only_member_takes_over(self) -> None:
        due_s = self.first_due_s(LOST, 20.0)
        assert due_s is not None
        self.assertLessEqual(due_s, ALONE_SETTLE_S + TAKEOVER_DELAY_S + STEP_S)

    def test_the_view_is_that_of_each_claim(self) -> None:
        """A holder that is met between two claims keeps its job."""
        self.now += 60.0
        jobs = [head(holder=B, job_id=name) for name in ("one", "two")]
        self.assertEqual([], list(self.takeover.due(jobs)))
        self.now += TAKEOVER_DELAY_S
        claimed = []
        for found in self.takeover.due(jobs):
            claimed.append(found.job_id)
            self.known.add(B)
        self.assertEqual(["one"], claimed)
        self.assertFalse(self.takeover.may_claim(jobs[0]))
