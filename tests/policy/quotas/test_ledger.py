"""Tests of the buckets of customers' limits."""

from __future__ import annotations

import random
import unittest

from mulberrypass.policy.quotas.messages import (
    Lent,
    Limit,
    LostOwnership,
    QuotaSettings,
    Role,
    Want,
)
from tests.policy.quotas.cases import CUSTOMER, NAMES, Instance, ranked

OWNER, DEPUTY, THIRD, *_REST = ranked(NAMES)
LIMIT = Limit(2.0, 10.0)
HOLDER = "entry@holder"
# Without a margin beyond the limit, a bucket is that of the rate and burst.
EXACT = QuotaSettings(overage=0.0, slack=0.0)


class LedgerCase(unittest.TestCase):
    """An instance that has been the owner for long."""

    def setUp(self) -> None:
        self.owner = Instance(OWNER, EXACT)
        self.owner.see(NAMES, 0.0)
        self.ledger = self.owner.ledger
        self.now = 100.0

    def lend(self, tokens: int, ahead: int = 0, limit: Limit = LIMIT) -> Lent:
        want = Want(CUSTOMER, HOLDER, tokens, ahead)
        return self.ledger.lend(want, limit, self.now)


class LimitTest(LedgerCase):
    """A customer gets more or less than its rate and burst."""

    def test_burst_then_rate(self) -> None:
        self.assertEqual(Lent(Role.OWNER, 10, 0.5), self.lend(12))
        self.now += 0.5
        self.assertEqual(Lent(Role.OWNER, 1), self.lend(1))

    def test_retry_after_is_when_the_next_token_is_there(self) -> None:
        self.lend(10)
        self.now += 0.2
        self.assertAlmostEqual(0.3, self.lend(1).retry_after_s)

    def test_steady_use_below_the_limit_is_not_refused(self) -> None:
        for _request in range(1_000):
            self.now += 0.55
            self.assertEqual(1, self.lend(1).granted)
            self.ledger.tick(self.now)

    def test_a_customer_that_sends_nothing_keeps_no_state(self) -> None:
        self.lend(1)
        self.now += 10.0
        self.ledger.tick(self.now)
        self.assertEqual((), self.ledger.customers())
        self.assertEqual(10, self.lend(10).granted)


class BorrowedAheadTest(LedgerCase):
    """Tokens borrowed ahead use up what others need now."""

    def test_at_most_an_eighth_of_the_level(self) -> None:
        limit = Limit(2.0, 80.0)
        self.now = 1_000.0
        self.assertEqual(1 + 10, self.lend(1, 20, limit).granted)

    def test_none_when_the_level_is_low(self) -> None:
        self.lend(4)
        self.assertEqual(1, self.lend(1, 5).granted)


class ReturnedTest(LedgerCase):
    """Returned tokens raise the limit."""

    def test_at_most_what_was_lent(self) -> None:
        self.lend(10)
        for returned, taken in ((3, 3), (20, 7), (1, 0)):
            found = self.ledger.give_back(CUSTOMER, HOLDER, returned, self.now)
            self.assertEqual(taken, found)
        self.assertEqual(10, self.lend(12).granted)

    def test_nothing_of_another_holder(self) -> None:
        self.lend(10)
        found = self.ledger.give_back(CUSTOMER, "entry@other", 1, self.now)
        self.assertEqual(0, found)


class ChangedLimitTest(LedgerCase):
    """A change of the limit adds tokens."""

    def test_higher_limit_adds_no_tokens(self) -> None:
        self.lend(10)
        self.assertEqual(0, self.lend(1, limit=Limit(20, 100)).granted)

    def test_lower_limit_holds_at_once(self) -> None:
        self.lend(1)
        self.assertEqual(2, self.lend(9, limit=Limit(1, 2)).granted)


class PauseTest(LedgerCase):
    """An owner that was paused lends what another one has lent."""

    def test_pause_empties_buckets(self) -> None:
        self.lend(1)
        self.ledger.tick(self.now)
        self.now += 1.0
        lent = self.lend(1)
        self.assertEqual((Role.DEPUTY, 0), (lent.role, lent.granted))
        self.now += 0.7
        self.ledger.tick(self.now)
        self.now += 0.15
        self.assertEqual(Lent(Role.OWNER, 0), self.owner_empty())

    def owner_empty(self) -> Lent:
        lent = self.lend(1)
        self.assertGreater(lent.retry_after_s, 0.3)
        return Lent(lent.role, lent.granted)


