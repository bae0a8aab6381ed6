"""Tests of the bounds on the runs of one request."""

from __future__ import annotations

import unittest

from mulberrypass.policy.online.runs import MAX_SETTLING_RUNS, Runs

ENGINES = ("e1", "e2", "e3")


class SettlingRunsTest(unittest.TestCase):
    """A run that settled where a stream ends took a further engine."""

    def setUp(self) -> None:
        self.runs = Runs(2, repeatable=True)

    def end_runs(self, *engines: str) -> None:
        for engine in engines:
            self.runs.begin(settles=False)
            self.runs.note_ended(engine)

    def test_other_engines_are_preferred(self) -> None:
        self.end_runs("e1")
        self.assertEqual([("e1",), (), ()], self.runs.avoided(True, ENGINES))

    def test_no_engine_is_added_to_those_that_may_be_asked(self) -> None:
        self.end_runs("e1", "e2")
        for avoided in self.runs.avoided(True, ENGINES):
            self.assertIn("e3", avoided)

    def test_engine_that_has_not_run_it_does_not_count(self) -> None:
        self.end_runs("e1")
        self.runs.begin(settles=False)
        self.runs.note_not_run("e2", settled=False)
        self.assertEqual(1, self.runs.attempts)
        self.assertNotIn("e3", self.runs.avoided(True, ENGINES)[0])

    def test_engine_that_shows_more_counts(self) -> None:
        self.end_runs("e1")
        self.runs.begin(settles=True)
        self.runs.note_more("e2")
        self.assertIn("e3", self.runs.avoided(True, ENGINES)[-1])
        self.assertEqual(1, self.runs.attempts)

    def test_they_end(self) -> None:
        self.end_runs("e1")
        for _ in range(MAX_SETTLING_RUNS):
            self.assertTrue(self.runs.may_settle())
            self.runs.begin(settles=True)
        self.assertFalse(self.runs.may_settle())

    def test_what_may_not_be_repeated_is_not_settled(self) -> None:
        runs = Runs(2, repeatable=False)
        self.assertFalse(runs.may_settle() or runs.may_repeat())


class AttemptsTest(unittest.TestCase):
    """Attempts at engines that have failed."""

    def test_engines_that_failed_are_avoided(self) -> None:
        runs = Runs(2, repeatable=True)
        runs.begin(settles=False)
        runs.note_failed("e1")
        self.assertEqual([("e1",)], runs.avoided(False, ENGINES))
        self.assertTrue(runs.may_repeat())
        runs.begin(settles=False)
        self.assertFalse(runs.may_repeat())


if __name__ == "__main__":
    unittest.main()
