"""Tests of versions that come from peers."""

from __future__ import annotations

import threading
import unittest

from mulberrypass.relay.catch_up import CatchUp

WAIT_S = 30.0


class CatchUpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.version = 3
        self.fetched: list[int] = []
        self.in_time = threading.Event()
        self.succeeds = True
        self.catch_up = CatchUp(
            lambda: self.version, self.fetch, self.wait_for_store
        )

    def fetch(self, member: str, version: int) -> bool:
        """Take a version, if peers answer."""
        self.assertEqual(f"m{version}", member)
        self.fetched.append(version)
        if self.succeeds:
            self.version = version
        return self.succeeds

    def wait_for_store(self, _seconds: float) -> None:
        """Wait until the test goes on."""
        self.in_time.wait(WAIT_S)

    def all_ended(self) -> None:
        """Wait until no thread fetches."""
        for thread in threading.enumerate():
            if thread.name == "catch-up":
                thread.join(WAIT_S)

    def test_each_heartbeat_tells_of_it_and_one_fetch_is_made(self) -> None:
        for _ in range(50):
            self.catch_up.note_version("m7", 7)
        running = [t for t in threading.enumerate() if t.name == "catch-up"]
        self.assertEqual(1, len(running))
        self.in_time.set()
        self.all_ended()
        self.assertEqual([7], self.fetched)

    def test_nothing_is_fetched_where_the_store_is_in_time(self) -> None:
        self.catch_up.note_version("m7", 7)
        self.version = 7
        self.in_time.set()
        self.all_ended()
        self.catch_up.note_version("m7", 7)
        self.all_ended()
        self.assertEqual([], self.fetched)

    def test_the_newest_that_was_heard_of_is_fetched(self) -> None:
        self.catch_up.note_version("m7", 7)
        self.catch_up.note_version("m9", 9)
        self.catch_up.note_version("m8", 8)
        self.in_time.set()
        self.all_ended()
        self.assertEqual([9], self.fetched)

    def test_a_fetch_that_failed_is_made_again(self) -> None:
        self.in_time.set()
        self.succeeds = False
        self.catch_up.note_version("m7", 7)
        self.all_ended()
        self.succeeds = True
        self.catch_up.note_version("m7", 7)
        self.all_ended()
        self.assertEqual([7, 7], self.fetched)
        self.assertEqual(7, self.version)

    def test_nothing_is_fetched_after_the_stop(self) -> None:
        self.catch_up.note_version("m7", 7)
        self.catch_up.stop()
        self.in_time.set()
        self.all_ended()
        self.assertEqual([], self.fetched)
