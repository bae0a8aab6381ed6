"""Tests of the memory that a call for the largest result takes."""

from __future__ import annotations

import tracemalloc
import unittest

from mulberrypass.batches.progress import MAX_OUTPUT_BYTES
from mulberrypass.policy.held_bytes import ByteLimits
from tests.batches.test_results_in_memory import ResultsCase
from tests.known_red import known_red

# Of six bytes each in JSON.
CONTROLS = "\x01" * (MAX_OUTPUT_BYTES - 10)


class LargestResultTest(ResultsCase):
    """One call for one result took half of the smallest instance."""

    items = 1
    output = CONTROLS

    @known_red(issue=33)
    def test_one_call_leaves_room_for_others(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.call(0)
        peak = tracemalloc.get_traced_memory()[1]
        # As much as all answers together may take.
        self.assertLess(peak, ByteLimits.of_memory().total)


if __name__ == "__main__":
    unittest.main()
