"""Tests of the logged differences between lists of members."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.model.member import Member, MemberState
from mulberrypass.policy.membership.changes import (
    MAX_LOGGED_NAMES,
    Changes,
    changes,
)


def member(name: str, incarnation: int = 10) -> Member:
    """Return a member that is alive."""
    return Member(name, "entry", "z", "10.0.0.1", incarnation)


A, B = member("a"), member("b")
LEAVING = replace(A, state=MemberState.LEAVING)


class ChangesTest(unittest.TestCase):
    def test_cases(self) -> None:
        cases = {
            "none": ((A, B), (B, A), Changes()),
            "came": ((A,), (A, B), Changes(joined=("b",))),
            "gone": ((A, B), (A,), Changes(gone=("b",))),
            "restarted": (
                (A,),
                (member("a", 99),),
                Changes(joined=("a",)),
            ),
            "refuted a suspicion": ((A,), (member("a", 11),), Changes()),
            "newer generation": ((A,), (replace(A, generation=4),), Changes()),
            "suspected": (
                (A,),
                (replace(A, state=MemberState.SUSPECT),),
                Changes(),
            ),
            "leaving": ((A,), (LEAVING,), Changes(leaving=("a",))),
            "new and leaving": ((), (LEAVING,), Changes(leaving=("a",))),
            "still leaving": ((LEAVING,), (LEAVING,), Changes()),
        }
        for name, (before, after, wanted) in cases.items():
            with self.subTest(name):
                found = changes(before, after)
                self.assertEqual(wanted, found)
                self.assertEqual(wanted != Changes(), bool(found))

    def test_log_fields_are_bounded(self) -> None:
        many = [member(f"m{number}") for number in range(100)]
        fields = changes((), many).log_fields()
        self.assertEqual(["came"], list(fields))
        self.assertEqual(MAX_LOGGED_NAMES, len(fields["came"]))
