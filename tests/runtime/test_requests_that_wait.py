"""Tests of when requests count as waiting for a thread."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import unittest
from unittest.mock import patch

from mulberrypass.runtime.dispatcher import PooledDispatcher
from tests.runtime.test_dispatcher import (
    THREADS,
    TIMEOUT_S,
    BlockingTask,
)


class RequestsThatWaitTest(unittest.TestCase):
    """A request counted as waiting though threads were idle."""

    def setUp(self) -> None:
        self.dispatcher = PooledDispatcher(self.id(), THREADS)
        self.addCleanup(self.dispatcher.shutdown)

    def submit(self) -> BlockingTask:
        """Hand in a request that goes on until it is released."""
        task = BlockingTask()
        self.addCleanup(task.release.set)
        self.dispatcher.add_task(task)
        return task

    def test_none_waits_while_threads_are_idle(self) -> None:
        seen: list[int] = []
        submit = ThreadPoolExecutor.submit

        def look(*args: object) -> object:
            """Look before the idle thread that takes the request runs."""
            seen.append(self.dispatcher.waiting)
            return submit(*args)  # type: ignore[arg-type]

        with patch.object(ThreadPoolExecutor, "submit", look):
            tasks = [self.submit() for _ in range(THREADS)]
        self.assertEqual([0] * THREADS, seen)
        for task in tasks:
            self.assertTrue(task.started.wait(TIMEOUT_S))

    def test_those_beyond_the_threads_wait(self) -> None:
        tasks = [self.submit() for _ in range(THREADS + 2)]
        self.assertTrue(tasks[0].started.wait(TIMEOUT_S))
        self.assertEqual(2, self.dispatcher.waiting)
        tasks[0].release.set()
        self.assertTrue(tasks[THREADS].started.wait(TIMEOUT_S))
        self.assertEqual(1, self.dispatcher.waiting)

    def test_request_that_comes_after_the_end_does_not_wait(self) -> None:
        self.dispatcher.shutdown()
        for _ in range(THREADS + 1):
            self.submit()
        self.assertEqual(0, self.dispatcher.waiting)


if __name__ == "__main__":
    unittest.main()
