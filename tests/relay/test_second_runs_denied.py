"""Whole streams that no second run could prove, though engines lived."""

from __future__ import annotations

import unittest

from mulberrypass.platform.stand_in.raw_engine import RunEnd
from mulberrypass.relay.admission import ASK_AGAIN_S
from mulberrypass.relay.run_record import SECOND_RUN_WAIT_S
from tests.relay.fakes import route
from tests.relay.test_unframed_ends import EVENTS, UnframedTestCase

# As many as the runs that may settle where a stream ends.
REFUSALS = 4
FIRST_EVENT_S = 0.7


class GoneAtTheEndTest(UnframedTestCase):
    """A whole stream was cut, as its engine was gone when it had ended."""

    def test_others_are_asked_for_the_last_event(self) -> None:
        # It would go on behind the last event that the others know.
        self.engines[0].events = EVENTS + 1
        self.faults[0].ends.append(RunEnd(events=EVENTS, gone=True))
        seen = self.forward(route(resumable=True, max_attempts=3))
        self.assertEqual([None], self.asked[0])
        self.assert_whole(seen)


class FullForAMomentTest(UnframedTestCase):
    """A whole stream was cut, as its only engine was full for 0.2 s."""

    def test_refusals_are_no_runs(self) -> None:
        def refuse_next() -> None:
            if len(self.permits.asks) == 2:
                self.faults[0].refusals = REFUSALS

        self.permits.grant_only("e0")
        self.permits.on_ask = refuse_next
        self.assert_whole(self.forward(route(resumable=True, max_attempts=3)))

    def test_refusals_for_long_come_without_a_pause(self) -> None:
        def refuse_next() -> None:
            if len(self.permits.asks) == 2:
                self.faults[0].refusals = 1_000

        self.permits.grant_only("e0")
        self.permits.on_ask = refuse_next
        seen = self.forward(route(resumable=True, max_attempts=3))
        self.assertTrue(seen.truncated)
        self.assertLess(seen.seconds, 2 * SECOND_RUN_WAIT_S)
        refused = len(self.asked[0]) - 1
        self.assertLessEqual(refused, SECOND_RUN_WAIT_S / ASK_AGAIN_S + 1)


class SlowSecondRunTest(UnframedTestCase):
    """A sound engine counted as failing, as its second run had 0.5 s."""

    def test_run_that_is_left_early_says_nothing(self) -> None:
        self.engines[1].event_s = FIRST_EVENT_S
        self.assert_whole(self.forward(route(resumable=True, max_attempts=3)))
        self.assertNotIn("failed", self.permits.released)


if __name__ == "__main__":
    unittest.main()
