"""Tests of fetching routes from peers."""

from __future__ import annotations

import threading
import unittest

from mulberrypass.relay.catch_up import CatchUp

WAIT_S = 30.0


class CatchUpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.version = 3
        self.fetched: list[int] = []
        self.resume_fetch = threading.Event()
        self.succeeds = True
        self.catch_up = CatchUp(
            lambda: self.version, self.fetch, self.wait_for_store
        )

    def fetch(self, member: str, version: int) -> bool:
        """Put the version in force if ``succeeds`` is set."""
        self.assertEqual(f"m{version}", member)
        self.fetched.append(version)
        if self.succeeds:
            self.version = version
        return self.succeeds

    def wait_for_store(self, _seconds: float) -> None:
        """Wait until the test sets ``resume_fetch``."""
        self.resume_fetch.wait(WAIT_S)

    def join_fetches(self) -> None:
        """Join all fetching threads."""
        for thread in threading.enumerate():
            if thread.name == "catch-up":
                thread.join(WAIT_S)

    def test_repeated_heartbeats_start_one_fetch(self) -> None:
        for _ in range(50):
            self.catch_up.note_version("m7", 7)
        running = [t for t in threading.enumerate() if t.name == "catch-up"]
        self.assertEqual(1, len(running))
        self.resume_fetch.set()
        self.join_fetches()
        self.assertEqual([7], self.fetched)

    def test_no_fetch_if_the_store_is_in_time(self) -> None:
        self.catch_up.note_version("m7", 7)
        self.version = 7
        self.resume_fetch.set()
        self.join_fetches()
        self.catch_up.note_version("m7", 7)
        self.join_fetches()
        self.assertEqual([], self.fetched)

    def test_newest_announced_version_is_fetched(self) -> None:
        self.catch_up.note_version("m7", 7)
        self.catch_up.note_version("m9", 9)
        self.catch_up.note_version("m8", 8)
        self.resume_fetch.set()
        self.join_fetches()
        self.assertEqual([9], self.fetched)

    def test_failed_fetch_is_retried(self) -> None:
        self.resume_fetch.set()
        self.succeeds = False
        self.catch_up.note_version("m7", 7)
        self.join_fetches()
        self.succeeds = True
        self.catch_up.note_version("m7", 7)
        self.join_fetches()
        self.assertEqual([7, 7], self.fetched)
        self.assertEqual(7, self.version)

    def test_no_fetch_after_stop(self) -> None:
        self.catch_up.note_version("m7", 7)
        self.catch_up.stop()
        self.resume_fetch.set()
        self.join_fetches()
        self.assertEqual([], self.fetched)
