"""Tests of a cell with seeded random interleavings of all events."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
import os
import random
import unittest

from mulberrypass.model.objects import Customer, Quota
from mulberrypass.policy.admission.cell import Cell, CellDecision
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    Withdraw,
    WorkClass,
)
from tests.policy.admission.cases import MEMBERS, ask, batch, engine

SEEDS = int(os.environ.get("MULBERRY_TEST_SEEDS", "25"))
STEPS = 1_500
NAMES = tuple(f"core-{index}" for index in range(5))
CUSTOMERS = {
    "north": Customer("north", (), weight=2.0),
    "east": Customer("east", (), quota="small"),
    "west": Customer("west", ()),
}
QUOTAS = {"small": Quota("small", 0.0, 1, 3, 2)}
OUTCOMES = tuple(ReleaseOutcome)
LOADED = {
    name: frozenset({"r1", "r2"} if name in NAMES[:2] else {"r1"})
    for name in NAMES
}


class CellSimulation:
    """Drives one cell and checks its decisions after each step."""

    def __init__(self, case: unittest.TestCase, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cell = Cell(
            CellSettings(
                settle_s=0.2, max_queued_online=30, max_queued_batch=30
            )
        )
        self.slots = {n: self.rng.choice((1, 2, 4, 8)) for n in NAMES}
        self.leaving: set[str] = set()
        self.waiting: dict[str, Ask] = {}
        self.running: dict[str, tuple[Ask, str]] = {}
        self.revoked: set[str] = set()
        self.answers: Counter[str] = Counter()
        self.withdrawn: set[str] = set()
        self.lost: set[str] = set()
        self.count = 0
        self.configure()

    def configure(self) -> None:
        backends = [
            engine(n, s, kv_tokens=4_000) for n, s in self.slots.items()
        ]
        self.check(
            self.cell.configure(
                backends,
                CUSTOMERS,
                QUOTAS,
                self.leaving,
                MEMBERS,
                self.now,
                loaded=LOADED,
            )
        )

    def step(self) -> None:
        self.now += self.rng.choice((0.0, 0.001, 0.01, 0.05))
        action = self.rng.choices(
            (
                self.new_ask,
                self.release,
                self.first_token,
                self.withdraw,
                self.repeat,
                self.tick,
                self.lose,
                self.change_leaving,
                self.adopt,
            ),
            (40, 34, 12, 3, 3, 12, 0.3, 0.7, 0.5),
        )[0]
        action()
        self.check_invariants()

    def new_ask(self) -> None:
        self.count += 1
        make = ask if self.rng.random() < 0.5 else batch
        request = make(
            f"ask-{self.count}",
            customer=self.rng.choice(tuple(CUSTOMERS)),
            budget_s=self.rng.choice((0.05, 1.0, 60.0)),
            prompt_tokens=self.rng.choice((0, 32, 600)),
            output_tokens=self.rng.choice((1, 64, 400)),
            prefix=tuple(range(self.rng.randrange(4))),
            avoid=self.rng.choice(((), (), (NAMES[0],))),
            version=self.rng.choice(("", "", "r1", "r2")),
            **({} if make is ask else {"revocable": self.rng.random() < 0.7}),
        )
        self.waiting[request.ask_id] = request
        self.check(self.cell.handle(request, self.now))

    def release(self) -> None:
        revoked = sorted(self.revoked & self.running.keys())
        names = revoked or sorted(self.running)
        if not names:
            return
        name = self.rng.choice(names)
        del self.running[name]
        # A second one may be a verdict.
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            outcome = self.rng.choice(OUTCOMES)
            message = Release(name, outcome, self.rng.random(), 20, 0.03)
            self.check(self.cell.handle(message, self.now))

    def first_token(self) -> None:
        if self.running:
            name = self.rng.choice(sorted(self.running))
            message = FirstToken(name, self.rng.random())
            self.check(self.cell.handle(message, self.now))

    def withdraw(self) -> None:
        names = sorted(self.waiting.keys() | self.running.keys())
        if names:
            name = self.rng.choice(names)
            self.withdrawn.add(name)
            self.waiting.pop(name, None)
            self.running.pop(name, None)
            self.check(self.cell.handle(Withdraw(name), self.now))

    def repeat(self) -> None:
        """Repeat an ask, as after a lost connection."""
        names = sorted(self.waiting)
        if names:
            message = self.waiting[self.rng.choice(names)]
            self.check(self.cell.handle(message, self.now))
        names = sorted(self.running)
        if names:
            name = self.rng.choice(names)
            got = self.cell.handle(self.running[name][0], self.now)
            backend = self.running[name][1]
            pace = self.cell.paces.lasting.known(backend)
            grant = Grant(name, backend, pace=pace)
            if self.cell.permits.get(name) is not None:
                self.case.assertIn(grant, [d.message for d in got])
            self.check([d for d in got if d.message != grant], repeat=True)

    def tick(self) -> None:
        self.check(self.cell.tick(self.now))
        reclaimed = [
            n for n in self.running if self.cell.permits.get(n) is None
        ]
        for name in reclaimed:
            self.lost.add(name)
            del self.running[name]

    def lose(self) -> None:
        holder = self.rng.choice(("entry@a", "batch@a"))
        for name, request in list(self.waiting.items()):
            if request.holder == holder:
                self.withdrawn.add(name)
                del self.waiting[name]
        self.check(self.cell.holder_lost(holder, self.now))

    def adopt(self) -> None:
        """Report work that runs under a previous owner's permit."""
        self.count += 1
        name = f"ask-{self.count}"
        backend = self.rng.choice(NAMES)
        adopted = batch(name, granted=backend, revocable=True)
        self.answers[name] += 1
        self.running[name] = replace(adopted, granted=""), backend
        self.check(self.cell.handle(adopted, self.now))

    def change_leaving(self) -> None:
        name = self.rng.choice(NAMES)
        self.leaving ^= {name}
        self.configure()

    def check(
        self, decisions: list[CellDecision], repeat: bool = False
    ) -> None:
        for decision in decisions:
            name = decision.message.ask_id
            match decision.message:
                case Grant(backend=backend):
                    self.on_grant(name, backend)
                case Refuse():
                    self.answers[name] += 1
                    self.waiting.pop(name)
                case Revoke():
                    request, _ = self.running[name]
                    self.case.assertTrue(request.revocable)
                    self.case.assertIs(request.work_class, WorkClass.BATCH)
                    if not repeat:
                        self.case.assertNotIn(name, self.revoked)
                    self.revoked.add(name)

    def on_grant(self, name: str, backend: str) -> None:
        self.answers[name] += 1
        request = self.waiting.pop(name)
        self.running[name] = request, backend
        self.case.assertTrue(self.serves(backend, request))
        on_backend = sum(b == backend for _, b in self.running.values())
        self.case.assertLessEqual(on_backend, self.slots[backend])
        if request.work_class is WorkClass.BATCH:
            self.case.assertEqual([], self.eligible())

    def serves(self, name: str, request: Ask) -> bool:
        if name in self.leaving or name in request.avoid:
            return False
        return not request.version or request.version in LOADED[name]

    def eligible(self) -> list[str]:
        return [
            name
            for name, request in self.waiting.items()
            if request.work_class is WorkClass.ONLINE
            and self.cell.may_run(request.customer, WorkClass.ONLINE)
            and any(self.serves(n, request) for n in NAMES)
        ]

    def check_invariants(self) -> None:
        small = Counter(
            request.work_class
            for request, _ in self.running.values()
            if request.customer == "east"
        )
        self.case.assertLessEqual(small[WorkClass.ONLINE], 3)
        self.case.assertLessEqual(small[WorkClass.BATCH], 2)
        usable = len(NAMES) - len(self.leaving)
        reduced = self.cell.health.reduced()
        self.case.assertLessEqual(len(reduced), usable // 2)

    def drain(self) -> None:
        """End all work and check that each ask had exactly one answer."""
        self.leaving.clear()
        self.configure()
        for _ in range(20_000):
            if not self.waiting and not self.running:
                break
            self.now += 0.05
            self.release()
            self.tick()
            self.check_invariants()
        self.case.assertEqual({}, self.waiting)
        for index in range(1, self.count + 1):
            name = f"ask-{index}"
            answers = self.answers[name]
            if name in self.withdrawn:
                self.case.assertLessEqual(answers, 1)
            else:
                self.case.assertEqual(1, answers, name)
        for engine_state in self.cell.engines.values():
            self.case.assertEqual(0, engine_state.running)
            self.case.assertEqual(0, engine_state.kv_tokens)
            self.case.assertEqual(0, engine_state.prefill_tokens)
            self.case.assertEqual(0, engine_state.batch_prefill_tokens)
            self.case.assertEqual(0, engine_state.revoked)


class RandomInterleavingTest(unittest.TestCase):
    def test_invariants_hold(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = CellSimulation(self, seed)
                for _ in range(STEPS):
                    simulation.step()
                simulation.drain()
