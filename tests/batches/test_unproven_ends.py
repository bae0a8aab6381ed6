"""Tests of items at engines that end answers without framing."""

from __future__ import annotations

from collections import deque
import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.batch_jobs import ItemState
from mulberrypass.platform.headers import LAST_EVENT_ID
from mulberrypass.platform.stand_in.engine import event, output
from mulberrypass.platform.stand_in.raw_engine import RunEnd
from tests.batches import cases
from tests.batches.cases import run_item
from tests.batches.test_partial_output import (
    EVENT_S,
    EVENTS,
    ITEM_ID,
    PartialOutputTest,
)
from tests.quiet import captured_logs
from tests.relay.fakes import ScriptedPermits

if TYPE_CHECKING:
    from structlog.typing import EventDict

    from mulberrypass.platform.stand_in.raw_engine import RawRequest

LAST = EVENTS - 1
IN_EVENT = len(event(ITEM_ID, 1)) // 2
# More runs than an item has in its time.
MANY = 100
FRAMED = RunEnd(unframed=False)


class UnprovenEndTest(PartialOutputTest):
    """Runs one item whose runs end as planned."""

    def requests(self) -> list[RawRequest]:
        """Return the requests of all engines in the order of arrival."""
        found = (req for each in self.engines for req in each.requests)
        return sorted(found, key=lambda req: req.at)

    def assert_resumed(self, *after: int | None) -> None:
        """Check after which event each run was resumed."""
        values = (
            req.headers.get(LAST_EVENT_ID.lower()) for req in self.requests()
        )
        found = [None if value is None else int(value) for value in values]
        self.assertEqual(list(after), found)

    def play(self, *ends: RunEnd) -> None:
        """Run the item at engines whose answers have no framing."""
        self.faults.unframed = True
        self.faults.ends = deque(ends)
        self.assert_whole(run_item(self.make_run()))


class EndBetweenEventsTest(UnprovenEndTest):
    """An item was done with the events before an end between two of them."""

    def test_framed_run_goes_on(self) -> None:
        self.play(RunEnd(3), FRAMED)
        self.assert_resumed(None, 2)

    def test_unframed_run_goes_on(self) -> None:
        self.play(RunEnd(3))
        self.assert_resumed(None, 2, LAST)

    def test_runs_that_end_at_different_events(self) -> None:
        self.play(RunEnd(3), RunEnd(4))
        self.assert_resumed(None, 2, 5, LAST)

    def test_part_of_a_further_event_denies_the_end(self) -> None:
        self.play(RunEnd(3), RunEnd(1, more=IN_EVENT), RunEnd(1))
        self.assert_resumed(None, 2, 3, 3, LAST)

    def test_end_of_the_first_event(self) -> None:
        self.play(RunEnd(1))
        self.assert_resumed(None, None, LAST)

    def test_second_run_is_cut_in_the_next_event(self) -> None:
        self.play(RunEnd(3), RunEnd(1, more=IN_EVENT), FRAMED)
        self.assert_resumed(None, 2, 3)

    def test_second_run_is_reset_after_the_event(self) -> None:
        self.play(RunEnd(3), RunEnd(1, reset=True), FRAMED)
        self.assert_resumed(None, 2, 2)

    def test_second_run_is_cut_later(self) -> None:
        self.play(RunEnd(3), RunEnd(3, more=IN_EVENT), FRAMED)
        self.assert_resumed(None, 2, 5)

    def test_second_run_has_no_event(self) -> None:
        self.play(RunEnd(3), RunEnd(0), RunEnd(0, unframed=False), FRAMED)
        self.assert_resumed(None, 2, 2, 2)

    def test_second_run_is_revoked(self) -> None:
        # The first run ends when its fourth event would come.
        timer = threading.Timer(7.5 * EVENT_S, self.revoke)
        timer.start()
        self.play(RunEnd(3))
        timer.join()
        # No verdict follows that of the run that was revoked.
        self.assertIn(["cancelled"], self.permits.outcomes)


class WholeAnswerInDoubtTest(UnprovenEndTest):
    """A whole answer whose end is in doubt cost more than one short run."""

    def test_second_run_brings_the_last_event(self) -> None:
        self.play()
        self.assert_resumed(None, LAST)

    def test_framed_run_proves_the_end(self) -> None:
        self.play(RunEnd(), FRAMED)
        self.assert_resumed(None, LAST)

    def test_second_run_is_cut_after_the_last_event(self) -> None:
        self.play(RunEnd(), RunEnd(reset=True))
        self.assert_resumed(None, LAST, LAST)

    def test_one_event_is_the_answer(self) -> None:
        for each in self.engines:
            each.events = 1
        self.faults.unframed = True
        outcome = run_item(self.make_run())
        assert outcome is not None
        self.assertIs(ItemState.COMPLETED, outcome.state)
        self.assertEqual(output(ITEM_ID, 1), outcome.output)
        self.assert_resumed(None, None)

    def test_second_run_is_at_another_engine(self) -> None:
        self.play()
        self.assertEqual([1, 1], [len(e.requests) for e in self.engines])

    def test_engine_counts_as_sound(self) -> None:
        self.play()
        self.assertEqual(
            [["cancelled", "done"], ["done"]], self.permits.outcomes
        )


