"""Tests of placing work while no owner can be reached."""

from __future__ import annotations

from collections import Counter
import unittest

from mulberrypass.model.objects import Backend, BackendKind
from mulberrypass.policy.admission.without_owner import LocalShare
from mulberrypass.policy.messages import Ask, WorkClass

SLOTS = 7
QUEUE = 24
ENGINES = tuple(
    Backend(f"i-{number:02}", BackendKind.ENGINE, "z", "10.0.0.1:1", SLOTS)
    for number in range(16)
)


def ask(name: str, avoid: tuple[str, ...] = ()) -> Ask:
    return Ask(
        name,
        "holder",
        "pool",
        "customer",
        WorkClass.ONLINE,
        5.0,
        450,
        80,
        avoid=avoid,
    )


class OwnerLostByAllHoldersTest(unittest.TestCase):
    """A pulse in which hundreds of holders lose an owner at once."""

    def check_spread(self, holders: int, seed: int) -> None:
        chosen: Counter[str | None] = Counter()
        for number in range(holders):
            work = ask(f"{seed}-{number}")
            chosen[LocalShare().choose(work, ENGINES, holders)] += 1
        self.assertNotIn(None, chosen)
        # What an engine runs and queues; it refuses what comes beyond that.
        self.assertLessEqual(max(chosen.values()), SLOTS + QUEUE)

    def test_first_asks_of_all_holders_spread_over_the_engines(self) -> None:
        for seed in range(50):
            self.check_spread(200, seed)

    def test_holder_uses_each_engine_before_any_twice(self) -> None:
        share = LocalShare()
        for number in range(len(ENGINES)):
            backend = share.choose(ask(str(number)), ENGINES, 200)
            assert backend is not None
            self.assertNotIn(backend, share.running())
            share.acquire(backend)
        self.assertIsNone(share.choose(ask("one more"), ENGINES, 200))
        share.release("i-03")
        self.assertEqual("i-03", share.choose(ask("again"), ENGINES, 200))

    def test_few_members_have_larger_shares(self) -> None:
        share = LocalShare()
        for number in range(3 * len(ENGINES)):
            backend = share.choose(ask(str(number)), ENGINES, 2)
            assert backend is not None
            share.acquire(backend)
        self.assertEqual({3}, set(share.running().values()))
        self.assertIsNone(share.choose(ask("one more"), ENGINES, 2))

    def test_retry_avoids_the_engine_of_the_first_try(self) -> None:
        first = LocalShare().choose(ask("a"), ENGINES, 200)
        assert first is not None
        retry = ask("a", avoid=(first,))
        second = LocalShare().choose(retry, ENGINES, 200)
        self.assertIsNotNone(second)
        self.assertNotEqual(first, second)
