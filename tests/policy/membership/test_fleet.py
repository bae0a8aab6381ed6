"""Tests of a simulated fleet under loss, pauses, partitions, restarts."""

from __future__ import annotations

import random
import unittest

from mulberrypass.model.member import MemberState
from tests.policy.membership.fleet import Fleet, Node, states_in

ALIVE, SUSPECT, LEAVING, DEAD = MemberState
STEP_S = 0.5
FALSE_DEATH_BOUND_S = 12.0
SETTLE_S = 40.0


class FleetTest(unittest.TestCase):
    def fleet(self, size: int, seed: int, loss: float) -> Fleet:
        fleet = Fleet(size, seed, loss)
        fleet.run(15.0)
        return fleet

    def test_no_live_member_is_held_dead(self) -> None:
        for size, loss in ((2, 0.0), (10, 0.0), (10, 0.05), (40, 0.02)):
            with self.subTest(size=size, loss=loss):
                fleet = self.fleet(size, 1, loss)
                for _ in range(60):
                    fleet.run(STEP_S)
                    for node in fleet.nodes.values():
                        self.assertNotIn(DEAD, fleet.states_of(node.name))
                for node in fleet.nodes.values():
                    self.assertNotIn(None, fleet.states_of(node.name))

    def test_a_death_becomes_known_to_all(self) -> None:
        for size, loss in ((3, 0.0), (10, 0.05), (40, 0.02)):
            with self.subTest(size=size, loss=loss):
                fleet = self.fleet(size, 2, loss)
                killed = next(iter(fleet.nodes.values()))
                killed.up = False
                fleet.run(12.0)
                self.assertEqual({DEAD}, fleet.states_of(killed.name))

    def test_a_leaving_state_reaches_all_and_outlives_a_pause(self) -> None:
        fleet = self.fleet(12, 3, 0.05)
        leaver = next(iter(fleet.nodes.values()))
        leaver.view.leave()
        fleet.run(4.0)
        self.assertEqual({LEAVING}, fleet.states_of(leaver.name))
        leaver.paused = True
        fleet.run(12.0)
        self.assertEqual({DEAD}, fleet.states_of(leaver.name))
        fleet.resume(leaver)
        fleet.run(6.0)
        self.assertEqual({LEAVING}, fleet.states_of(leaver.name))

    def test_a_partition_heals(self) -> None:
        fleet = self.fleet(20, 4, 0.0)
        for number, node in enumerate(fleet.nodes.values()):
            node.partition = number % 2
        fleet.run(60.0)
        halves = fleet.states_of(next(iter(fleet.nodes.values())).name)
        self.assertEqual({ALIVE, DEAD}, halves)
        for node in fleet.nodes.values():
            node.partition = 0
        fleet.run(12.0)
        for node in fleet.nodes.values():
            self.assertEqual({ALIVE}, fleet.states_of(node.name))

    def test_halves_started_apart_find_each_other_through_the_list(
        self,
    ) -> None:
        fleet = Fleet(12, 5)
        for number, node in enumerate(fleet.nodes.values()):
            node.partition = number % 2
        fleet.run(20.0)
        for node in fleet.nodes.values():
            node.partition = 0
        fleet.run(15.0)
        for node in fleet.nodes.values():
            self.assertEqual({ALIVE}, fleet.states_of(node.name))

    def test_random_histories_keep_the_invariants(self) -> None:
        for seed in range(24):
            with self.subTest(seed=seed):
                RandomFaults(self, seed).run()


class RandomFaults:
    """A random sequence of faults, checked after each step."""

    def __init__(self, case: unittest.TestCase, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.size = self.rng.choice((4, 9, 14))
        self.fleet = Fleet(self.size, seed, self.rng.choice((0.0, 0.05)))
        self.stable_since: dict[str, float] = {}
        self.dead_since: dict[tuple[str, str], float] = {}
        self.observed_leaving: set[tuple[Node, Node]] = set()
        self.split_at = 0.0

    def run(self) -> None:
        """Run random events, end all faults and check the final states."""
        for _ in range(25):
            self.event()
            for _ in range(self.rng.randint(1, 10)):
                self.fleet.run(STEP_S)
                self.check()
        self.settle()
        for node in self.fleet.nodes.values():
            states = self.fleet.states_of(node.name)
            expected: set[MemberState | None] = {node.view.me.state}
            if not node.up:
                expected = {DEAD, None}
            self.case.assertLessEqual(states, expected, node.name)

    def event(self) -> None:
        """Apply a random event to one member or to all."""
        node = self.rng.choice(tuple(self.fleet.nodes.values()))
        number = int(node.name.removeprefix("entry@i"))
        match self.rng.randrange(7):
            case 0 if node.up:
                node.up = node.paused = False
            case 1 if not node.up:
                self.fleet.start(number)
            case 2 if node.runs:
                node.paused = True
            case 3 if node.paused:
                self.fleet.resume(node)
            case 4 if node.runs and self.rng.random() < 0.3:
                node.view.leave()
            case 5:
                self.split()
            case 6:
                self.fleet.publish_list()
        self.stable_since[node.name] = self.fleet.now

    def split(self) -> None:
        """Partition the members in two, or end the partition."""
        apart = self.rng.random() < 0.4
        for node in self.fleet.nodes.values():
            node.partition = self.rng.randrange(2) if apart else 0
        self.split_at = self.fleet.now

    def settle(self) -> None:
        """End all faults and let the views converge."""
        for node in self.fleet.nodes.values():
            node.partition = 0
            if node.paused:
                self.fleet.resume(node)
        self.fleet.publish_list()
        self.split_at = self.fleet.now
        for _ in range(int(SETTLE_S / STEP_S)):
            self.fleet.run(STEP_S)
            self.check()

    def check(self) -> None:
        """Check the state of each member in each other view."""
        for observer in self.fleet.running():
            states = states_in(observer.view)
            for observed in self.fleet.nodes.values():
                if observer is not observed:
                    state = states.get(observed.name)
                    self.check_death(observer, observed, state)
                    self.check_leaving(observer, observed, state)

    def check_death(
        self, observer: Node, observed: Node, state: MemberState | None
    ) -> None:
        """Check that a reachable member isn't held dead for long."""
        pair = (observer.name, observed.name)
        together = observed.runs and observed.partition == observer.partition
        if not together or state is not DEAD:
            self.dead_since.pop(pair, None)
            return
        since = max(
            self.dead_since.setdefault(pair, self.fleet.now),
            self.stable_since.get(observer.name, 0.0),
            self.stable_since.get(observed.name, 0.0),
            self.split_at,
        )
        age_s = self.fleet.now - since
        self.case.assertLessEqual(age_s, FALSE_DEATH_BOUND_S, pair)

    def check_leaving(
        self, observer: Node, observed: Node, state: MemberState | None
    ) -> None:
        """Check that a process seen as leaving isn't held alive again."""
        if state is LEAVING:
            self.observed_leaving.add((observer, observed))
        elif (observer, observed) in self.observed_leaving:
            self.case.assertNotEqual(ALIVE, state, observed.name)


if __name__ == "__main__":
    unittest.main()
