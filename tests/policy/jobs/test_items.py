"""Tests of the outcome or retry of an item after a run."""

from __future__ import annotations

import unittest

from mulberrypass.model.outcome import Ran
from mulberrypass.policy.jobs.items import (
    ItemState,
    Retry,
    RetryState,
    RunCompleted,
    RunFailed,
    RunStopped,
    Settled,
    decide_item,
)

CUT = RunFailed("cut", Ran.MAYBE, lost_backend=True, backend="e")
CUT_SOLE_SUSPECT = RunFailed(
    "cut", Ran.MAYBE, lost_backend=True, sole_suspect=True
)
ERROR = RunFailed("status 500", Ran.MAYBE)
SUSPECT = RetryState(suspect=True)


class TestDecideItem(unittest.TestCase):
    """Failed attempts are charged only to the items that caused them."""

    def test_outcomes(self) -> None:
        table = (
            (RunCompleted("x"), RetryState(), True, ItemState.DONE),
            (RunCompleted("x"), RetryState(), False, ItemState.DONE),
            (
                RunFailed("422", Ran.YES, permanent=True),
                RetryState(),
                True,
                ItemState.FAILED,
            ),
            (ERROR, RetryState(charged=2), True, ItemState.FAILED),
            (
                CUT_SOLE_SUSPECT,
                RetryState(charged=2, suspect=True),
                True,
                ItemState.FAILED,
            ),
            (RunFailed("no", Ran.YES), RetryState(), False, ItemState.FAILED),
            (ERROR, RetryState(), False, ItemState.INDETERMINATE),
            (CUT, RetryState(), False, ItemState.INDETERMINATE),
            (
                RunStopped(Ran.MAYBE),
                RetryState(),
                False,
                ItemState.INDETERMINATE,
            ),
        )
        for result, retry, idempotent, state in table:
            with self.subTest(result=result, idempotent=idempotent):
                decision = decide_item(7, result, retry, idempotent, 3, 10.0)
                assert isinstance(decision, Settled)
                self.assertEqual(7, decision.outcome.item)
                self.assertIs(state, decision.outcome.state)

    def test_retries(self) -> None:
        table = (
            ("an error is charged", ERROR, RetryState(), 1, False),
            (
                "the first lost backend makes a suspect",
                CUT,
                RetryState(),
                0,
                True,
            ),
            ("a suspect beside another isn't charged", CUT, SUSPECT, 0, True),
            ("a suspect alone is charged", CUT_SOLE_SUSPECT, SUSPECT, 1, True),
            (
                "alone, but not yet a suspect",
                CUT_SOLE_SUSPECT,
                RetryState(),
                0,
                True,
            ),
            ("not run", RunFailed("busy", Ran.NO), RetryState(), 0, False),
            ("revoked", RunStopped(Ran.MAYBE), RetryState(2), 2, False),
        )
        for name, result, retry, charged, suspect in table:
            with self.subTest(name):
                decision = decide_item(7, result, retry, True, 3, 10.0)
                assert isinstance(decision, Retry)
                self.assertEqual(charged, decision.state.charged)
                self.assertEqual(suspect, decision.state.suspect)

    def test_unsent_runs_are_not_charged(self) -> None:
        for result in (RunFailed("busy", Ran.NO), RunStopped(Ran.NO)):
            with self.subTest(result=result):
                decision = decide_item(7, result, RetryState(), False, 1, 10.0)
                self.assertIsInstance(decision, Retry)
