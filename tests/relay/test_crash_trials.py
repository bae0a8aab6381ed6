"""Tests of trials of held work that several members claim."""

from __future__ import annotations

import threading
import unittest

from mulberrypass.policy.health.trials import TRIAL_S, Trial
from mulberrypass.relay.crash_trials import CrashTrials
from mulberrypass.storage.crash_trials import TRIALS_TABLE, RowTrialClaims
from mulberrypass.storage.rows import RowKey, Transaction
from mulberrypass.testing.row_state import RowState
from tests.quiet import quiet_logs

MEMBERS = 6
LEADER = 2
PART = Trial("part/rackmind/1", ("i-1", "i-2", "i-3"), 1)
REQUEST = Trial("request/d1", ("i-1", "i-2", "i-3"))


class CrashTrialsTest(unittest.TestCase):
    """Several members tried the same at once, or none ever did."""

    def setUp(self) -> None:
        quiet_logs()
        self.now = 0.0
        self.rows = RowState()
        self.members = [self.make(number) for number in range(MEMBERS)]

    def make(self, number: int) -> CrashTrials:
        return CrashTrials(
            f"entry-{number}",
            RowTrialClaims(self.rows),
            lambda _name: number == LEADER,
            lambda: self.now,
        )

    def start_all(self, *trials: Trial) -> list[int]:
        """Start trials at all members at once; return at which they do."""
        barrier = threading.Barrier(MEMBERS)
        started: list[int] = []

        def start(number: int) -> None:
            barrier.wait()
            if self.members[number].start(trials) is None:
                started.append(number)

        threads = [
            threading.Thread(target=start, args=(number,))
            for number in range(MEMBERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return started

    def test_two_members_try_at_once(self) -> None:
        self.assertEqual(1, len(self.start_all(PART)))
        self.assertEqual([], self.start_all(PART))

    def test_member_that_is_gone_ends_all_trials(self) -> None:
        (gone,) = self.start_all(PART)
        self.assertEqual([], self.start_all(PART))
        self.members[gone] = self.make(gone)
        self.now = TRIAL_S
        self.assertEqual(1, len(self.start_all(PART)))

    def test_trial_that_was_not_sent_delays_the_next(self) -> None:
        (first,) = self.start_all(PART)
        self.members[first].end((PART,), sent=False)
        self.assertEqual([first], self.start_all(PART))

    def test_two_members_try_at_once_while_the_store_is_down(self) -> None:
        self.rows.faults.down = True
        self.assertEqual([LEADER], self.start_all(PART))
        self.assertEqual([], self.start_all(PART))

    def test_lost_answer_of_the_store_ends_all_trials(self) -> None:
        self.rows.faults.lose = 1
        first = self.members[0]
        self.assertIs(PART, first.start((PART,)))
        self.assertIs(PART, first.start((PART,)))
        self.now = TRIAL_S
        self.assertIsNone(first.start((PART,)))

    def test_request_begins_though_its_part_is_being_tried(self) -> None:
        (first,) = self.start_all(PART)
        other = self.members[first - 1]
        self.assertIs(PART, other.start((REQUEST, PART)))
        self.members[first].end((PART,), sent=True, begun=True)
        self.assertIsNone(other.start((REQUEST,)))

    def test_damaged_claim_ends_all_trials(self) -> None:
        self.start_all(PART)
        (row,) = (key for key in self.rows.rows if key.table == TRIALS_TABLE)
        key = RowKey(TRIALS_TABLE, "", row.key)
        self.rows.apply(Transaction(puts=((key, b"\xff"),)))
        self.assertEqual([], self.start_all(PART))
        self.now = TRIAL_S
        started = self.start_all(PART)
        self.now = 2 * TRIAL_S
        started += self.start_all(PART)
        self.assertEqual(1, len(started))


if __name__ == "__main__":
    unittest.main()
