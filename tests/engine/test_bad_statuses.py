"""Tests of answers whose status is none."""

from __future__ import annotations

import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from tests.engine.played import bad_statuses
from tests.engine.played_calls import BODY, ClientsCase, ExchangeCase
from tests.engine.test_ends import REPORT, RESULT, STREAM


class BadStatusTest(ExchangeCase):
    """An answer with a status that no answer has came to a caller."""

    def test_status_out_of_range(self) -> None:
        for name, play in bad_statuses(b"", BODY):
            with self.subTest(name):
                failed = self.assert_no_answer(play, b"")
                self.assertEqual((0, Ran.MAYBE), (failed.status, failed.ran))


class BadStatusOfClientsTest(ClientsCase):
    """Streams, results and load reports were read from such answers."""

    def test_no_stream_is_finished(self) -> None:
        for name, play in bad_statuses(b"", STREAM):
            with self.subTest(name):
                for end in self.generate(play, 2):
                    assert isinstance(end, EngineFailed)
                    self.assertEqual(0, end.status)

    def test_no_call_has_a_result(self) -> None:
        for name, play in bad_statuses(b"", RESULT):
            with self.subTest(name):
                failed = self.call(play, 0).error
                self.assertEqual((0, Ran.MAYBE), (failed.status, failed.ran))

    def test_no_load_report(self) -> None:
        for name, play in bad_statuses(b"", REPORT):
            with self.subTest(name):
                self.assertTrue(self.load(play).is_error())


if __name__ == "__main__":
    unittest.main()
