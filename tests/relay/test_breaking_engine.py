"""What others learn of an engine that breaks unframed streams off."""

from __future__ import annotations

import unittest

from mulberrypass.policy.messages import Release, ReleaseOutcome
from tests.known_red import known_red
from tests.relay.fakes import route
from tests.relay.test_unframed_ends import (
    ENDED_AFTER,
    EVENT_BYTES,
    UnframedTestCase,
)

REQUESTS = 5


class BreakingEngineTest(UnframedTestCase):
    """An engine that broke each stream off counted as sound."""

    @known_red(33)
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


if __name__ == "__main__":
    unittest.main()
