"""Tests of the proof that an answer without framing is whole."""

from __future__ import annotations

import unittest

from mulberrypass.relay.end_proof import End, EndProof


class EndInDoubtTest(unittest.TestCase):
    """An end between two events looked like the end of the answer."""

    def setUp(self) -> None:
        self.proof = EndProof()

    def judge(self, last: int | None, brought: int = 1) -> End:
        return self.proof.judge(last, brought, unframed=True)

    def judge_framed(self, last: int | None, brought: int = 1) -> End:
        return self.proof.judge(last, brought, unframed=False)

    def test_framed_end_proves_itself(self) -> None:
        self.assertIs(End.FRAMED, self.judge_framed(8, 8))

    def test_framed_run_without_events_proves_the_end(self) -> None:
        self.assertIs(End.FRAMED, self.judge_framed(8, 0))

    def test_first_unframed_end_is_in_doubt(self) -> None:
        self.assertIs(End.IN_DOUBT, self.judge(3, 3))
        self.assertTrue(self.proof.doubts(3))

    def test_second_run_that_ends_there_proves_it(self) -> None:
        self.judge(8, 8)
        self.assertIs(End.SECOND_RUN, self.judge(8))

    def test_framed_second_run_proves_it(self) -> None:
        self.judge(8, 8)
        self.assertIs(End.FRAMED, self.judge_framed(8))

    def test_run_that_goes_on_is_in_doubt_itself(self) -> None:
        self.judge(3, 3)
        self.assertIs(End.IN_DOUBT, self.judge(5, 3))
        self.assertFalse(self.proof.doubts(3))
        self.assertTrue(self.proof.doubts(5))

    def test_run_without_events_proves_nothing(self) -> None:
        self.assertIs(End.IN_DOUBT, self.judge(8, 0))
        self.assertIs(End.IN_DOUBT, self.judge(8))
        self.assertIs(End.SECOND_RUN, self.judge(8))

    def test_run_that_ends_before_a_known_event_is_broken_off(self) -> None:
        self.judge(3, 3)
        self.assertIs(End.BROKEN_OFF, self.judge(2, 0))
        self.assertIs(End.BROKEN_OFF, self.judge_framed(2, 0))
        self.assertIs(End.SECOND_RUN, self.judge(3))

    def test_event_doubted_after_an_empty_run_is_known(self) -> None:
        self.judge(8, 0)
        self.assertIs(End.BROKEN_OFF, self.judge_framed(7, 0))

    def test_end_before_the_first_event_is_broken_off(self) -> None:
        self.assertIs(End.BROKEN_OFF, self.judge(None, 0))
        self.assertIs(End.BROKEN_OFF, self.judge_framed(None, 0))
        self.assertFalse(self.proof.doubts(None))

    def test_first_event_is_numbered_zero(self) -> None:
        self.assertIs(End.IN_DOUBT, self.judge(0))
        self.assertTrue(self.proof.doubts(0))
        self.assertIs(End.BROKEN_OFF, self.judge_framed(None, 0))
        self.assertIs(End.SECOND_RUN, self.judge(0))

    def test_forgotten_ends_prove_nothing(self) -> None:
        self.judge(8, 8)
        self.proof.forget()
        self.assertFalse(self.proof.doubts(8))
        self.assertIs(End.IN_DOUBT, self.judge(8, 8))


if __name__ == "__main__":
    unittest.main()
