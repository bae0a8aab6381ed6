"""Memory of outputs that consist of many small events."""

from __future__ import annotations

import tracemalloc
import unittest

from mulberrypass.batches.progress import Progress
from mulberrypass.relay.events import Event

COUNT = 100_000
MB = 1_000_000


class SmallEventsTest(unittest.TestCase):
    """Small events took 30 times the bytes that were counted, or more."""

    def test_counted_bytes_are_those_taken(self) -> None:
        cases = {
            "two letters": (b"ab", COUNT),
            "no data": (b"", COUNT),
            "one wide character": (b"a" * MB + "\U0001f600".encode(), 1),
        }
        for name, (data, count) in cases.items():
            with self.subTest(name):
                progress = Progress()
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                for number in range(count):
                    progress.add(Event(b"", number, data))
                taken, _ = tracemalloc.get_traced_memory()
                self.assertLess(taken, 2 * progress.taken)


if __name__ == "__main__":
    unittest.main()
