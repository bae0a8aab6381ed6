"""Tests of leases and of the right to send orders."""

from __future__ import annotations

import unittest

from mulberrypass.model.objects import Fencing
from mulberrypass.policy.placement.orders import (
    LEASE_S,
    ORDER_SPACING_S,
    HeldLease,
    LeaseAction,
    NoLeaseAction,
    ObservedLease,
    RenewLease,
    TakeLease,
    lease_action,
    may_order,
    preferred_member,
)

FREE = ObservedLease("", 0, 0, 0.0)
OTHERS = ObservedLease("you/1", 4, 9, 100.0)
MINE = ObservedLease("me/1", 5, 10, 100.0)
HELD = HeldLease(5, 10, 90.0, 100.0)


class LeaseActionTest(unittest.TestCase):
    """A lease is taken only once its row has not changed for its term."""

    def test_actions(self) -> None:
        lapsed = 100.0 + LEASE_S + 0.1
        cases: tuple[
            tuple[str, ObservedLease, HeldLease | None, float, LeaseAction],
            ...,
        ] = (
            ("no row", FREE, None, 0.0, TakeLease(1, 0)),
            ("theirs", OTHERS, None, 100.0 + LEASE_S, NoLeaseAction()),
            ("theirs, lapsed", OTHERS, None, lapsed, TakeLease(5, 9)),
            ("mine, fresh", MINE, HELD, 102.0, NoLeaseAction()),
            ("mine, to renew", MINE, HELD, 105.0, RenewLease(5, 10)),
            ("mine, late", MINE, HELD, lapsed, RenewLease(5, 10)),
            ("mine, of another life", MINE, None, 105.0, NoLeaseAction()),
            ("taken from me", OTHERS, HELD, 105.0, NoLeaseAction()),
        )
        for name, seen, held, now, expected in cases:
            with self.subTest(name):
                actual = lease_action("me/1", seen, held, now)
                self.assertEqual(expected, actual)


class MayOrderTest(unittest.TestCase):
    """Orders to engines that ignore fencing numbers are spaced."""

    def test_orders(self) -> None:
        refused, ignored = Fencing.REFUSED, Fencing.IGNORED
        old = HeldLease(5, 10, 90.0 - ORDER_SPACING_S, 100.0)
        cases = (
            ("no lease", None, refused, None, 101.0, False),
            ("fresh", HELD, refused, None, 101.0, True),
            ("at once again", HELD, refused, 101.0, 101.0, True),
            ("about to lapse", HELD, refused, None, 112.0, False),
            ("ignoring, lease is new", HELD, ignored, None, 101.0, False),
            ("ignoring, lease is old", old, ignored, None, 101.0, True),
            ("ignoring, just ordered", old, ignored, 95.0, 101.0, False),
            ("ignoring, spaced", old, ignored, 84.9, 101.0, True),
        )
        for name, held, fencing, last, now, expected in cases:
            with self.subTest(name):
                actual = may_order(held, fencing, last, now)
                self.assertEqual(expected, actual)


class PreferredMemberTest(unittest.TestCase):
    """The preferred member does not depend on the members' order."""

    def test_preferred_member(self) -> None:
        members = [f"control@i-{n}" for n in range(9)]
        pools = [f"p{n}" for n in range(90)]
        chosen = [preferred_member(pool, members) for pool in pools]
        again = [preferred_member(pool, reversed(members)) for pool in pools]
        self.assertEqual(chosen, again)
        self.assertEqual(set(members), set(chosen))
        self.assertEqual("", preferred_member("p", ()))


if __name__ == "__main__":
    unittest.main()
