"""Tests of token buckets."""

from __future__ import annotations

import unittest

from mulberrypass.policy.admission.rate_limits import TokenBucket


class TokenBucketTest(unittest.TestCase):
    def test_rate_and_burst(self) -> None:
        bucket = TokenBucket.full(rate=2.0, burst=3.0, now=0.0)
        taken = [bucket.take(0.0) for _ in range(4)]
        self.assertEqual([True, True, True, False], taken)
        self.assertEqual(0.5, bucket.wait_s(0.0))
        self.assertTrue(bucket.take(0.5))
        self.assertFalse(bucket.take(0.9))
        self.assertTrue(bucket.take(1.0))

    def test_level_is_bounded(self) -> None:
        bucket = TokenBucket.full(rate=2.0, burst=3.0, now=0.0)
        self.assertEqual(3, sum(bucket.take(1_000.0) for _ in range(9)))

    def test_clock_going_back_adds_nothing(self) -> None:
        bucket = TokenBucket.full(rate=1.0, burst=1.0, now=10.0)
        self.assertTrue(bucket.take(10.0))
        self.assertFalse(bucket.take(5.0))
        self.assertFalse(bucket.take(10.5))

    def test_resize_adds_nothing(self) -> None:
        bucket = TokenBucket.full(rate=1.0, burst=4.0, now=0.0)
        bucket.resize(rate=1.0, burst=2.0, now=0.0)
        bucket.resize(rate=1.0, burst=9.0, now=0.0)
        self.assertEqual(2, sum(bucket.take(0.0) for _ in range(9)))

    def test_zero_rate_adds_nothing(self) -> None:
        bucket = TokenBucket.full(rate=0.0, burst=1.0, now=0.0)
        bucket.take(0.0)
        self.assertEqual(float("inf"), bucket.wait_s(9.0))
