"""Invariants of many members under loss, pauses, partitions, restarts."""

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

    def test_quiet_members_believe_each_other_alive(self) -> None:
        for size, loss in ((2, 0.0), (10, 0.0), (10, 0.05), (40, 0.02)):
            with self.subTest(size=size, loss=loss):
                fleet = self.fleet(size, 1, loss)
                for _ in range(60):
                    fleet.run(STEP_S)
                    for node in fleet.nodes.values():
                        self.assertNotIn(DEAD, fleet.beliefs(node.name))
                for node in fleet.nodes.values():
                    self.assertNotIn(None, fleet.beliefs(node.name))

    def test_a_death_is_known_by_all(self) -> None:
        for size, loss in ((3, 0.0), (10, 0.05), (40, 0.02)):
            with self.subTest(size=size, loss=loss):
                fleet = self.fleet(size, 2, loss)
                killed = next(iter(fleet.nodes.values()))
                killed.up = False
                fleet.run(12.0)
                self.assertEqual({DEAD}, fleet.beliefs(killed.name))

    def test_a_leaving_mark_is_known_by_all_and_outlives_a_pause(
        self,
    ) -> None:
        fleet = self.fleet(12, 3, 0.05)
        leaver = next(iter(fleet.nodes.values()))
        leaver.view.leave()
        fleet.run(4.0)
        self.assertEqual({LEAVING}, fleet.beliefs(leaver.name))
        leaver.paused = True
        fleet.run(12.0)
        self.assertEqual({DEAD}, fleet.beliefs(leaver.name))
        fleet.resume(leaver)
        fleet.run(6.0)
        self.assertEqual({LEAVING}, fleet.beliefs(leaver.name))

    def test_a_partition_heals(self) -> None:
        fleet = self.fleet(20, 4, 0.0)
        for number, node in enumerate(fleet.nodes.values()):
            node.side = number % 2
        fleet.run(60.0)
        halves = fleet.beliefs(next(iter(fleet.nodes.values())).name)
        self.assertEqual({ALIVE, DEAD}, halves)
        for node in fleet.nodes.values():
            node.side = 0
        fleet.run(12.0)
        for node in fleet.nodes.values():
            self.assertEqual({ALIVE}, fleet.beliefs(node.name))

    def test_halves_started_apart_find_each_other_by_the_list(self) -> None:
        fleet = Fleet(12, 5)
        for number, node in enumerate(fleet.nodes.values()):
            node.side = number % 2
        fleet.run(20.0)
        for node in fleet.nodes.values():
            node.side = 0
        fleet.run(15.0)
        for node in fleet.nodes.values():
            self.assertEqual({ALIVE}, fleet.beliefs(node.name))

    def test_random_histories_keep_the_invariants(self) -> None:
        for seed in range(24):
            with self.subTest(seed=seed):
                History(self, seed).run()


class History:
    """One random history, checked as it goes."""

    def __init__(self, case: unittest.TestCase, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.size = self.rng.choice((4, 9, 14))
        self.fleet = Fleet(self.size, seed, self.rng.choice((0.0, 0.05)))
        self.stable_since: dict[str, float] = {}
        self.dead_since: dict[tuple[str, str], float] = {}
        self.seen_leaving: set[tuple[Node, Node]] = set()
        self.split_at = 0.0

    def run(self) -> None:
        """Go through random events, then settle and compare."""
        for _ in range(25):
            self.event()
            for _ in range(self.rng.randint(1, 10)):
                self.fleet.run(STEP_S)
                self.check()
        self.settle()
        for node in self.fleet.nodes.values():
            beliefs = self.fleet.beliefs(node.name)
            expected: set[MemberState | None] = {node.view.me.state}
            if not node.up:
                expected = {DEAD, None}
            self.case.assertLessEqual(beliefs, expected, node.name)

    def event(self) -> None:
        """Let something happen to one or all members."""
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
        """Part the members in two, or join them."""
        apart = self.rng.random() < 0.4
        for node in self.fleet.nodes.values():
            node.side = self.rng.randrange(2) if apart else 0
        self.split_at = self.fleet.now

    def settle(self) -> None:
        """End all faults."""
        for node in self.fleet.nodes.values():
            node.side = 0
            if node.paused:
                self.fleet.resume(node)
        self.fleet.publish_list()
        self.split_at = self.fleet.now
        for _ in range(int(SETTLE_S / STEP_S)):
            self.fleet.run(STEP_S)
            self.check()

    def check(self) -> None:
        """Check what each member believes of each other."""
        for seer in self.fleet.running():
            states = states_in(seer.view)
            for seen in self.fleet.nodes.values():
                if seer is not seen:
                    believed = states.get(seen.name)
                    self.check_death(seer, seen, believed)
                    self.check_leaving(seer, seen, believed)

    def check_death(
        self, seer: Node, seen: Node, believed: MemberState | None
    ) -> None:
        """A member that can be reached is not held dead for long."""
        pair = (seer.name, seen.name)
        together = seen.runs and seen.side == seer.side
        if not together or believed is not DEAD:
            self.dead_since.pop(pair, None)
            return
        since = max(
            self.dead_since.setdefault(pair, self.fleet.now),
            self.stable_since.get(seer.name, 0.0),
            self.stable_since.get(seen.name, 0.0),
            self.split_at,
        )
        age_s = self.fleet.now - since
        self.case.assertLessEqual(age_s, FALSE_DEATH_BOUND_S, pair)

    def check_leaving(
        self, seer: Node, seen: Node, believed: MemberState | None
    ) -> None:
        """Who was seen leaving is not alive again in the same life."""
        if believed is LEAVING:
            self.seen_leaving.add((seer, seen))
        elif (seer, seen) in self.seen_leaving:
            self.case.assertNotEqual(ALIVE, believed, seen.name)


if __name__ == "__main__":
    unittest.main()
