"""Tests of odd rows among crashes and instances."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member
from mulberrypass.peer.membership_codec import encode_reply
from mulberrypass.policy.health.crashes import Crash
from mulberrypass.policy.membership.messages import Message
from mulberrypass.storage import instances
from mulberrypass.storage.crashes import CRASHES_TABLE, RowCrashes
from mulberrypass.testing.row_state import RowState
from tests.platform.odd_values import OddRowTest, odd_documents, replaced
from tests.quiet import captured_logs

if TYPE_CHECKING:
    from collections.abc import Iterator

CRASH = {
    "engine": "i-1@7",
    "service": "rackmind",
    "at_ms": 5,
    "suspects": ["1", "ffffffffffffffff"],
    "familiar": [],
    "cleared": [],
}
INSTANCE = {"zone": "a", "address": "10.0.0.7"}
ME = Member("entry@a", "entry", "a", "10.0.0.1", 1)


def odd_crashes() -> Iterator[tuple[str, bytes]]:
    """Yield what can't be a crash."""
    yield from odd_documents(CRASH, ("at_ms",))
    for field in ("suspects", "familiar", "cleared"):
        for text in (
            '["' + "f" * 17 + '"]',
            '["-1"]',
            '["x"]',
            '[""]',
            "[1]",
            "[1e400]",
            '"1"',
            "{}",
        ):
            yield f"{field} {text}", replaced(CRASH, field, text)
    for field, text in (
        ("at_ms", "-1"),
        ("at_ms", "4.5"),
        ("engine", "null"),
        ("engine", "[]"),
        ("service", "1"),
    ):
        yield f"{field} {text}", replaced(CRASH, field, text)


class OddCrashTest(OddRowTest):
    """An odd crash is skipped, and can be told to every peer if it isn't."""

    table = CRASHES_TABLE

    def test_other_crashes_are_learnt(self) -> None:
        good = json.dumps(CRASH).encode()
        others = tuple(self.row(f"e{n}/m", good) for n in range(2))
        for what, value in odd_crashes():
            odd = self.row("odd-1/m", value)
            for before, later in (
                ((odd,), others),
                ((others[0], odd, others[1]), ()),
                (others[:1], (odd, others[1])),
            ):
                with self.subTest(what, before=len(before)):
                    learnt: list[Crash] = []
                    crashes = RowCrashes(RowState(), "entry@a", learnt.append)
                    self.follow(crashes, before, later)
                    self.assertEqual(["i-1@7"] * 2, [c.engine for c in learnt])
                    self.assertEqual(1, self.lines_about("odd-1/m"))

    def test_largest_crash_can_be_told_to_peers(self) -> None:
        learnt: list[Crash] = []
        largest = CRASH | {"at_ms": 2**63 - 1}
        crashes = RowCrashes(RowState(), "entry@a", learnt.append)
        row = self.row("e1/m", json.dumps(largest).encode())
        self.follow(crashes, (row,))
        encode_reply(Message(ME, (), (), tuple(learnt)))


class OddInstanceTest(OddRowTest):
    """An odd row names no instance, and hides none."""

    table = instances.TABLE

    def odd_instances(self) -> Iterator[tuple[str, bytes]]:
        """Yield what can't be an instance."""
        yield from odd_documents(INSTANCE, ())
        for text in (
            "null",
            "[]",
            "{}",
            "1",
            '""',
            '"x"',
            '"[::1]"',
            '"\\u0000"',
        ):
            yield f"address {text}", replaced(INSTANCE, "address", text)
        for text in ("null", "[]", "1e400"):
            yield f"zone {text}", replaced(INSTANCE, "zone", text)

    def test_other_instances_are_listed(self) -> None:
        good = json.dumps(INSTANCE).encode()
        for what, value in self.odd_instances():
            for kept in (0, 2):
                state = RowState()
                state.transact(self.row("odd-1", value))
                for number in range(kept):
                    state.transact(self.row(f"p{number}", good))
                with self.subTest(what, kept=kept):
                    with captured_logs() as self.logged:
                        listed = instances.RowInstances(state).listed()
                    names = [entry.name for entry in listed.ok]
                    self.assertEqual([f"p{n}" for n in range(kept)], names)
                    self.assertEqual(1, self.lines_about("odd-1"))
