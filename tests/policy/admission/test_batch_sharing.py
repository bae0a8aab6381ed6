"""Tests of batch work of several customers, by replays on cells."""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.policy.admission.loads import (
    Load,
    Replay,
    Request,
    percentile,
    share_in_time,
)

ONE, OTHER = "customer-01", "customer-02"
BASE = Load(seconds=20.8)


def _items(replay: Replay, customer: str) -> list[Request]:
    return [r for r in replay.requests if r.batch and r.customer == customer]


class CrowdedOutTest(unittest.TestCase):
    """A customer's few items wait behind a thousand of another's."""

    def test_few_items_come_as_soon_as_alone(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                alone = Replay(replace(BASE, batch={OTHER: 60}), seed).run()
                both = {ONE: 1_500, OTHER: 60}
                beside = Replay(replace(BASE, batch=both), seed).run()
                self.assertEqual([], self.unfinished(beside))
                last_alone = self.last_s(alone)
                # Half of the slots are the other customer's.
                self.assertLessEqual(self.last_s(beside), 2 * last_alone + 1.5)

    def unfinished(self, replay: Replay) -> list[Request]:
        return [r for r in _items(replay, OTHER) if r.started_s > 18.0]

    def last_s(self, replay: Replay) -> float:
        return max(r.started_s for r in _items(replay, OTHER))


class OnlineBesideBatchTest(unittest.TestCase):
    """Items of several customers delay online work."""

    def test_online_work_waits_for_a_revocation_at_most(self) -> None:
        items = {ONE: 1_500, OTHER: 60, "customer-03": 300}
        for seed in (1, 2):
            with self.subTest(seed=seed):
                alone = Replay(BASE, seed).run().online()
                replay = Replay(replace(BASE, batch=items), seed).run()
                online = replay.online()
                waits = [r.granted_at - r.asked_at for r in online]
                self.assertLessEqual(percentile(waits, 0.99), 0.01)
                lowest = share_in_time(alone) - 0.001
                self.assertGreaterEqual(share_in_time(online), lowest)
