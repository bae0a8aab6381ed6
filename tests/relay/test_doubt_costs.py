"""What a sound engine or a whole stream loses by a doubtful end."""

from __future__ import annotations

import unittest

from tests.relay.fakes import route
from tests.relay.test_unframed_ends import UnframedTestCase


class LastAttemptTest(UnframedTestCase):
    """A whole stream was cut, as an attempt before had shown no event."""

    def test_first_engine_ends_after_its_head(self) -> None:
        self.faults[0].break_after = 0
        self.assert_whole(self.forward(route(resumable=True, max_attempts=2)))


if __name__ == "__main__":
    unittest.main()
