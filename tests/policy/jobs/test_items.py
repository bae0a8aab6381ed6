"""What a run's end means for its item."""

from __future__ import annotations

import unittest

from mulberrypass.model.outcome import Ran
from mulberrypass.policy.jobs.items import (
    Again,
    Broken,
    Completed,
    ItemRecord,
    ItemState,
    Settle,
    Stopped,
    judge,
)

CUT = Broken("cut", Ran.MAYBE, lost_backend=True, backend="e")
CUT_ALONE = Broken("cut", Ran.MAYBE, lost_backend=True, alone=True)
ERROR = Broken("status 500", Ran.MAYBE)
SUSPECT = ItemRecord(suspect=True)


class TestJudge(unittest.TestCase):
    """Attempts are charged for what the item caused."""

    def test_outcomes(self) -> None:
        table = (
            (Completed("x"), ItemRecord(), True, ItemState.DONE),
            (Completed("x"), ItemRecord(), False, ItemState.DONE),
            (
                Broken("422", Ran.YES, permanent=True),
                ItemRecord(),
                True,
                ItemState.FAILED,
            ),
            (ERROR, ItemRecord(charged=2), True, ItemState.FAILED),
            (
                CUT_ALONE,
                ItemRecord(charged=2, suspect=True),
                True,
                ItemState.FAILED,
            ),
            (Broken("no", Ran.YES), ItemRecord(), False, ItemState.FAILED),
            (ERROR, ItemRecord(), False, ItemState.INDETERMINATE),
            (CUT, ItemRecord(), False, ItemState.INDETERMINATE),
            (
                Stopped(Ran.MAYBE),
                ItemRecord(),
                False,
                ItemState.INDETERMINATE,
            ),
        )
        for result, record, idempotent, state in table:
            with self.subTest(result=result, idempotent=idempotent):
                verdict = judge(7, result, record, idempotent, 3, 10.0)
                assert isinstance(verdict, Settle)
                self.assertEqual(7, verdict.outcome.item)
                self.assertIs(state, verdict.outcome.state)

    def test_runs_again(self) -> None:
        table = (
            ("an error is charged", ERROR, ItemRecord(), 1, False),
            ("the first cut makes a suspect", CUT, ItemRecord(), 0, True),
            ("a crowded suspect isn't charged", CUT, SUSPECT, 0, True),
            ("a suspect alone is charged", CUT_ALONE, SUSPECT, 1, True),
            ("alone, but not yet a suspect", CUT_ALONE, ItemRecord(), 0, True),
            ("not run", Broken("busy", Ran.NO), ItemRecord(), 0, False),
            ("revoked", Stopped(Ran.MAYBE), ItemRecord(2), 2, False),
        )
        for name, result, record, charged, suspect in table:
            with self.subTest(name):
                verdict = judge(7, result, record, True, 3, 10.0)
                assert isinstance(verdict, Again)
                self.assertEqual(charged, verdict.record.charged)
                self.assertEqual(suspect, verdict.record.suspect)

    def test_not_run_is_free_for_any_service(self) -> None:
        for result in (Broken("busy", Ran.NO), Stopped(Ran.NO)):
            with self.subTest(result=result):
                verdict = judge(7, result, ItemRecord(), False, 1, 10.0)
                self.assertIsInstance(verdict, Again)
