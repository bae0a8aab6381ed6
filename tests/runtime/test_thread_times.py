"""Tests of the CPU times of threads."""

from __future__ import annotations

import threading
import unittest

from mulberrypass.runtime.thread_times import thread_times


class ThreadTimesTest(unittest.TestCase):
    def test_threads_of_a_pool_are_one_entry(self) -> None:
        release = threading.Event()
        self.addCleanup(release.set)
        for number in range(2):
            threading.Thread(
                target=release.wait, name=f"times-test_{number}", daemon=True
            ).start()
        times = thread_times()
        self.assertIn("times-test", times)
        self.assertGreaterEqual(times["all"], times["times-test"])
