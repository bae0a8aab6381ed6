"""Tests of the holder of a job and of recorded outcomes."""

from __future__ import annotations

import unittest

from mulberrypass.policy.batches import heads as policy
from tests.batches.cases import head, outcome

BUSY_FOR_S = 8.0
NOW = 1_000.0
A, B, C = "entry@a", "entry@b", "entry@c"


class NextHolderTest(unittest.TestCase):
    def test_table(self) -> None:
        cases = {
            "live": (head(holder=A), {A, B}, {A, B}, False),
            "dead": (head(holder=A), {B, C}, {B, C}, True),
            "leaving": (head(holder=A), {B, C}, {A, B, C}, False),
            "without a holder": (head(holder=""), {B}, {A, B}, True),
            "all done": (
                head(holder=A, done=frozenset({0, 1, 2})),
                {B},
                {B},
                False,
            ),
            "ended": (head(holder=A, ended=True), {B}, {B}, False),
        }
        for name, (found, live, known, taken) in cases.items():
            with self.subTest(name):
                successor = policy.next_holder(found, live, known)
                self.assertEqual(taken, successor is not None)
                self.assertIn(successor, live | {None})

    def test_all_members_choose_the_same(self) -> None:
        found = head(holder="entry@gone")
        successors = {
            policy.next_holder(found, order, ()) for order in ([A, B], [B, A])
        }
        self.assertEqual(1, len(successors))


class HandOverTest(unittest.TestCase):
    def test_running_items_are_left_to_their_runner(self) -> None:
        given = policy.hand_over(
            head(holder=A), frozenset({1}), A, {A, B}, BUSY_FOR_S, NOW
        )
        self.assertEqual(B, given.holder)
        self.assertEqual(
            (0, 2), policy.runnable(given, {A, B}, BUSY_FOR_S - 1, NOW)
        )

    def test_items_of_a_dead_runner_are_taken_over(self) -> None:
        given = policy.hand_over(
            head(holder=A), frozenset({1}), A, {A, B}, BUSY_FOR_S, NOW
        )
        self.assertEqual(
            (0, 1, 2), policy.runnable(given, {B}, BUSY_FOR_S - 1, NOW)
        )

    def test_items_of_a_restarted_runner_are_taken_over(self) -> None:
        """Items busy on a member that restarted must not wait for it.

        Seen in the bench experiment mix, seed 719080042388 (lcrc-shelf).
        """
        given = policy.hand_over(
            head(holder=A), frozenset({1}), A, {A, B}, BUSY_FOR_S, NOW
        )
        self.assertEqual(
            (0, 1, 2), policy.runnable(given, {A, B}, BUSY_FOR_S + 1, NOW)
        )

    def test_items_handed_over_before_a_restart_are_taken_over(self) -> None:
        given = policy.hand_over(
            head(holder=A), frozenset({1}), A, {A, B}, BUSY_FOR_S, NOW
        )
        later = NOW + BUSY_FOR_S + 1
        self.assertEqual((0, 1, 2), policy.runnable(given, {A, B}, 0.0, later))

    def test_the_last_member_leaves_no_holder(self) -> None:
        given = policy.hand_over(
            head(holder=A), frozenset(), A, {A}, BUSY_FOR_S, NOW
        )
        self.assertEqual("", given.holder)


class RecordOutcomesTest(unittest.TestCase):
    def test_outcomes_are_recorded_once_in_order(self) -> None:
        changed, recorded = policy.record_outcomes(
            head(done=frozenset({1}), results=1),
            (outcome(2), outcome(1), outcome(2), outcome(0)),
        )
        self.assertEqual([2, 0], [found.index for found in recorded])
        self.assertEqual(3, changed.results)
        self.assertFalse(changed.open)

    def test_quota(self) -> None:
        heads = [head(), head(job_id="b", route="other")]
        self.assertEqual(300, policy.waiting_tokens(heads, "crates"))
        self.assertTrue(policy.within_quota(300, 100, 400))
        self.assertFalse(policy.within_quota(301, 100, 400))
        self.assertTrue(policy.within_quota(10**9, 1, 0))
