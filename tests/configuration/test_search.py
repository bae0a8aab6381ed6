"""A seeded search for configurations that get lost, diverge or go back.

MULBERRY_SEEDS sets how many seeds are run, MULBERRY_FIRST_SEED the first.
"""

from __future__ import annotations

import os
import unittest

from mulberrypass.configuration.store import Accepted, StaleBase, StoreDown
from tests.configuration.world import World

SEEDS = int(os.environ.get("MULBERRY_SEEDS", "500"))
FIRST_SEED = int(os.environ.get("MULBERRY_FIRST_SEED", "0"))
ACTIONS = 50


def publishing_faults(world: World) -> list[str]:
    """Return where the published rows contradict the answers given."""
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
        if isinstance(answer.result, Accepted) and not answer.result.unchanged
    }
    for answer in world.answers:
        sub, found = answer.sub, published.get(answer.sub.submit_id)
        match answer.result:
            case Accepted(unchanged=False, snapshot=snapshot):
                if found is None or found.digest != snapshot.digest:
                    faults.append(f"{sub.submit_id} was accepted and is lost")
                elif found.generation != snapshot.generation:
                    faults.append(f"{sub.submit_id} is {found.generation}")
            case StaleBase():
                if found is not None and sub.submit_id not in accepted:
                    faults.append(f"{sub.submit_id} was refused and published")
    return faults


def published_refusals(world: World) -> list[str]:
    """Return the submissions that are published despite a final refusal."""
    published = {entry.submit_id for entry in world.history()}
    maybe_accepted = {
        answer.sub.submit_id
        for answer in world.answers
        if isinstance(answer.result, Accepted)
        or (
            isinstance(answer.result, StoreDown)
            and answer.result.maybe_accepted
        )
    }
    submitted = {answer.sub.submit_id for answer in world.answers}
    return sorted((submitted - maybe_accepted) & published)


class ConfigurationSearchTest(unittest.TestCase):
    """No seed loses a submission or lets members diverge or go back."""

    def run_seed(self, seed: int) -> int:
        """Run one seed, and return how many generations it published."""
        world = World(seed)
        for _ in range(ACTIONS):
            world.act()
        world.heal(store=False)
        held = max(world.generations())
        world.converge()
        found = world.generations()
        self.assertEqual(1, len(found), "store down")
        self.assertGreaterEqual(min(found), held, "store down")
        world.heal(store=True)
        world.converge()
        published = len(world.history())
        self.assertEqual({published}, world.generations(), "store up")
        ready = [follower.ready for follower in world.followers.values()]
        self.assertEqual([published > 0] * len(ready), ready)
        self.assertEqual([], world.violations)
        self.assertEqual([], publishing_faults(world))
        self.assertEqual([], published_refusals(world))
        return published

    def test_seeds(self) -> None:
        total = 0
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                total += self.run_seed(seed)
        self.assertGreater(total, 2 * SEEDS)


if __name__ == "__main__":
    unittest.main()
