"""What a sound engine or a whole stream loses by a doubtful end."""

from __future__ import annotations

import unittest

from tests.relay.fakes import route
from tests.relay.test_unframed_ends import (
    EVENT_BYTES,
    EVENTS,
    GAP_S,
    LONG_S,
    UnframedTestCase,
)


class LastAttemptTest(UnframedTestCase):
    """A whole stream was cut, as an attempt before had shown no event."""

    def test_first_engine_ends_after_its_head(self) -> None:
        self.faults[0].break_after = 0
        self.assert_whole(self.forward(route(resumable=True, max_attempts=2)))


class OnlyEngineTest(UnframedTestCase):
    """A whole stream was cut, as its only engine was full for a moment."""

    def test_second_run_is_refused_once(self) -> None:
        def refuse_next() -> None:
            if len(self.permits.asks) == 2:
                self.faults[0].refusals = 1

        self.permits.grant_only("e0")
        self.permits.on_ask = refuse_next
        self.assert_whole(self.forward(route(resumable=True, max_attempts=3)))


class SilentLastRunTest(UnframedTestCase):
    """A second run without an event held the caller to the deadline."""

    def test_end_comes_while_callers_wait(self) -> None:
        self.engines[1].event_s = LONG_S
        seen = self.forward(route(resumable=True, max_attempts=2))
        self.assertLess(seen.seconds, GAP_S)


class EmptyRunWithinTest(UnframedTestCase):
    """A run that died after its head cost two attempts instead of one."""

    def test_later_run_goes_on(self) -> None:
        # The first ends inside event 4, the second before any event.
        self.faults[0].break_after = 3 * EVENT_BYTES + 1
        self.faults[1].resumed_bytes = 0
        self.faults[2].unframed = False
        self.assert_whole(self.forward(route(resumable=True, max_attempts=3)))


class EmptyRunTest(UnframedTestCase):
    """A sound engine counted as failing, as it had nothing to add."""

    def test_stream_whose_events_had_all_come(self) -> None:
        to = route(resumable=True, max_attempts=3)
        seen = self.forward(to, after=EVENTS)
        self.assertEqual((b"", False), (seen.body, seen.truncated))
        self.assertNotIn("failed", self.permits.released)


if __name__ == "__main__":
    unittest.main()