class BreakingEngineTest(UnprovenEndTest):
    """An engine that broke an item off counted as sound."""

    def test_ends_at_different_events(self) -> None:
        self.play(RunEnd(3), RunEnd(4))
        broken = ["cancelled", "failed"]
        self.assertEqual(
            [broken, broken, ["cancelled", "done"], ["done"]],
            self.permits.outcomes,
        )

    def test_verdict_comes_with_the_next_event(self) -> None:
        """It came too late if the next run took its time."""
        self.play(RunEnd(3), FRAMED)
        self.assertEqual(
            [["cancelled", "failed"], ["done"]], self.permits.outcomes
        )
        self.assertEqual(
            ["cancelled", "failed", "done"], self.permits.released
        )

    def test_run_that_brings_no_event_is_no_verdict(self) -> None:
        self.play(RunEnd(), RunEnd(0), FRAMED)
        self.assertEqual(
            [["cancelled", "done"], ["failed"], ["done"]],
            self.permits.outcomes,
        )

    def test_unproven_end_is_no_verdict(self) -> None:
        self.permits.on_ask = self.stop_at_the_second
        self.faults.unframed = True
        self.assertIsNone(run_item(self.make_run()))
        self.assertEqual([["cancelled"]], self.permits.outcomes)

    def stop_at_the_second(self) -> None:
        """Let nobody need the item once its first run is over."""
        if len(self.permits.asks) > 1:
            self.permits.silent = True
            self.unneeded.set()


class SecondAnswerTest(UnprovenEndTest):
    """No run of an item ended if all answers were written twice."""

    def test_framed_run_proves_the_end(self) -> None:
        self.play(RunEnd(again=True), FRAMED)
        self.assert_resumed(None, LAST)

    def test_all_answers_are_written_twice(self) -> None:
        self.play(*[RunEnd(again=True)] * MANY)
        self.assert_resumed(None, LAST)


class DyingEnginesTest(UnprovenEndTest):
    """Two engines that died at the same event proved an item whole."""

    def test_second_engine_must_have_outlived_its_answer(self) -> None:
        self.engines += [self.start_engine(f"e{n}") for n in (2, 3)]
        names = iter([each.name for each in self.engines])
        self.permits.on_ask = lambda: self.permits.grant_only(next(names))
        self.play(RunEnd(3, gone=True), RunEnd(1, gone=True))
        self.assert_resumed(None, 2, 2, LAST)
        self.assertEqual(
            [
                ["cancelled", "failed"],
                ["failed"],
                ["cancelled", "done"],
                ["done"],
            ],
            self.permits.outcomes,
        )


class EmptyResumedRunTest(UnprovenEndTest):
    """A run that was resumed after the last event had nothing to show."""

    def test_framed_run_proves_the_end(self) -> None:
        self.play(RunEnd(reset=True), FRAMED)
        self.assert_resumed(None, EVENTS)

    def test_unframed_run_is_resumed_before_the_event(self) -> None:
        """The item ran from the start once more."""
        self.play(RunEnd(reset=True))
        self.assert_resumed(None, EVENTS, LAST, LAST)
        # The empty run says nothing of its engine.
        self.assertEqual(
            [["failed"], ["cancelled"], ["cancelled", "done"], ["done"]],
            self.permits.outcomes,
        )


class OnlyEngineTest(UnprovenEndTest):
    """An item waited for an engine other than the only one."""

    def setUp(self) -> None:
        super().setUp()
        del self.engines[1:]
        self.permits = ScriptedPermits(self.engines[0].name)

    def test_second_run_is_at_the_same_engine(self) -> None:
        self.play(RunEnd(3))
        self.assert_resumed(None, 2, LAST)

    def test_failed_item_runs_there_again(self) -> None:
        self.play(RunEnd(3, more=IN_EVENT), FRAMED)
        self.assert_resumed(None, 3)


class ProofLogTest(UnprovenEndTest):
    """Nothing said why an item counted as whole."""

    def logged(self, name: str, *ends: RunEnd) -> list[EventDict]:
        with captured_logs() as lines:
            self.play(*ends)
        return [line for line in lines if line["event"] == name]

    def test_item_done_names_the_proof(self) -> None:
        for ends, proof in (
            ((FRAMED,), "framed"),
            ((RunEnd(), FRAMED), "framed"),
            ((RunEnd(), RunEnd()), "second run"),
        ):
            with self.subTest(proof, ends=ends):
                (line,) = self.logged("item done", *ends)
                self.assertEqual(proof, line["proof"])

    def test_end_in_doubt_is_logged(self) -> None:
        lines = self.logged("item end in doubt", RunEnd(3))
        self.assertEqual([3, EVENTS], [line["last"] for line in lines])
        first = lines[0]
        self.assertEqual(cases.head().job_id, first["job"])
        self.assertEqual("item-0", first["item"])
        self.assertEqual("e0", first["engine"])
        self.assertTrue(first["unframed"])


if __name__ == "__main__":
    unittest.main()
