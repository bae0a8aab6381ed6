"""Bytes that looking for a second answer takes."""

from __future__ import annotations

import tracemalloc
import unittest

from mulberrypass.relay.second_answer import (
    SecondAnswer,
)
from mulberrypass.relay.whole_body import HeldBodies

PART = b"x" * 65_536
SIZE = 4_194_304
SECOND = SecondAnswer((("x-id", "r1"), ("x-stamp", "s1")))


class UncountedCopyTest(unittest.TestCase):
    """Each body without framing was held twice, and counted once."""

    def test_sound_body_is_not_copied(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with HeldBodies().open("e1", lambda: None) as body:
            for _ in range(SIZE // len(PART)):
                body.append(PART)
            body.complete()
            tracemalloc.reset_peak()
            body.shorten(SECOND)
            _, most = tracemalloc.get_traced_memory()
        self.assertLess(most, 1.5 * SIZE)


if __name__ == "__main__":
    unittest.main()
