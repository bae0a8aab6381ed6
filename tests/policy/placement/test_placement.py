"""Tests of placement targets and of the steps towards them."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.model.objects import (
    Configuration,
    Model,
    Pool,
    Role,
    Route,
    Service,
    ServiceKind,
    Version,
)
from mulberrypass.policy.placement.placement import (
    EngineView,
    Load,
    PoolTarget,
    RoutedVersion,
    SetRole,
    Step,
    Unload,
    next_steps,
    place,
    routed_versions,
)

GB = 10**9
R1 = RoutedVersion("m", "r1", share=0.9, size_bytes=10 * GB)
R2 = RoutedVersion("m", "r2", share=0.1, size_bytes=10 * GB)
KNOWN = {n: Version(n, "m", f"m/{n}", 10 * GB) for n in ("r1", "r2", "r0")}
NAMES = tuple("abcdefgh")


def engine(
    name: str, *loaded: str, ordered: tuple[str, ...] = (), memory_gb: int = 0
) -> EngineView:
    """Return an engine whose role is set."""
    return EngineView(
        name,
        loaded=frozenset(loaded),
        ordered=frozenset(ordered),
        ordered_role=Role.BOTH,
        weights_bytes=memory_gb * GB,
    )


def target(goals: dict[str, str], *wanted: RoutedVersion) -> PoolTarget:
    """Return a target; each engine's versions are separated by spaces."""
    engines = {name: frozenset(goal.split()) for name, goal in goals.items()}
    return PoolTarget({w.version: w for w in wanted}, engines)


class RoutedVersionsTest(unittest.TestCase):
    """Shares follow routes and demand; weight 0 preloads a version."""

    def test_shares(self) -> None:
        def service(name: str, *routes: Route) -> Service:
            return Service(name, ServiceKind.MODEL, "p", "m", routes)

        cfg = Configuration(
            models={"m": Model("m")},
            versions={f"m/{n}": v for n, v in KNOWN.items()},
            services={
                "a": service("a", Route("r1", 3), Route("r2", 1)),
                "b": service("b", Route("r1", adapter="x"), Route("r0", 0)),
            },
        )
        found = routed_versions(cfg, Pool("p", ()), {"a": 3.0})
        shares = {w.version: (w.share, w.adapters) for w in found}
        expected = {
            "r0": (0.0, ()),
            "r1": (3.25 / 4, ("x",)),
            "r2": (0.75 / 4, ()),
        }
        self.assertEqual(expected, shares)
        self.assertEqual((), routed_versions(cfg, Pool("q", ()), {}))


class PlaceTest(unittest.TestCase):
    """Each version gets enough engines and keeps them."""

    def test_everything_fits(self) -> None:
        for memory_gb in (0, 20):
            with self.subTest(memory_gb=memory_gb):
                found = place(
                    (R1, R2), [engine(n, memory_gb=memory_gb) for n in NAMES]
                )
                both = frozenset({"r1", "r2"})
                self.assertEqual({both}, set(found.engines.values()))

    def test_memory_for_one(self) -> None:
        engines = [engine(n, memory_gb=10) for n in NAMES]
        found = place((replace(R1, share=0.5), R2), engines)
        self.assertEqual(6, len(found.engines_of("r1")))
        self.assertEqual(2, len(found.engines_of("r2")))

    def test_small_share_keeps_a_copy(self) -> None:
        engines = [engine(n, "r1", memory_gb=10) for n in "abcd"]
        found = place((R1, R2), engines)
        self.assertEqual(3, len(found.engines_of("r1")))
        self.assertEqual(1, len(found.engines_of("r2")))

    def test_placement_is_stable(self) -> None:
        engines = [
            engine(n, "r2" if n in "ab" else "r1", memory_gb=10) for n in NAMES
        ]
        for share in (0.05, 0.1, 0.15):
            with self.subTest(share=share):
                wanted = (replace(R1, share=0.5), replace(R2, share=share))
                found = place(wanted, engines)
                self.assertEqual({"a", "b"}, found.engines_of("r2"))

    def test_order_of_engines_does_not_matter(self) -> None:
        engines = [engine(n, memory_gb=10) for n in NAMES]
        again = place((R2, R1), list(reversed(engines)))
        self.assertEqual(place((R1, R2), engines), again)

    def test_unusable_engines_get_nothing(self) -> None:
        engines = [replace(engine("a"), usable=False), engine("b")]
        found = place((R1,), engines)
        self.assertEqual({"b": frozenset({"r1"})}, found.engines)


