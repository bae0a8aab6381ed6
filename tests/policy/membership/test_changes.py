"""Tests of what is said of members that come and go."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.model.member import Member, MemberState
from mulberrypass.policy.membership.changes import MAX_SAID, Changes, changes


def member(name: str, incarnation: int = 10) -> Member:
    """Give a member that is alive."""
    return Member(name, "entry", "z", "10.0.0.1", incarnation)


A, B = member("a"), member("b")
LEAVING = replace(A, state=MemberState.LEAVING)


class ChangesTest(unittest.TestCase):
    def test_cases(self) -> None:
        cases = {
            "none": ((A, B), (B, A), Changes()),
            "came": ((A,), (A, B), Changes(came=("b",))),
            "gone": ((A, B), (A,), Changes(gone=("b",))),
            "started again": ((A,), (member("a", 99),), Changes(came=("a",))),
            "refuted a doubt": ((A,), (member("a", 11),), Changes()),
            "newer routes": ((A,), (replace(A, generation=4),), Changes()),
            "doubted": (
                (A,),
                (replace(A, state=MemberState.SUSPECT),),
                Changes(),
            ),
            "leaving": ((A,), (LEAVING,), Changes(leaving=("a",))),
            "met as leaving": ((), (LEAVING,), Changes(leaving=("a",))),
            "still leaving": ((LEAVING,), (LEAVING,), Changes()),
        }
        for name, (before, after, wanted) in cases.items():
            with self.subTest(name):
                found = changes(before, after)
                self.assertEqual(wanted, found)
                self.assertEqual(wanted != Changes(), bool(found))

    def test_a_line_names_some(self) -> None:
        many = [member(f"m{number}") for number in range(100)]
        said = changes((), many).said()
        self.assertEqual(["came"], list(said))
        self.assertEqual(MAX_SAID, len(said["came"]))
