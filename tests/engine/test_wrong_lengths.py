"""Tests of answers whose length is smaller than their body."""

from __future__ import annotations

import unittest

from tests.engine.played import UPLOADS, Play, short_lengths
from tests.engine.played_calls import BODY, OK, ClientsCase, ExchangeCase
from tests.engine.test_ends import RESULT


class WrongLengthTest(ExchangeCase):
    """The first part of a body was taken for all of it."""

    def test_length_smaller_than_the_body(self) -> None:
        for name, play in short_lengths(OK, BODY):
            for size in (0, UPLOADS[-1]):
                with self.subTest(name, size=size):
                    self.assert_no_answer(play, b"x" * size)

    def test_second_answer_isnt_part_of_the_first(self) -> None:
        sent = OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
        for more in (sent, sent[:3], sent[:30]):
            with self.subTest(more):
                self.assert_answer(Play(sent + more), b"")


class WrongLengthOfDocumentTest(ClientsCase):
    """A result was read from the first part of a body."""

    def test_no_call_has_a_result(self) -> None:
        for name, play in short_lengths(OK, RESULT + b" " * 10):
            with self.subTest(name):
                self.assertTrue(self.call(play, 0).is_error())


if __name__ == "__main__":
    unittest.main()
