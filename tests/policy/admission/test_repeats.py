"""Tests of asks for a second run beside one that is late."""

from __future__ import annotations

import unittest

from mulberrypass.policy.messages import (
    Ask,
    Grant,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
)
from tests.policy.admission.cases import ask, engine, granted, make_cell


def second(ask_id: str, *avoid: str) -> Ask:
    """Return an ask for a second run."""
    return ask(ask_id, repeat=True, avoid=avoid)


class SecondRunTest(unittest.TestCase):
    """A second run at a slow engine is as late as the first."""

    def test_other_engine_is_granted(self) -> None:
        cell = make_cell([engine("e1"), engine("e2")])
        cell.handle(ask("a"), 0.0)
        found = granted(cell.handle(second("b", "e1"), 0.1))
        self.assertEqual([("b", "e2")], found)

    def test_engine_that_is_held_back_gets_none(self) -> None:
        cell = make_cell([engine("e1"), engine("e2")])
        for number in range(3):
            name = f"a{number}"
            decisions = cell.handle(ask(name, avoid=("e1",)), 0.0)
            self.assertEqual([(name, "e2")], granted(decisions))
            cell.handle(Release(name, ReleaseOutcome.FAILED, 0.1), 0.0)
        # From 0.5 s on it would get a probe.
        for now in (0.1, 1.0, 5.0):
            with self.subTest(now=now):
                cell.tick(now)
                (found,) = cell.handle(second(f"b{now}", "e1"), now)
                self.assertIsInstance(found.message, Refuse)
        (probe,) = cell.handle(ask("c", avoid=("e1",)), 5.0)
        self.assertIsInstance(probe.message, Grant)

    def test_no_room_to_spare(self) -> None:
        cell = make_cell([engine("e1", slots=1), engine("e2", slots=1)])
        cell.handle(ask("a", avoid=("e2",)), 0.0)
        cell.handle(ask("b", avoid=("e1",)), 0.0)
        (found,) = cell.handle(second("c", "e1"), 0.1)
        assert isinstance(found.message, Refuse)
        self.assertIs(RefusalReason.NO_SPARE, found.message.reason)
