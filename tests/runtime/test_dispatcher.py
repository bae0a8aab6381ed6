"""Tests of the pooled task dispatcher."""

from __future__ import annotations

import threading
import unittest

from mulberrypass.runtime.dispatcher import PooledDispatcher

TIMEOUT_S = 10.0
THREADS = 3


class BlockingTask:
    """A request that ends when it is released."""

    def __init__(self, fails: bool = False) -> None:
        self.started = threading.Event()
        self.release = threading.Event()
        self.ended = threading.Event()
        self._fails = fails

    def service(self) -> None:
        self.started.set()
        self.release.wait(TIMEOUT_S)
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

    def submit(self, fails: bool = False) -> BlockingTask:
        task = BlockingTask(fails)
        self.addCleanup(task.release.set)
        self.dispatcher.add_task(task)
        return task

    def test_threads_start_on_demand_up_to_the_limit(self) -> None:
        self.assertEqual(0, self.threads())
        for count in range(1, THREADS + 1):
            self.assertTrue(self.submit().started.wait(TIMEOUT_S))
            self.assertEqual(count, self.threads())
        waiting = self.submit()
        self.assertEqual(THREADS, self.threads())
        self.assertFalse(waiting.started.is_set())

    def test_waiting_request_gets_the_next_free_thread(self) -> None:
        tasks = [self.submit() for _ in range(THREADS)]
        waiting = self.submit()
        tasks[0].release.set()
        self.assertTrue(waiting.started.wait(TIMEOUT_S))

    def test_threads_survive_exceptions(self) -> None:
        for _ in range(THREADS + 1):
            task = self.submit(fails=True)
            task.release.set()
            self.assertTrue(task.ended.wait(TIMEOUT_S))
        self.assertTrue(self.submit().started.wait(TIMEOUT_S))
