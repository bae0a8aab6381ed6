"""The state of one leased lot."""

from __future__ import annotations

import unittest

from mulberrypass.model.outcome import Ran
from mulberrypass.policy.jobs.items import (
    Broken,
    Completed,
    ItemState,
    Stopped,
)
from mulberrypass.policy.jobs.lots import (
    LotGrant,
    LotKey,
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
    """Give a lot whose first item has the number 10."""
    terms = LotTerms("c", "s", idempotent, 3, 0.0)
    grant = LotGrant(KEY, 1, 10, count, settled, intended, cancelled)
    return LotState(grant, terms, 0.0)


def start(state: LotState, run: int, now: float = 0.0) -> int:
    """Start the next item; its number."""
    chosen = state.next_item(now, suspects_free=True)
    assert chosen is not None
    state.start(run, chosen)
    state.sent(run, now)
    return chosen.item


class TestLotState(unittest.TestCase):
    """Items are started in order, settled once, and flushed once."""

    def test_settled_items_are_left_alone(self) -> None:
        state = lot(settled=frozenset({10, 12}))
        self.assertEqual([11, 13], [start(state, run) for run in (1, 2)])
        self.assertIsNone(state.next_item(0.0, suspects_free=True))

    def test_first_outcome_stands(self) -> None:
        state = lot(count=1)
        item = start(state, 1)
        state.start_twin(2, item)
        self.assertIsNotNone(state.end(2, Completed("second"), 2.0))
        self.assertIsNone(state.end(1, Completed("first"), 3.0))
        self.assertEqual(["second"], [o.output for o in state.take_flush()])
        self.assertTrue(state.ended)

    def test_a_failed_twin_leaves_the_other_running(self) -> None:
        state = lot(count=1)
        item = start(state, 1)
        state.start_twin(2, item)
        self.assertIsNone(state.end(2, Broken("500", Ran.MAYBE), 2.0))
        self.assertEqual((0, (1,)), (state.pending, state.twins(item)))

    def test_retry_waits(self) -> None:
        state = lot(count=1)
        start(state, 1)
        state.end(1, Broken("busy", Ran.NO), 1.0)
        self.assertIsNone(state.next_item(1.0, suspects_free=True))
        self.assertEqual(10, start(state, 2, now=2.0))

    def test_suspects_wait_for_their_turn(self) -> None:
        state = lot(count=1)
        start(state, 1)
        state.end(1, Broken("cut", Ran.MAYBE, lost_backend=True), 0.0)
        self.assertIsNone(state.next_item(9.0, suspects_free=False))
        chosen = state.next_item(9.0, suspects_free=True)
        assert chosen is not None
        self.assertTrue(chosen.record.suspect)

    def test_intents_come_first(self) -> None:
        state = lot(idempotent=False)
        self.assertIsNone(state.next_item(0.0, suspects_free=True))
        self.assertEqual((10, 11, 12, 13), state.intents_wanted())
        self.assertEqual((), state.intents_wanted())
        self.assertIsNone(state.next_item(0.0, suspects_free=True))
        state.intents_durable()
        start(state, 1)
        state.end(1, Stopped(Ran.NO), 0.0)
        self.assertEqual((10, 11, 12, 13), state.returned())

    def test_lost_intents_are_indeterminate(self) -> None:
        state = lot(
            idempotent=False,
            settled=frozenset({10}),
            intended=frozenset({10, 11}),
        )
        outcomes = state.take_flush()
        self.assertEqual([11], [outcome.item for outcome in outcomes])
        self.assertIs(ItemState.INDETERMINATE, outcomes[0].state)
        self.assertEqual((12, 13), state.intents_wanted())

    def test_cancel(self) -> None:
        state = lot()
        start(state, 1)
        self.assertEqual((1,), state.cancel())
        self.assertIsNone(state.next_item(9.0, suspects_free=True))
        self.assertFalse(state.ended)
        self.assertIsNone(state.end(1, Stopped(Ran.MAYBE), 1.0))
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
                state.intents_wanted()
                if not idempotent:
                    state.intents_durable()
                for run in range(6):
                    start(state, run)
                for run in range(5):
                    state.end(run, Completed("x"), 10.0)
                self.assertEqual(expected, len(state.stragglers(now)))

    def test_no_straggler(self) -> None:
        table = (
            ("its item is settled", True, True),
            ("it waits for a permit", False, False),
        )
        for name, sent, twin_ends in table:
            with self.subTest(name):
                state = lot(count=6)
                for run in range(5):
                    start(state, run)
                    state.end(run, Completed("x"), 10.0)
                chosen = state.next_item(0.0, suspects_free=True)
                assert chosen is not None
                state.start(9, chosen)
                if sent:
                    state.sent(9, 10.0)
                if twin_ends:
                    self.assertEqual(1, len(state.stragglers(100.0)))
                    state.start_twin(10, chosen.item)
                    state.end(10, Completed("x"), 100.0)
                self.assertEqual((), state.stragglers(200.0))
