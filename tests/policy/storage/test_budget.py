"""Tests of the platform's rate limits and of retry backoff."""

from __future__ import annotations

import unittest

from mulberrypass.policy.storage.budget import (
    PROGRAM_WEIGHTS,
    Backoff,
    FleetBudget,
    TokenBucket,
)


class FleetBudgetTest(unittest.TestCase):
    def test_shares_of_all_processes_stay_within_the_fleets_rates(
        self,
    ) -> None:
        budget = FleetBudget(300.0, 1_500.0)
        for live in (1, 3, 10, 400):
            with self.subTest(live=live):
                shares = [
                    budget.share(program, live)
                    for program in PROGRAM_WEIGHTS
                    for _ in range(live)
                ]
                writes = sum(share.writes_per_s for share in shares)
                reads = sum(share.reads_per_s for share in shares)
                self.assertAlmostEqual(300.0, writes)
                self.assertAlmostEqual(1_500.0, reads)

    def test_no_live_process_counts_as_one(self) -> None:
        budget = FleetBudget()
        self.assertEqual(budget.share("entry", 1), budget.share("entry", 0))


class TokenBucketTest(unittest.TestCase):
    def granted(self, bucket: TokenBucket, until: float, step: float) -> int:
        now, count = 0.0, 0
        while now < until:
            count += bucket.take(now, 0.0) is not None
            now += step
        return count

    def test_rate_is_limited_under_any_demand(self) -> None:
        for per_s, until, most in (
            (10.0, 10.0, 110),
            (0.5, 20.0, 11),
            (100.0, 1.0, 200),
        ):
            with self.subTest(per_s=per_s):
                bucket = TokenBucket(0.0, per_s)
                count = self.granted(bucket, until, 0.003)
                self.assertLessEqual(count, most)
                self.assertGreaterEqual(count, most * 0.9)

    def test_waits_are_in_order_and_bounded(self) -> None:
        bucket = TokenBucket(0.0, 2.0, burst_s=0.5)
        waits = [bucket.take(0.0, 1.0) for _ in range(5)]
        self.assertEqual([0.0, 0.5, 1.0, None, None], waits)
        self.assertEqual(1.5, bucket.next_wait_s(0.0))
        self.assertEqual(1.0, bucket.take(0.5, 1.0))

    def test_a_changed_rate_applies_at_once(self) -> None:
        bucket = TokenBucket(0.0, 100.0)
        bucket.set_rate(0.0, 1.0)
        self.assertEqual(1.0, bucket.per_s)
        self.assertEqual(0.0, bucket.take(0.0, 0.0))
        self.assertIsNone(bucket.take(0.5, 0.0))
        self.assertEqual(0.0, bucket.take(1.0, 0.0))

    def test_a_clock_that_stops_or_goes_back_adds_no_tokens(self) -> None:
        bucket = TokenBucket(10.0, 1.0)
        self.assertEqual(0.0, bucket.take(10.0, 0.0))
        self.assertIsNone(bucket.take(5.0, 0.0))
        self.assertIsNone(bucket.take(10.5, 0.0))


class BackoffTest(unittest.TestCase):
    def test_waits_double_up_to_the_cap(self) -> None:
        backoff = Backoff(floor_s=0.0, base_s=0.1, cap_s=1.0)
        for failures, jitter, expected in (
            (1, 1.0, 0.1),
            (2, 1.0, 0.2),
            (4, 1.0, 0.8),
            (5, 1.0, 1.0),
            (10_000, 1.0, 1.0),
            (5, 0.25, 0.25),
            (5, 0.0, 0.0),
        ):
            with self.subTest(failures=failures, jitter=jitter):
                wait_s = backoff.wait_s(failures, jitter)
                self.assertAlmostEqual(expected, wait_s)


if __name__ == "__main__":
    unittest.main()
