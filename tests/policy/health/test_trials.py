"""Tests of whose turn it is to try work that is held."""

from __future__ import annotations

import unittest

from mulberrypass.policy.health.trials import (
    ASK_S,
    GROWTH,
    TRIAL_S,
    Claim,
    FoundClaim,
    Trial,
    TrialTurns,
)

ME, OTHER = "entry@a", "entry@b"
TRIAL = Trial("part/rackmind/1", ("i-1", "i-2", "i-3"), 1)
AFTER_A_CRASH = Trial(TRIAL.name, (*TRIAL.engines, "i-4"), 1)
CRASHES = len(TRIAL.engines)
MINE = Claim(TRIAL.name, ME, CRASHES)


class TrialTurnsTest(unittest.TestCase):
    """Several requests tried the same at once."""

    def setUp(self) -> None:
        self.turns = TrialTurns(ME)

    def replaces(self, claim: Claim, version: int, now: float) -> bool:
        if self.turns.begin_claim(TRIAL, now) is None:
            return False
        found = FoundClaim(claim, version)
        return self.turns.begin_again(TRIAL, found, now) is not None

    def test_second_request_asks_while_the_first_one_waits(self) -> None:
        self.assertTrue(self.turns.may_ask(TRIAL, 0.0))
        self.turns.note_asked(TRIAL, 0.0)
        self.assertFalse(self.turns.may_ask(TRIAL, ASK_S - 0.1))
        self.assertTrue(self.turns.may_ask(TRIAL, ASK_S))

    def test_second_trial_begins_during_the_first(self) -> None:
        self.assertEqual((MINE, 0), self.turns.begin_claim(TRIAL, 0.0))
        self.turns.note_claimed(TRIAL, MINE, 7, 0.0)
        self.assertIsNone(self.turns.begin_claim(TRIAL, 0.1))
        self.assertFalse(self.turns.may_ask(TRIAL, TRIAL_S - 0.1))

    def test_crashes_that_nobody_sees_bring_trial_after_trial(self) -> None:
        wait_s, now = TRIAL_S, 0.0
        for number in range(1, 4):
            begun = self.turns.begin_claim(TRIAL, now)
            assert begun is not None
            self.assertEqual(number, begun[0].number)
            self.turns.note_claimed(TRIAL, begun[0], number, now)
            self.turns.end(TRIAL, now + 0.1, sent=True)
            self.assertFalse(self.turns.may_ask(TRIAL, now + wait_s - 0.1))
            self.assertIsNone(
                self.turns.begin_claim(TRIAL, now + wait_s - 0.1)
            )
            now += wait_s
            wait_s *= GROWTH
            self.assertTrue(self.turns.may_ask(TRIAL, now))

    def test_trials_of_others_without_an_outcome_do_not_count(self) -> None:
        claim = Claim(TRIAL.name, OTHER, CRASHES, 2)
        self.assertFalse(self.replaces(claim, 5, 0.0))
        self.assertFalse(self.replaces(claim, 5, GROWTH * TRIAL_S - 0.1))
        begun = self.turns.begin_claim(TRIAL, GROWTH * TRIAL_S)
        assert begun is not None
        self.assertEqual(3, begun[0].number)

    def test_claim_that_was_not_used_delays_the_next(self) -> None:
        self.turns.begin_claim(TRIAL, 0.0)
        self.turns.note_claimed(TRIAL, MINE, 7, 0.0)
        self.turns.end(TRIAL, 0.1, sent=False)
        self.assertTrue(self.turns.may_ask(TRIAL, 0.1))

    def test_trial_of_another_member_is_not_waited_for(self) -> None:
        claim = Claim(TRIAL.name, OTHER, CRASHES)
        self.assertFalse(self.replaces(claim, 5, 0.0))
        self.assertFalse(self.turns.may_ask(TRIAL, TRIAL_S - 0.1))
        self.assertFalse(self.replaces(claim, 5, TRIAL_S - 0.1))
        self.assertFalse(self.replaces(claim, 6, TRIAL_S), "a newer one")
        self.assertFalse(self.replaces(claim, 6, 2 * TRIAL_S - 0.1))
        self.assertTrue(self.replaces(claim, 6, 2 * TRIAL_S))

    def test_lost_member_ends_all_trials(self) -> None:
        claim = Claim(TRIAL.name, OTHER, CRASHES)
        self.assertFalse(self.replaces(claim, 5, 0.0))
        self.assertTrue(self.turns.may_ask(TRIAL, TRIAL_S))
        self.assertTrue(self.replaces(claim, 5, TRIAL_S))

    def test_trial_that_has_crashed_an_engine_is_waited_for(self) -> None:
        claim = Claim(TRIAL.name, OTHER, CRASHES)
        self.assertFalse(self.replaces(claim, 5, 0.0))
        self.assertTrue(self.turns.may_ask(AFTER_A_CRASH, 0.1))
        begun = self.turns.begin_claim(AFTER_A_CRASH, 0.1)
        self.assertEqual((Claim(TRIAL.name, ME, CRASHES + 1), 5), begun)

    def test_trial_of_something_else_counts_as_crashed(self) -> None:
        claim = Claim("part/rackmind/2", OTHER, 1)
        self.assertFalse(self.replaces(claim, 5, 0.0))


if __name__ == "__main__":
    unittest.main()
