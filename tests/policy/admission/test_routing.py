"""Tests of the choice of an engine in a cell."""

from __future__ import annotations

import unittest

from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Release,
    ReleaseOutcome,
)
from tests.policy.admission.cases import ask, engine, granted, make_cell

PREFIX = tuple(range(100, 116))


class RoutingTest(unittest.TestCase):
    def choose(self, before: list[Ask], last: Ask) -> str:
        backends = [engine(f"core-{index}", 8) for index in range(3)]
        cell = make_cell(backends)
        for earlier in before:
            cell.handle(earlier, 0.0)
        return granted(cell.handle(last, 0.0))[0][1]

    def test_choice(self) -> None:
        long = ask("long", prompt_tokens=4_000)
        cases = {
            "least pending prefill": ([long], ask("x"), "core-1"),
            "avoided": ([], ask("x", avoid=("core-0", "core-1")), "core-2"),
            "cached prefix": (
                [
                    ask("p0", prompt_tokens=256),
                    ask("p1", prompt_tokens=256, prefix=PREFIX),
                ],
                ask("x", prompt_tokens=256, prefix=PREFIX),
                "core-2",
            ),
        }
        for name, (before, last, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, self.choose(before, last))

    def test_work_is_spread(self) -> None:
        cell = make_cell([engine(f"core-{index}", 8) for index in range(3)])
        chosen = [
            granted(cell.handle(ask(f"a-{index}"), 0.0))[0][1]
            for index in range(9)
        ]
        for name in ("core-0", "core-1", "core-2"):
            self.assertEqual(3, chosen.count(name))

    def test_load_outweighs_affinity(self) -> None:
        cell = make_cell([engine(f"core-{index}", 8) for index in range(2)])
        shared = {"prompt_tokens": 256, "prefix": PREFIX}
        first = granted(cell.handle(ask("a", **shared), 0.0))[0][1]
        cell.handle(FirstToken("a", 0.1), 0.1)
        second = granted(cell.handle(ask("b", **shared), 0.1))[0][1]
        self.assertEqual(first, second)
        cell.handle(FirstToken("b", 0.1), 0.2)
        other = ({"core-0", "core-1"} - {first}).pop()
        cell.handle(ask("heavy", prompt_tokens=2_000, avoid=(other,)), 0.2)
        third = granted(cell.handle(ask("c", **shared), 0.2))[0][1]
        self.assertEqual(other, third)

    def test_cache_hints_affect_affinity_only(self) -> None:
        cell = make_cell([engine(f"core-{index}", 8) for index in range(2)])
        cell.cache_hint("core-1", True, PREFIX[0])
        warm = ask("a", prompt_tokens=64, prefix=PREFIX[:1])
        self.assertEqual("core-1", granted(cell.handle(warm, 0.0))[0][1])
        cell.handle(Release("a", ReleaseOutcome.DONE, 0.1, 4), 0.1)
        cell.cache_hint("core-1", False, PREFIX[0])
        cell.cache_hint("gone", False, PREFIX[0])
        cold = ask("b", prompt_tokens=64, prefix=PREFIX[:1])
        self.assertEqual("core-0", granted(cell.handle(cold, 0.2))[0][1])

    def test_zone_breaks_ties(self) -> None:
        backends = [
            engine("core-0", 8, zone="zone-b"),
            engine("core-1", 8, zone="zone-a"),
        ]
        for holder, expected in (("entry@a", "core-1"), ("entry@b", "core-0")):
            cell = make_cell(backends)
            got = cell.handle(ask("a", holder=holder), 0.0)
            self.assertEqual(expected, granted(got)[0][1])

    def test_kv_memory_bounds_work(self) -> None:
        cell = make_cell([engine("core-0", 8, kv_tokens=100)])
        self.assertTrue(granted(cell.handle(ask("a"), 0.0)))
        self.assertFalse(granted(cell.handle(ask("b"), 0.0)))
        got = cell.handle(Release("a", ReleaseOutcome.DONE, 0.1, 4), 0.1)
        self.assertEqual([("b", "core-0")], granted(got))

    def test_version_is_required(self) -> None:
        loaded = {
            "core-0": frozenset({"r1"}),
            "core-1": frozenset({"r1", "r2"}),
        }
        cell = make_cell(
            [engine("core-0", 1), engine("core-1", 1)], loaded=loaded
        )
        got = granted(cell.handle(ask("a", version="r2"), 0.0))
        self.assertEqual([("a", "core-1")], got)
        self.assertEqual([], cell.handle(ask("b", version="r2"), 0.0))
        got = granted(cell.handle(ask("c", version="r1"), 0.0))
        self.assertEqual([("c", "core-0")], got)
