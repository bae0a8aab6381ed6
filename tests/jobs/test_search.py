"""Randomized search for a sequence of events that violates a guarantee."""

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
    """No sequence of events and faults violates a guarantee."""

    def test_seeds(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run()
                self.assertEqual([], find_violations(simulation))


def _without_lot_version(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Drop the version check from every write of a lot's row."""
    return tuple(
        replace(op, condition=Always())
        if isinstance(op, Put) and op.key.startswith("lot/")
        else op
        for op in ops
    )


def _without_intent_fence(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Record intents even for a lot that was taken over."""
    return tuple(
        replace(op, condition=Always())
        if isinstance(op, Check) and op.key.startswith("lot/")
        else op
        for op in ops
    )


def _without_intents(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Record intents without their items."""
    return tuple(
        replace(op, row={**op.row, "items": ()})
        if isinstance(op, Put) and op.key.startswith("intent/")
        else op
        for op in ops
    )


def _without_key_check(ops: tuple[Op, ...]) -> tuple[Op, ...]:
    """Accept a manifest even if its key is already in use."""
    return tuple(
        replace(op, condition=Always())
        if isinstance(op, Put) and op.key.startswith(("job/", "open/"))
        else op
        for op in ops
    )


class TestSearchFindsMutants(unittest.TestCase):
    """The search finds a violation once a check is removed."""

    def test_removed_checks(self) -> None:
        table: tuple[Callable[[tuple[Op, ...]], tuple[Op, ...]], ...] = (
            _without_lot_version,
            _without_intent_fence,
            _without_intents,
            _without_key_check,
        )
        for mutate in table:
            with self.subTest(check=mutate.__name__):
                seeds = range(1, MUTANT_SEEDS)
                found = any(_finds_violation(seed, mutate) for seed in seeds)
                self.assertTrue(found)


def _finds_violation(
    seed: int, mutate: Callable[[tuple[Op, ...]], tuple[Op, ...]]
) -> bool:
    simulation = Simulation(seed, mutate)
    simulation.run()
    return bool(find_violations(simulation))
