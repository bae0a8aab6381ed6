"""Tests of the state of a leased lot."""

from __future__ import annotations

import unittest

from mulberrypass.model.outcome import Ran
from mulberrypass.policy.jobs.items import (
    ItemState,
    RunCompleted,
    RunFailed,
    RunStopped,
)
from mulberrypass.policy.jobs.lots import (
    LotKey,
    LotLease,
    LotState,
    LotTerms,
)

KEY = LotKey("j-1", 0)


def lot(
    count: int = 4,
    idempotent: bool = True,
    settled: frozenset[int] = frozenset(),
    intended: frozenset[int] = frozenset(),
    cancelled: bool = False,
) -> LotState:
    """Return a lot whose first item has the number 10."""
    terms = LotTerms("c", "s", idempotent, 3, 0.0)
    lease = LotLease(KEY, 1, 10, count, settled, intended, cancelled)
    return LotState(lease, terms, 0.0)


def start(state: LotState, run: int, now: float = 0.0) -> int:
    """Start the next item, and return its number."""
    chosen = state.next_item(now, suspect_allowed=True)
    assert chosen is not None
    state.start(run, chosen)
    state.mark_sent(run, now)
    return chosen.item


class TestLotState(unittest.TestCase):
    """Items are started in order, settled once, and flushed once."""

    def test_settled_items_are_left_alone(self) -> None:
        state = lot(settled=frozenset({10, 12}))
        self.assertEqual([11, 13], [start(state, run) for run in (1, 2)])
        self.assertIsNone(state.next_item(0.0, suspect_allowed=True))

    def test_first_outcome_is_kept(self) -> None:
        state = lot(count=1)
        item = start(state, 1)
        state.start_duplicate(2, item)
        self.assertIsNotNone(state.end(2, RunCompleted("second"), 2.0))
        self.assertIsNone(state.end(1, RunCompleted("first"), 3.0))
        self.assertEqual(["second"], [o.output for o in state.take_flush()])
        self.assertTrue(state.ended)

    def test_failed_duplicate_leaves_the_other_running(self) -> None:
        state = lot(count=1)
        item = start(state, 1)
        state.start_duplicate(2, item)
        self.assertIsNone(state.end(2, RunFailed("500", Ran.MAYBE), 2.0))
        self.assertEqual((0, (1,)), (state.pending, state.runs_of(item)))

    def test_retry_waits(self) -> None:
        state = lot(count=1)
        start(state, 1)
        state.end(1, RunFailed("busy", Ran.NO), 1.0)
        self.assertIsNone(state.next_item(1.0, suspect_allowed=True))
        self.assertEqual(10, start(state, 2, now=2.0))

    def test_suspects_wait_until_allowed(self) -> None:
        state = lot(count=1)
        start(state, 1)
        state.end(1, RunFailed("cut", Ran.MAYBE, lost_backend=True), 0.0)
        self.assertIsNone(state.next_item(9.0, suspect_allowed=False))
        chosen = state.next_item(9.0, suspect_allowed=True)
        assert chosen is not None
        self.assertTrue(chosen.retry.suspect)

    def test_items_wait_for_intents(self) -> None:
        state = lot(idempotent=False)
        self.assertIsNone(state.next_item(0.0, suspect_allowed=True))
        self.assertEqual((10, 11, 12, 13), state.next_intents())
        self.assertEqual((), state.next_intents())
        self.assertIsNone(state.next_item(0.0, suspect_allowed=True))
        state.intents_durable()
        start(state, 1)
        state.end(1, RunStopped(Ran.NO), 0.0)
        self.assertEqual((10, 11, 12, 13), state.unrun_intents())

    def test_lost_intents_are_indeterminate(self) -> None:
        state = lot(
            idempotent=False,
            settled=frozenset({10}),
            intended=frozenset({10, 11}),
        )
        outcomes = state.take_flush()
        self.assertEqual([11], [outcome.item for outcome in outcomes])
        self.assertIs(ItemState.INDETERMINATE, outcomes[0].state)
        self.assertEqual((12, 13), state.next_intents())

    def test_cancel(self) -> None:
        state = lot()
        start(state, 1)
        self.assertEqual((1,), state.cancel())
        self.assertIsNone(state.next_item(9.0, suspect_allowed=True))
        self.assertFalse(state.ended)
        self.assertIsNone(state.end(1, RunStopped(Ran.MAYBE), 1.0))
        self.assertTrue(state.ended)
        self.assertTrue(lot(cancelled=True).ended)

    def test_stragglers(self) -> None:
        table = (
            ("far over the median", True, 100.0, 1),
            ("not yet", True, 10.5, 0),
            ("not to be repeated", False, 100.0, 0),
        )
        for name, idempotent, now, expected in table:
            with self.subTest(name):
                state = lot(count=6, idempotent=idempotent)
                state.next_intents()
                if not idempotent:
                    state.intents_durable()
                for run in range(6):
                    start(state, run)
                for run in range(5):
                    state.end(run, RunCompleted("x"), 10.0)
                self.assertEqual(expected, len(state.stragglers(now)))

    def test_no_straggler(self) -> None:
        table = (
            ("its item is settled", True, True),
            ("it waits for a permit", False, False),
        )
        for name, sent, duplicate_ends in table:
            with self.subTest(name):
                state = lot(count=6)
                for run in range(5):
                    start(state, run)
                    state.end(run, RunCompleted("x"), 10.0)
                chosen = state.next_item(0.0, suspect_allowed=True)
                assert chosen is not None
                state.start(9, chosen)
                if sent:
                    state.mark_sent(9, 10.0)
                if duplicate_ends:
                    self.assertEqual(1, len(state.stragglers(100.0)))
                    state.start_duplicate(10, chosen.item)
                    state.end(10, RunCompleted("x"), 100.0)
                self.assertEqual((), state.stragglers(200.0))
