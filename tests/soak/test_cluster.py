"""Tests of the addresses of a soak test."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import contextlib
import unittest

from mulberrypass.soak.cluster import SUBNETS, reserve_subnet

AT_ONCE = 8


class SubnetTest(unittest.TestCase):
    def test_runs_that_start_at_once_take_different_subnets(self) -> None:
        with ThreadPoolExecutor(AT_ONCE) as pool:
            found = list(pool.map(lambda _: reserve_subnet(), range(AT_ONCE)))
        for _, reservation in found:
            self.addCleanup(reservation.close)
        self.assertEqual(AT_ONCE, len({subnet for subnet, _ in found}))

    def test_subnet_is_free_again_after_its_run(self) -> None:
        with contextlib.ExitStack() as held:
            with contextlib.suppress(OSError):
                while True:
                    held.enter_context(reserve_subnet()[1])
            with self.assertRaises(OSError):
                reserve_subnet()
        subnet, reservation = reserve_subnet()
        reservation.close()
        self.assertIn(subnet, SUBNETS)
