"""Tests of the known members, updated change by change."""

from __future__ import annotations

import random
import unittest

from mulberrypass.model.member import Member, MemberState
from mulberrypass.policy.membership.known_members import KnownMembers

PROGRAMS = ("entry", "batch")


def member(
    number: int, state: MemberState = MemberState.ALIVE, incarnation: int = 1
) -> Member:
    program = PROGRAMS[number % len(PROGRAMS)]
    name = f"{program}@{number:03}"
    return Member(name, program, "z", f"10.0.0.{number}", incarnation, state)


class KnownMembersTest(unittest.TestCase):
    def test_update_equals_a_build_from_all_members(self) -> None:
        for seed in range(20):
            self.check_random_updates(random.Random(seed))

    def check_random_updates(self, rng: random.Random) -> None:
        known, model = KnownMembers(), dict[str, Member]()
        for incarnation in range(30):
            touched: dict[str, Member | None] = {}
            for number in rng.sample(range(12), rng.randrange(5)):
                state = rng.choice(tuple(MemberState))
                changed = member(number, state, incarnation)
                if state is MemberState.DEAD:
                    touched[changed.name] = None
                    model.pop(changed.name, None)
                else:
                    touched[changed.name] = model[changed.name] = changed
            known.update(touched)
            self.check_equal(known, model)

    def check_equal(
        self, known: KnownMembers, model: dict[str, Member]
    ) -> None:
        self.assertEqual(len(model), len(known))
        for program in PROGRAMS:
            members = [
                model[name]
                for name in sorted(model)
                if model[name].program == program
            ]
            live = [m for m in members if m.state is MemberState.ALIVE]
            self.assertEqual(members, list(known.known().get(program, ())))
            self.assertEqual(live, list(known.live().get(program, ())))

    def test_update_of_one_keeps_the_others_of_other_programs(self) -> None:
        known = KnownMembers()
        known.update({m.name: m for m in map(member, range(10))})
        batch = known.known()["batch"]
        entry = member(0, MemberState.LEAVING)
        found = known.update({entry.name: entry})
        self.assertEqual((entry.name,), found.leaving)
        self.assertIs(batch, known.known()["batch"])
        self.assertNotIn(entry, known.live()["entry"])

    def test_death_and_return_are_told(self) -> None:
        known = KnownMembers()
        first = member(0)
        self.assertEqual(
            (first.name,), known.update({first.name: first}).joined
        )
        self.assertEqual((first.name,), known.update({first.name: None}).gone)
        self.assertFalse(known.update({first.name: None}))
        self.assertEqual({}, known.known())
