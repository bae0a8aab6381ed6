"""Second answers behind bodies that name the protocol often."""

from __future__ import annotations

import unittest

from mulberrypass.relay.second_answer import without_second_answer
from tests.relay.test_second_answer import HEAD, SECOND

LINE = b"GET / HTTP/1.1 is a request line\n"


class HeadsInBodyTest(unittest.TestCase):
    """A body and its copy passed for one body."""

    def test_few_lines(self) -> None:
        body = LINE * 15
        found = without_second_answer(body + HEAD + body, SECOND)
        self.assertEqual(body, found)

    def test_many_lines(self) -> None:
        body = LINE * 16
        found = without_second_answer(body + HEAD + body, SECOND)
        self.assertEqual(body, found)


if __name__ == "__main__":
    unittest.main()
