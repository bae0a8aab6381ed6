"""A seeded search for an order of events that breaks a promise."""

from __future__ import annotations

from dataclasses import replace
import os
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.store import Always, Check, Op, Put
from tests.jobs.checker import find_violations
from tests.jobs.simulation import Simulation

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = int(os.environ.get("MULBERRY_JOB_SEEDS", "150"))
MUTANT_SEEDS = 400
FIRST_SEED = int(os.environ.get("MULBERRY_JOB_FIRST_SEED", "1"))


class TestSearch(unittest.TestCase):
    """No order of events and faults breaks a promise."""

    def test_seeds(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run()
                self.assertEqual([], find_violations(simulation))


def _without_lot_version(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Drop the condition on the row of a lot from every flush."""
    return tuple(
        replace(op, condition=Always())
        if isinstance(op, Put) and op.key.startswith("lot/")
        else op
        for op in ops
    )


def _without_intent_fence(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Record intents also for a lot that was taken."""
    return tuple(
        replace(op, condition=Always())
        if isinstance(op, Check) and op.key.startswith("lot/")
        else op
        for op in ops
    )


def _without_intents(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Record intents that name no items."""
    return tuple(
        replace(op, row={**op.row, "items": ()})
        if isinstance(op, Put) and op.key.startswith("intent/")
        else op
        for op in ops
    )


def _without_open_check(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Accept a manifest over one that stands under the key."""
    return tuple(
        replace(op, condition=Always())
        if isinstance(op, Put) and op.key.startswith(("job/", "open/"))
        else op
        for op in ops
    )


class TestSearchFinds(unittest.TestCase):
    """The search finds a promise broken once a rule is left out."""

    def test_rules_left_out(self) -> None:
        table: tuple[Callable[[tuple[Op, ...]], tuple[Op, ...]], ...] = (
            _without_lot_version,
            _without_intent_fence,
            _without_intents,
            _without_open_check,
        )
        for mutate in table:
            with self.subTest(rule=mutate.__name__):
                seeds = range(1, MUTANT_SEEDS)
                found = any(_finds_violation(seed, mutate) for seed in seeds)
                self.assertTrue(found)


def _finds_violation(
    seed: int, mutate: Callable[[tuple[Op, ...]], tuple[Op, ...]]
) -> bool:
    simulation = Simulation(seed, mutate)
    simulation.run()
    return bool(find_violations(simulation))
