"""Tests of answers that end before their request was read."""

from __future__ import annotations

import itertools
import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from tests.engine.played import (
    UPLOADS,
    Play,
    cut_ends,
    early_ends,
)
from tests.engine.played_calls import (
    BODY,
    OK,
    ClientsCase,
    ExchangeCase,
)
from tests.engine.test_ends import REPORT, RESULT, STREAM, UNFRAMED, framed


class EarlyEndTest(ExchangeCase):
    """A part of an answer was taken for all of it.

    The server answered an upload that it hadn't read, without a length, and
    ended the connection.
    """

    def test_answer_that_ends_before_its_request_is_no_answer(self) -> None:
        for size in UPLOADS:
            for name, play in early_ends(OK + b"\r\n", BODY):
                with self.subTest(name, size=size):
                    failed = self.assert_no_answer(play, b"x" * size)
                    self.assertEqual(Ran.MAYBE, failed.ran)

    def test_answer_without_length_that_breaks_off(self) -> None:
        for name, play in cut_ends(OK, BODY):
            for size in (0, *UPLOADS):
                with self.subTest(name, size=size):
                    self.assert_no_answer(play, b"x" * size)

    def test_answer_to_a_request_that_was_read_is_whole(self) -> None:
        for size in (0, *UPLOADS):
            for reads in (False, True):
                play = Play(OK + b"\r\n" + BODY, reads, not reads)
                with self.subTest(size, reads=reads):
                    self.assert_answer(play, b"x" * size)

    def test_early_answer_with_a_length_of_a_server_that_reads_on(
        self,
    ) -> None:
        sent = OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
        for size in UPLOADS:
            with self.subTest(size):
                play = Play(sent, reads=False, reads_on=True, keeps=True)
                self.assert_answer(play, b"x" * size)


class EarlyEndOfClientsTest(ClientsCase):
    """Streams and results were read from such answers."""

    def test_no_stream_is_finished(self) -> None:
        part = STREAM[: len(STREAM) // 2]
        for name, play in itertools.chain(
            early_ends(UNFRAMED, part), cut_ends(OK, part)
        ):
            for size in UPLOADS:
                with self.subTest(name, size=size):
                    for end in self.generate(play, size):
                        self.assertIsInstance(end, EngineFailed)

    def test_no_call_has_a_result(self) -> None:
        for name, play in itertools.chain(
            early_ends(UNFRAMED, RESULT), cut_ends(OK, RESULT)
        ):
            for size in UPLOADS:
                with self.subTest(name, size=size):
                    self.assertTrue(self.call(play, size).is_error())

    def test_no_load_report(self) -> None:
        for name, play in cut_ends(OK, REPORT):
            with self.subTest(name):
                self.assertTrue(self.load(play).is_error())

    def test_sound_answers(self) -> None:
        for sent in (framed(RESULT), UNFRAMED + RESULT):
            self.assertTrue(self.call(Play(sent), UPLOADS[-1]).is_ok())


if __name__ == "__main__":
    unittest.main()
