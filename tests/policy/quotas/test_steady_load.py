"""Tests of customers within their limit, spread over all instances."""

from __future__ import annotations

import random
import unittest

from mulberrypass.policy.quotas.borrowing import BorrowedTokens
from mulberrypass.policy.quotas.messages import (
    Limit,
    QuotaSettings,
    Want,
)
from tests.policy.quotas.cases import CUSTOMER, SETTINGS, Instance, ranked

REQUESTS = 4_000
TICK_S = 0.2


class RefusedBelowLimitTest(unittest.TestCase):
    """Customers are refused though one bucket of their limit has room."""

    def refused(
        self, instances: int, demand: float, limit: Limit
    ) -> tuple[int, int]:
        """Return the refusals, and those of a bucket without a network."""
        rng = random.Random(1)
        names = [f"entry@{number}" for number in range(instances)]
        # Without a margin, the bucket is that of the rate and the burst.
        exact = QuotaSettings(overage=0.0, slack=0.0)
        owner = Instance(ranked(names)[0], exact)
        owner.see(names, 0.0, names)
        held = {name: BorrowedTokens(SETTINGS) for name in names}
        now = ticked_at = 100.0
        level = limit.burst
        refused = expected = 0
        for _request in range(REQUESTS):
            passed_s = rng.expovariate(demand)
            now += passed_s
            while ticked_at < now:
                owner.ledger.tick(ticked_at)
                ticked_at += TICK_S
            level = min(limit.burst, level + passed_s * limit.rate_per_s)
            expected += level < 1
            level -= level >= 1
            holder = rng.choice(names)
            if held[holder].use(CUSTOMER, now):
                continue
            ahead = held[holder].ahead(CUSTOMER, 1, now)
            want = Want(CUSTOMER, holder, 1, ahead)
            granted = owner.ledger.lend(want, limit, now).granted
            refused += not granted
            held[holder].add(CUSTOMER, max(0, granted - 1), now)
        return refused, expected

    def test_spread_requests_are_refused_as_by_one_bucket(self) -> None:
        for demand, limit in (
            (1.4, Limit(2, 4)),
            (1.4, Limit(2, 10)),
            (40.0, Limit(50, 50)),
        ):
            with self.subTest(demand=demand, limit=limit):
                refused, expected = self.refused(64, demand, limit)
                self.assertLessEqual(abs(refused - expected), 1)

    def test_borrowing_ahead_costs_little_near_the_limit(self) -> None:
        refused, expected = self.refused(4, 45.0, Limit(50, 50))
        self.assertLess(refused - expected, REQUESTS * 0.005)


if __name__ == "__main__":
    unittest.main()
