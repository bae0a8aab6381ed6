"""Tests of the fair queue."""

from __future__ import annotations

import random
import unittest

from mulberrypass.policy.admission.queueing import (
    FairQueue,
    QueuedAsk,
    estimate_work,
    lane_of,
)
from mulberrypass.policy.messages import Ask
from tests.policy.admission.cases import ask


def _make_queued(new_ask: Ask, deadline: float, sequence: int) -> QueuedAsk:
    work = estimate_work(new_ask.prompt_tokens, new_ask.output_tokens)
    return QueuedAsk(
        new_ask, work, deadline, deadline, sequence, lane_of(new_ask)
    )


def _any_customer(_customer: str) -> bool:
    return True


class FairQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = FairQueue()
        self.sequence = 0

    def add(self, name: str, deadline: float = 9.0, **fields: object) -> None:
        self.sequence += 1
        new_ask = ask(name, **fields)
        self.queue.add(_make_queued(new_ask, deadline, self.sequence))

    def serve(self, count: int) -> list[str]:
        served = []
        for _ in range(count):
            head = next(self.queue.scan(_any_customer))
            self.queue.serve(head)
            served.append(head.ask.ask_id)
        return served

    def test_earliest_deadline_inside_a_customer(self) -> None:
        for name, deadline in (("late", 9.0), ("soon", 1.0), ("mid", 5.0)):
            self.add(name, deadline)
        self.assertEqual(["soon", "mid", "late"], self.serve(3))

    def test_idle_customer_gains_no_credit(self) -> None:
        for index in range(40):
            self.add(f"n-{index}")
        self.serve(20)
        for index in range(10):
            self.add(f"e-{index}", customer="east")
        served = self.serve(10)
        self.assertIn(sum(n.startswith("e") for n in served), (5, 6))

    def test_charge_follows_the_actual_work(self) -> None:
        for index in range(10):
            self.add(f"n-{index}")
            self.add(f"e-{index}", customer="east")
        self.serve(2)
        self.queue.adjust_charge("north", 3 * estimate_work(32, 32))
        self.assertEqual(3, sum(n.startswith("e") for n in self.serve(3)))

    def test_lanes_do_not_block_each_other(self) -> None:
        self.add("needs-r2", 1.0, version="r2")
        self.add("any", 5.0)
        heads = [head.ask.ask_id for head in self.queue.scan(_any_customer)]
        self.assertEqual(["needs-r2", "any"], heads)

    def test_blocked_customer_is_skipped(self) -> None:
        self.add("n")
        self.add("e", customer="east")
        heads = self.queue.scan(lambda name: name != "north")
        self.assertEqual(["e"], [head.ask.ask_id for head in heads])

    def test_expired_asks_are_removed(self) -> None:
        self.add("late", 9.0)
        self.add("soon", 1.0)
        self.assertEqual([], self.queue.pop_expired(0.5))
        gone = [queued.ask.ask_id for queued in self.queue.pop_expired(1.0)]
        self.assertEqual(["soon"], gone)

    def test_totals_match_queued_asks(self) -> None:
        rng = random.Random(3)
        for index in range(400):
            names = sorted(q.ask.ask_id for q in self.queue)
            if names and rng.random() < 0.45:
                self.queue.remove(rng.choice(names))
            else:
                customer = rng.choice(("north", "east", "west"))
                tokens = rng.randrange(500)
                self.add(f"a-{index}", customer=customer, output_tokens=tokens)
            waiting = list(self.queue)
            work = {c: 0.0 for c in ("north", "east", "west")}
            for queued in waiting:
                work[queued.ask.customer] += queued.work
            for customer, expected in work.items():
                got = self.queue.queued_work(customer)
                self.assertAlmostEqual(expected, got, places=6)
            self.assertEqual(len(waiting), len(self.queue))
            total = sum(work.values())
            self.assertAlmostEqual(total, self.queue.work, places=6)