class NextStepsTest(unittest.TestCase):
    """Load before unload, few at once, one step per engine."""

    def check(
        self,
        goal: PoolTarget,
        engines: list[EngineView],
        expected: tuple[Step, ...],
        settled: bool = True,
        may_unload: bool = True,
    ) -> None:
        """Assert the next steps."""
        found = next_steps(goal, engines, KNOWN, settled, may_unload)
        self.assertEqual(expected, found)

    def test_nothing_to_do(self) -> None:
        goal = target({"a": "r1", "b": "r1"}, R1)
        self.check(goal, [engine("a", "r1"), engine("b", "r1")], ())

    def test_few_load_at_once(self) -> None:
        goal = target(dict.fromkeys(NAMES, "r1"), R1)
        engines = [engine(n) for n in NAMES]
        self.check(goal, engines, (Load("a", R1), Load("b", R1)))
        engines[0] = engine("a", ordered=("r1",))
        self.check(goal, engines, (Load("b", R1),))

    def test_routed_version_is_unloaded_only_when_complete(self) -> None:
        goal = target({"a": "", "b": "r1"}, R1)
        engines = [engine("a", "r1"), engine("b")]
        self.check(goal, engines, (Load("b", R1),))
        engines[1] = engine("b", ordered=("r1",))
        self.check(goal, engines, ())
        engines[1] = replace(engine("b", "r1"), fresh=False)
        self.check(goal, engines, ())
        engines[1] = engine("b", "r1")
        self.check(goal, engines, (Unload("a", "m", "r1"),))
        self.check(goal, engines, (), may_unload=False)

    def test_unrouted_version_is_unloaded_when_settled(self) -> None:
        goal = target({"a": "r2"}, R2)
        engines = [engine("a", "r1", "r2")]
        self.check(goal, engines, (), settled=False)
        self.check(goal, engines, (Unload("a", "m", "r1"),))

    def test_unrouted_version_is_unloaded_for_another(self) -> None:
        goal = target({"a": "r2"}, R2)
        engines = [engine("a", "r1", memory_gb=10)]
        self.check(goal, engines, (), settled=False)
        self.check(goal, engines, (Unload("a", "m", "r1"),))
        self.check(goal, [engine("a", memory_gb=10)], (Load("a", R2),))

    def test_versions_that_need_each_others_memory_stay(self) -> None:
        goal = target({"a": "r2", "b": "r1"}, R1, R2)
        engines = [
            engine("a", "r1", memory_gb=10),
            engine("b", "r2", memory_gb=10),
        ]
        self.check(goal, engines, ())

    def test_removed_version_is_unloaded(self) -> None:
        goal = target({"a": "r1"}, R1)
        engines = [engine("a", "r1", "removed")]
        self.check(goal, engines, (Unload("a", "m", "removed"),))
        self.check(goal, engines, (), settled=False)
        other = RoutedVersion("n", "r9")
        two_models = target({"a": "r1 r9"}, R1, other)
        engines = [engine("a", "r1", "r9", "removed")]
        self.check(two_models, engines, ())

    def test_role_and_adapters(self) -> None:
        goal = target({"a": "r1"}, replace(R1, adapters=("x",)))
        unknown = replace(engine("a", "r1"), ordered_role=None)
        self.check(goal, [unknown], (SetRole("a", Role.BOTH),))
        wanted = goal.wanted["r1"]
        self.check(goal, [engine("a", "r1")], (Load("a", wanted),))
        ordered = replace(engine("a", "r1"), adapters={"r1": ("x",)})
        self.check(goal, [ordered], ())


if __name__ == "__main__":
    unittest.main()
