"""Tests of the share of a limit that an instance may lend."""

from __future__ import annotations

import itertools
import unittest

from mulberrypass.policy.quotas.messages import Limit, QuotaSettings
from mulberrypass.policy.quotas.shares import (
    bucket_size,
    deputy_tokens,
    owner_factor,
    start_tokens,
)

SETTINGS = QuotaSettings()
LIMITS = tuple(
    Limit(rate, burst)
    for rate in (0.5, 3, 40, 400)
    for burst in (0, 3, 20, 800)
)


def sides(members: int) -> itertools.chain[tuple[int, ...]]:
    """Return ways in which members may be cut into sides."""
    return itertools.chain(
        ((size, members - size) for size in range(1, members)),
        (
            (first, second, members - first - second)
            for first in range(1, members // 2)
            for second in range(1, (members - first))
            if members - first - second > 0
        ),
        ((2,) * (members // 2), (1,) * members),
        ((members - lost, *(1,) * lost) for lost in range(1, members)),
    )


class LimitExceededBySidesTest(unittest.TestCase):
    """Sides that are cut off from each other lend more than the bound."""

    def test_owners_and_deputies_of_all_sides_stay_within_the_bound(
        self,
    ) -> None:
        members = 16
        for cut, limit in itertools.product(sides(members), LIMITS):
            lent = 0.0
            for size in cut:
                share = size / members
                bucket = bucket_size(limit, share, SETTINGS)
                lent += bucket.capacity
                lent += bucket.rate_per_s * SETTINGS.window_s
                # Two deputies may lend in one window, when it changes.
                lent += 2 * deputy_tokens(limit, share, 60, SETTINGS)
                # So may two new owners.
                lent += 2 * start_tokens(limit, share, SETTINGS)
            of_window = limit.of_window(SETTINGS.window_s)
            bound = of_window * (1 + SETTINGS.overage) + SETTINGS.slack
            with self.subTest(cut=cut, limit=limit):
                self.assertLessEqual(lent, bound)


class LimitNotReachedTest(unittest.TestCase):
    """Customers are refused though they are within their limit."""

    def test_full_rate_while_a_tenth_is_lost(self) -> None:
        for share in (0.9, 0.95, 1.0):
            self.assertEqual(1.0, owner_factor(share, 0.1))

    def test_share_that_is_lent(self) -> None:
        cases = ((0.75, 0.925), (0.6, 0.85), (0.5, 0.25), (0.2, 0.1))
        for share, factor in cases:
            with self.subTest(share=share):
                self.assertAlmostEqual(factor, owner_factor(share, 0.1))

    def test_a_bucket_without_burst_holds_one_token(self) -> None:
        exact = QuotaSettings(overage=0.0, slack=0.0)
        size = bucket_size(Limit(1.4, 0), 1.0, exact)
        self.assertEqual((1.4, 1.0), (size.rate_per_s, size.capacity))

    def test_a_cut_instance_may_lend_a_large_limit(self) -> None:
        size = bucket_size(Limit(400, 1), 1 / 64, SETTINGS)
        self.assertEqual(1.0, size.capacity)
        self.assertGreater(size.rate_per_s, 2)

    def test_a_deputy_covers_a_small_customer(self) -> None:
        """Until members notice the loss and the next owner lends."""
        tokens = deputy_tokens(Limit(1.4, 3), 1.0, 60, SETTINGS)
        self.assertGreaterEqual(tokens, 1.4 * 2.2)


class ManyDeputiesTest(unittest.TestCase):
    """Deputies that follow each other lend a whole allowance each."""

    def test_a_new_deputy_starts_with_nothing(self) -> None:
        found = [
            deputy_tokens(Limit(1.4, 3), 1.0, since_s, SETTINGS)
            for since_s in (0, 1, 2.5, 5)
        ]
        self.assertEqual([0, 0, 2, 4], found)


if __name__ == "__main__":
    unittest.main()
