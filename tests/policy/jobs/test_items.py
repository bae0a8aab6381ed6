"""What a run's end means for its item."""

from __future__ import annotations

import unittest

from mulberrypass.model.outcome import Ran
from mulberrypass.policy.jobs.items import (
    ItemRecord,
    ItemState,
    Retry,
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
SUSPECT = ItemRecord(suspect=True)


class TestJudge(unittest.TestCase):
    """Attempts are charged for what the item caused."""

    def test_outcomes(self) -> None:
        table = (
            (RunCompleted("x"), ItemRecord(), True, ItemState.DONE),
            (RunCompleted("x"), ItemRecord(), False, ItemState.DONE),
            (
                RunFailed("422", Ran.YES, permanent=True),
                ItemRecord(),
                True,
                ItemState.FAILED,
            ),
            (ERROR, ItemRecord(charged=2), True, ItemState.FAILED),
            (
                CUT_SOLE_SUSPECT,
                ItemRecord(charged=2, suspect=True),
                True,
                ItemState.FAILED,
            ),
            (RunFailed("no", Ran.YES), ItemRecord(), False, ItemState.FAILED),
            (ERROR, ItemRecord(), False, ItemState.INDETERMINATE),
            (CUT, ItemRecord(), False, ItemState.INDETERMINATE),
            (
                RunStopped(Ran.MAYBE),
                ItemRecord(),
                False,
                ItemState.INDETERMINATE,
            ),
        )
        for result, record, idempotent, state in table:
            with self.subTest(result=result, idempotent=idempotent):
                decision = decide_item(7, result, record, idempotent, 3, 10.0)
                assert isinstance(decision, Settled)
                self.assertEqual(7, decision.outcome.item)
                self.assertIs(state, decision.outcome.state)

    def test_runs_again(self) -> None:
        table = (
            ("an error is charged", ERROR, ItemRecord(), 1, False),
            ("the first cut makes a suspect", CUT, ItemRecord(), 0, True),
            ("a crowded suspect isn't charged", CUT, SUSPECT, 0, True),
            ("a suspect alone is charged", CUT_SOLE_SUSPECT, SUSPECT, 1, True),
            (
                "alone, but not yet a suspect",
                CUT_SOLE_SUSPECT,
                ItemRecord(),
                0,
                True,
            ),
            ("not run", RunFailed("busy", Ran.NO), ItemRecord(), 0, False),
            ("revoked", RunStopped(Ran.MAYBE), ItemRecord(2), 2, False),
        )
        for name, result, record, charged, suspect in table:
            with self.subTest(name):
                decision = decide_item(7, result, record, True, 3, 10.0)
                assert isinstance(decision, Retry)
                self.assertEqual(charged, decision.record.charged)
                self.assertEqual(suspect, decision.record.suspect)

    def test_not_run_is_free_for_any_service(self) -> None:
        for result in (RunFailed("busy", Ran.NO), RunStopped(Ran.NO)):
            with self.subTest(result=result):
                decision = decide_item(7, result, ItemRecord(), False, 1, 10.0)
                self.assertIsInstance(decision, Retry)
