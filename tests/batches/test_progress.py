"""Tests of the output of an item over several attempts."""

from __future__ import annotations

import unittest

from mulberrypass.batches.progress import MAX_DENIALS, Progress
from mulberrypass.relay.end_proof import End
from mulberrypass.relay.events import Event


class PartThatNeverComesTest(unittest.TestCase):
    """Bytes behind the last event would hold an item until it expires."""

    def test_ends_that_deny_it_begin_anew(self) -> None:
        progress = Progress()
        for number in (1, 2):
            progress.add(Event(b"", number, b"x"))
        progress.note_begun()
        for _ in range(MAX_DENIALS):
            self.assertEqual(2, progress.resume())
            self.assertIs(End.BROKEN_OFF, progress.judge(0, unframed=True))
        self.assertIsNone(progress.resume())
        for number in (1, 2):
            progress.add(Event(b"", number, b"x"))
        self.assertIs(End.FRAMED, progress.judge(2, unframed=False))


if __name__ == "__main__":
    unittest.main()
