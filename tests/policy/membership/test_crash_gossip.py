"""Tests of how soon members are told of a crash."""

from __future__ import annotations

import unittest

from mulberrypass.policy.health.crashes import Crash
from mulberrypass.policy.membership.crashes import CrashGossip

# Engines of a lost zone, and members, of a large site.
LOST, MEMBERS = 200, 20
# Sent within a second.
MAX_MESSAGES = 3


def crash(name: str, at_ms: int) -> Crash:
    """Return the crash of an engine with one suspect."""
    return Crash(name, "rackmind", at_ms, frozenset({1}))


class CrashGossipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gossip = CrashGossip()
        for number in range(LOST):
            self.gossip.report(crash(f"i-{number}", 10), 0.0)

    def send(self, count: int) -> list[str]:
        """Return the engines that so many messages tell of."""
        return [
            told.engine
            for _ in range(count)
            for told in self.gossip.next_updates(MEMBERS)
        ]

    def test_news_of_a_crash_waits_behind_those_of_a_lost_zone(self) -> None:
        """A request crashed more engines while the store was silent."""
        self.send(1)
        self.gossip.report(crash("new", 1_000), 1.0)
        self.assertIn("new", self.send(MAX_MESSAGES))

    def test_changed_crash_is_news_again(self) -> None:
        self.gossip.report(crash("i-150", 5), 1.0)
        self.assertIn("i-150", self.send(MAX_MESSAGES))

    def test_all_crashes_are_told_in_the_end(self) -> None:
        told = self.send(LOST)
        self.assertEqual({f"i-{n}" for n in range(LOST)}, set(told))


if __name__ == "__main__":
    unittest.main()
