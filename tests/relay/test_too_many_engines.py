"""Engines that the runs of one request reach."""

from __future__ import annotations

import unittest

from tests.relay.fakes import CUT, Script
from tests.relay.test_more_than_the_end import (
    MoreThanTheEndTestCase,
    unframed,
)


class TooManyEnginesTest(MoreThanTheEndTestCase):
    """A run that settles an end added an engine to the route's attempts."""

    def test_no_more_engines_than_attempts(self) -> None:
        for attempts in (2, 3):
            self.play(
                attempts,
                unframed(1, 2),
                unframed(2, 3),
                *[Script(parts=[CUT])] * 5,
            )
            asked = {name for name, _ in self.engines.sent}
            with self.subTest(attempts=attempts):
                self.assertLessEqual(len(asked), attempts, asked)


if __name__ == "__main__":
    unittest.main()
