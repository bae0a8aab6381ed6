"""Bodies behind which an answer was written more than once, or in part."""

from __future__ import annotations

import unittest

from mulberrypass.relay.second_answer import (
    SecondAnswer,
    without_second_answer,
)

MARKS = (("X-Id", "9c41"), ("X-Stamp", "3e1b.07"))
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 9c41\r\nX-Stamp: 3e1b.07\r\n\r\n"
BODY = b"a body"


class MoreAnswersTest(unittest.TestCase):
    """A head of the engine reached the caller as part of a body."""

    def test_last_copy_is_cut_in_its_head(self) -> None:
        copies = BODY + HEAD + BODY
        for size in range(1, len(HEAD)):
            with self.subTest(size):
                body = copies + HEAD[:size]
                found = without_second_answer(body, SecondAnswer(MARKS))
                self.assertNotIn(HEAD, found)


if __name__ == "__main__":
    unittest.main()
