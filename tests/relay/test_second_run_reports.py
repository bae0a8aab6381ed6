"""What the end of a second run tells others about engines and answers."""

from __future__ import annotations

import time
import unittest

from mulberrypass.policy.messages import Release
from tests.relay.fakes import request, route
from tests.relay.test_unframed_ends import EVENTS, UnframedTestCase

EVENT_S = 0.05
ANSWER_S = EVENTS * EVENT_S
# A sleep of a test may end a little early by the clock.
SLACK = 0.9


class SecondRunTestCase(UnframedTestCase):
    """Forwards a whole unframed stream that a second run proves."""

    def setUp(self) -> None:
        super().setUp()
        for each in self.engines:
            each.event_s = EVENT_S
        self.assert_whole(self.forward(route(resumable=True, max_attempts=3)))
        self.assertEqual([[None], [str(EVENTS - 1)], []], self.asked)


class ReportedPaceTest(SecondRunTestCase):
    """A second run passed for an engine of eight times the speed."""

    def test_runs_report_their_own_events(self) -> None:
        for told in self.permits.told:
            if not isinstance(told, Release):
                continue
            with self.subTest(told.ask_id):
                paced = told.service_s / max(1, told.tokens)
                self.assertGreaterEqual(paced, EVENT_S * SLACK)


class NotedTimeTest(SecondRunTestCase):
    """A second run passed for a whole answer's time at a planned stop."""

    def test_answer_that_cannot_end_is_not_allowed(self) -> None:
        self.ending.set(time.monotonic() + ANSWER_S / 2)
        tokens = request().output_tokens
        self.assertFalse(self.ending.allows("lookup", tokens))


if __name__ == "__main__":
    unittest.main()
