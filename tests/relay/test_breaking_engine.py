"""What others learn of an engine that breaks unframed streams off."""

from __future__ import annotations

import unittest

from mulberrypass.policy.messages import Release, ReleaseOutcome
from tests.relay.fakes import route
from tests.relay.test_unframed_ends import (
    ENDED_AFTER,
    EVENT_BYTES,
    LONG_S,
    UnframedTestCase,
)

REQUESTS = 5


class BreakingEngineTest(UnframedTestCase):
    """An engine that broke each stream off counted as sound."""

    def test_owner_learns_of_failures(self) -> None:
        self.faults[0].break_after = ENDED_AFTER * EVENT_BYTES
        self.faults[1].unframed = False
        to = route(resumable=True, max_attempts=3)
        for _ in range(REQUESTS):
            self.assert_whole(self.forward(to))
        failed = [
            message
            for message in self.permits.told
            if isinstance(message, Release)
            and message.outcome is ReleaseOutcome.FAILED
        ]
        self.assertEqual(REQUESTS, len(self.asked[0]))
        self.assertNotEqual([], failed)

    def test_each_run_is_judged_once(self) -> None:
        self.faults[0].break_after = ENDED_AFTER * EVENT_BYTES
        self.faults[1].unframed = False
        self.assert_whole(self.forward(route(resumable=True, max_attempts=3)))
        # The second run settles the end, and the third one goes on.
        self.assertEqual(
            [["cancelled", "failed"], ["cancelled"], ["done"]],
            self.permits.outcomes,
        )

    def test_verdict_comes_before_the_rest(self) -> None:
        """It came too late if the rest of the stream took its time."""
        self.faults[0].break_after = ENDED_AFTER * EVENT_BYTES
        self.faults[1].unframed = False
        self.forward(route(resumable=True, max_attempts=3))
        self.assertEqual("failed", self.permits.released[-2])

    def test_breaks_at_different_events(self) -> None:
        self.faults[0].break_after = ENDED_AFTER * EVENT_BYTES
        self.faults[1].resumed_bytes = 2 * EVENT_BYTES
        self.forward(route(resumable=True, max_attempts=3))
        broken = ["cancelled", "failed"]
        self.assertEqual(broken, self.permits.outcomes[0])

    def test_sound_engines_are_not_judged_as_failed(self) -> None:
        to = route(resumable=True, max_attempts=3)
        for _ in range(REQUESTS):
            self.assert_whole(self.forward(to))
        self.assertNotIn("failed", self.permits.released)

    def test_unproven_end_is_no_verdict(self) -> None:
        self.engines[1].event_s = self.engines[2].event_s = LONG_S
        to = route(resumable=True, max_attempts=3)
        self.forward(to, leave_after_s=0.2)
        first, *others = self.permits.outcomes
        self.assertEqual(["cancelled"], first)
        self.assertEqual({"cancelled"}, {o for each in others for o in each})


if __name__ == "__main__":
    unittest.main()
