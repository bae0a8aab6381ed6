"""Tests of the threads that answer requests."""

from __future__ import annotations

import threading
import unittest

from mulberrypass.runtime.dispatcher import PooledDispatcher

TIMEOUT_S = 10.0
THREADS = 3


class _Task:
    """A request that is answered when it is told to."""

    def __init__(self, fails: bool = False) -> None:
        self.began = threading.Event()
        self.go_on = threading.Event()
        self.ended = threading.Event()
        self._fails = fails

    def service(self) -> None:
        self.began.set()
        self.go_on.wait(TIMEOUT_S)
        self.ended.set()
        if self._fails:
            raise ValueError("a fault")


class PooledDispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = PooledDispatcher(self.id(), THREADS)
        self.addCleanup(self.dispatcher.shutdown)

    def threads(self) -> int:
        names = [thread.name for thread in threading.enumerate()]
        return sum(name.startswith(self.id()) for name in names)

    def begin(self, fails: bool = False) -> _Task:
        task = _Task(fails)
        self.addCleanup(task.go_on.set)
        self.dispatcher.add_task(task)
        return task

    def test_threads_are_started_by_need_up_to_the_limit(self) -> None:
        self.assertEqual(0, self.threads())
        for count in range(1, THREADS + 1):
            self.assertTrue(self.begin().began.wait(TIMEOUT_S))
            self.assertEqual(count, self.threads())
        waiting = self.begin()
        self.assertEqual(THREADS, self.threads())
        self.assertFalse(waiting.began.is_set())

    def test_one_that_waits_is_answered_when_a_thread_is_free(self) -> None:
        tasks = [self.begin() for _ in range(THREADS)]
        waiting = self.begin()
        tasks[0].go_on.set()
        self.assertTrue(waiting.began.wait(TIMEOUT_S))

    def test_a_fault_ends_no_thread(self) -> None:
        for _ in range(THREADS + 1):
            task = self.begin(fails=True)
            task.go_on.set()
            self.assertTrue(task.ended.wait(TIMEOUT_S))
        self.assertTrue(self.begin().began.wait(TIMEOUT_S))