class SmallCustomerTest(unittest.TestCase):
    """Requests that come by chance are refused far below the limit."""

    def test_pulses_below_the_limit(self) -> None:
        """A site's pulses, at 1/1.6 of the limit in the mean."""
        owner = Instance(OWNER)
        owner.see(NAMES, 0.0)
        rng = random.Random(1)
        limit = Limit(1.4, 1.4)
        want = Want(CUSTOMER, HOLDER, 1)
        now, asked, refused = 100.0, 0, 0
        while now < 2_000.0:
            in_pulse = now % 5.2 >= 3.0
            rate = limit.rate_per_s / 1.6 * (1.85 if in_pulse else 0.38)
            now += rng.expovariate(rate)
            asked += 1
            refused += not owner.ledger.lend(want, limit, now).granted
        self.assertGreater(asked, 1_000)
        # Of what is within the limit, less than 2% may be refused.
        self.assertLess(refused, 0.02 * asked)


class RestartedTest(unittest.TestCase):
    """Nobody lends for a while after all instances have started."""

    def setUp(self) -> None:
        self.owner = Instance(OWNER)
        self.want = Want(CUSTOMER, HOLDER, 2)

    def see(self, live: tuple[str, ...], now: float, lead_s: float) -> None:
        names = frozenset(NAMES)
        self.owner.fleet.see(live, (), live, names, now, lead_s)

    def lend(self, now: float) -> Lent:
        return self.owner.ledger.lend(self.want, LIMIT, now)

    def test_all_started_together(self) -> None:
        self.see((OWNER,), 10.0, 0.0)
        self.assertIs(Role.DEPUTY, self.lend(10.05).role)
        self.see(NAMES, 10.1, 0.3)
        lent = self.lend(10.2)
        self.assertEqual((Role.OWNER, 2), (lent.role, lent.granted))

    def test_others_have_run_before(self) -> None:
        """One of them may still lend."""
        self.see((OWNER,), 10.0, 0.0)
        self.see(NAMES, 10.1, 30.0)
        self.assertIs(Role.DEPUTY, self.lend(10.7).role)
        self.assertIs(Role.OWNER, self.lend(10.8).role)

    def test_few_are_known(self) -> None:
        self.see((OWNER, DEPUTY), 10.0, 0.0)
        self.see((OWNER, DEPUTY), 10.1, 0.0)
        self.assertIs(Role.DEPUTY, self.lend(10.7).role)


class NewcomerTest(unittest.TestCase):
    """Nobody lends between an owner and the newcomer that takes over."""

    def test_owner_goes_on_until_the_newcomer_lends(self) -> None:
        rest = tuple(name for name in NAMES if name != OWNER)
        old = Instance(DEPUTY)
        names = frozenset(NAMES)
        old.fleet.see(rest, (), rest, names, 0.0, 10.0)
        old.fleet.see(rest, (), rest, names, 1.0, 10.0)
        old.fleet.see(NAMES, (), NAMES, names, 50.0, 10.0)
        want = Want(CUSTOMER, HOLDER, 1)
        for after_s, role in (
            (0.1, Role.OWNER),
            (0.24, Role.OWNER),
            (0.26, Role.DEPUTY),
        ):
            with self.subTest(after_s):
                lent = old.ledger.lend(want, LIMIT, 50.0 + after_s)
                self.assertIs(role, lent.role)


