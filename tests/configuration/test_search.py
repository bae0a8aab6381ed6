"""A seeded search for a configuration that is lost, split or taken back.

MULBERRY_SEEDS sets how many seeds are tried, MULBERRY_FIRST_SEED the first.
"""

from __future__ import annotations

import os
import unittest

from mulberrypass.configuration.store import Accepted, StaleBase, StoreDown
from tests.configuration.world import World

SEEDS = int(os.environ.get("MULBERRY_SEEDS", "500"))
FIRST_SEED = int(os.environ.get("MULBERRY_FIRST_SEED", "0"))
ACTIONS = 50


def faults_of_publishing(world: World) -> list[str]:
    """Say where the published rows contradict what operators were told."""
    history = world.history()
    faults = []
    for number, entry in enumerate(history, 1):
        if (entry.generation, entry.base) != (number, number - 1):
            faults.append(f"generation {number} is {entry}")
    published = {entry.submit_id: entry for entry in history}
    if len(published) != len(history):
        faults.append("a submission is published twice")
    accepted = {
        answer.sub.submit_id
        for answer in world.answers
        if isinstance(answer.told, Accepted) and not answer.told.unchanged
    }
    for answer in world.answers:
        sub, found = answer.sub, published.get(answer.sub.submit_id)
        match answer.told:
            case Accepted(unchanged=False, snapshot=snapshot):
                if found is None or found.digest != snapshot.digest:
                    faults.append(f"{sub.submit_id} was accepted and is lost")
                elif found.generation != snapshot.generation:
                    faults.append(f"{sub.submit_id} is {found.generation}")
            case StaleBase():
                if found is not None and sub.submit_id not in accepted:
                    faults.append(f"{sub.submit_id} was refused and stands")
    return faults


def sure_refusals(world: World) -> list[str]:
    """Say which submissions were surely not accepted, and yet stand."""
    published = {entry.submit_id for entry in world.history()}
    doubtful = {
        answer.sub.submit_id
        for answer in world.answers
        if isinstance(answer.told, Accepted)
        or (isinstance(answer.told, StoreDown) and answer.told.maybe_accepted)
    }
    told = {answer.sub.submit_id for answer in world.answers}
    return sorted((told - doubtful) & published)


class ConfigurationSearchTest(unittest.TestCase):
    """No seed loses an acceptance, splits the fleet or goes back."""

    def run_seed(self, seed: int) -> int:
        """Try one seed; how many generations it published."""
        world = World(seed)
        for _ in range(ACTIONS):
            world.act()
        world.heal(store=False)
        held = max(world.generations())
        world.settle()
        found = world.generations()
        self.assertEqual(1, len(found), "store down")
        self.assertGreaterEqual(min(found), held, "store down")
        world.heal(store=True)
        world.settle()
        published = len(world.history())
        self.assertEqual({published}, world.generations(), "store up")
        ready = [follower.ready for follower in world.followers.values()]
        self.assertEqual([published > 0] * len(ready), ready)
        self.assertEqual([], world.broken)
        self.assertEqual([], faults_of_publishing(world))
        self.assertEqual([], sure_refusals(world))
        return published

    def test_seeds(self) -> None:
        total = 0
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                total += self.run_seed(seed)
        self.assertGreater(total, 2 * SEEDS)


if __name__ == "__main__":
    unittest.main()