class LostOwnerTest(unittest.TestCase):
    """A new owner lends what the lost one has lent.

    Without one of eight members, an owner lends 0.9875 of the limit, and a
    deputy 7/8 of its allowance. The margin of this limit is 21 requests: a
    bucket holds 15, a new one starts with 3, a deputy lends 4.
    """

    def setUp(self) -> None:
        self.second = Instance(DEPUTY)
        self.second.see(NAMES, 0.0)
        self.now = 0.0
        self.want = Want(CUSTOMER, HOLDER, 20)

    def test_deputy_then_owner_with_next_to_nothing(self) -> None:
        ledger = self.second.ledger
        self.assertEqual(
            Lent(Role.DEPUTY, 4, 0.75), ledger.lend(self.want, LIMIT, 50.0)
        )
        self.second.see(set(NAMES) - {OWNER}, 60.0)
        lent = ledger.lend(self.want, LIMIT, 60.5)
        self.assertEqual((Role.DEPUTY, 3), (lent.role, lent.granted))
        lent = ledger.lend(self.want, LIMIT, 60.8)
        self.assertEqual((Role.OWNER, 3), (lent.role, lent.granted))
        self.assertEqual(2, ledger.lend(self.want, LIMIT, 61.8).granted)

    def test_owner_that_comes_back_and_is_lost_again(self) -> None:
        rest = set(NAMES) - {OWNER}
        self.second.see(NAMES, 1.0)
        self.second.see(rest, 60.0)
        self.assertEqual(15, self.lend(90.0))
        self.second.see(NAMES, 90.0)
        self.assertEqual((), self.second.ledger.tick(90.1))
        lost = self.second.ledger.tick(90.3)
        self.assertEqual((LostOwnership(CUSTOMER, 15),), lost)
        self.second.see(rest, 100.0)
        self.assertEqual(3, self.lend(100.8))
        self.assertEqual(15, self.lend(110.0))

    def test_second_start_within_a_window_has_nothing(self) -> None:
        rest = set(NAMES) - {OWNER}
        self.second.see(rest, 60.0)
        self.assertEqual(3, self.lend(60.8))
        self.second.see(NAMES, 61.0)
        self.second.ledger.tick(61.3)
        self.second.see(rest, 62.0)
        self.assertEqual(0, self.lend(62.8))

    def lend(self, now: float) -> int:
        """Ask for tokens, after the event loop has run all the time."""
        while self.now < now:
            self.now = min(now, self.now + 0.5)
            self.second.ledger.tick(self.now)
        return self.second.ledger.lend(self.want, LIMIT, now).granted

    def test_third_in_the_ranking_lends_nothing(self) -> None:
        third = Instance(THIRD)
        third.see(NAMES, 0.0)
        found = third.ledger.lend(self.want, LIMIT, 50.0)
        self.assertEqual(Lent(Role.NONE), found)


class UnreadListTest(unittest.TestCase):
    """An instance that knows nobody yet takes itself for the owner."""

    def test_neither_owner_nor_deputy_before_the_list_was_read(self) -> None:
        new = Instance(OWNER)
        new.see((OWNER,), 0.0, listed=None)
        want = Want(CUSTOMER, HOLDER, 1)
        self.assertEqual(Lent(Role.NONE), new.ledger.lend(want, LIMIT, 50.0))
        self.assertNotEqual(OWNER, new.fleet.ranking(CUSTOMER).owner)

    def test_nor_while_it_leaves(self) -> None:
        leaving = Instance(OWNER)
        leaving.see(NAMES, 0.0)
        leaving.see(set(NAMES) - {OWNER}, 50.0, leaving=(OWNER,))
        want = Want(CUSTOMER, HOLDER, 1)
        found = leaving.ledger.lend(want, LIMIT, 51.0)
        self.assertEqual(Lent(Role.NONE), found)
        self.assertEqual(DEPUTY, leaving.fleet.ranking(CUSTOMER).owner)


class CutOffTest(unittest.TestCase):
    """Both sides of a cut lend the whole limit."""

    def test_minority_lends_a_share(self) -> None:
        limit = Limit(40.0, 80.0)
        cut = Instance(OWNER)
        cut.see(NAMES, 0.0)
        cut.see((OWNER, DEPUTY), 50.0)
        lent = cut.ledger.lend(Want(CUSTOMER, HOLDER, 99), limit, 50.1)
        self.assertEqual(11, lent.granted)

    def test_share_rises_only_after_the_other_side_may_know(self) -> None:
        limit = Limit(40.0, 80.0)
        cut = Instance(OWNER)
        cut.see(NAMES, 0.0)
        cut.see((OWNER, DEPUTY), 50.0)
        cut.see(NAMES, 70.0)
        want = Want(CUSTOMER, HOLDER, 99)
        self.assertEqual(11, cut.ledger.lend(want, limit, 70.5).granted)
        cut.see(NAMES, 71.0)
        cut.see(NAMES, 71.5)
        self.assertLess(cut.ledger.lend(want, limit, 71.6).granted, 30)

    def test_lost_members_that_are_not_listed_are_forgotten(self) -> None:
        alone = Instance(OWNER)
        alone.see(NAMES, 0.0, listed=())
        alone.see((OWNER,), 1.0, listed=())
        self.assertEqual(1 / 8, alone.fleet.share)
        alone.see((OWNER,), 62.0, listed=())
        alone.see((OWNER,), 63.0, listed=())
        self.assertEqual(1.0, alone.fleet.share)


if __name__ == "__main__":
    unittest.main()
