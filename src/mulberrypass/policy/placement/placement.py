"""Placement of versions and adapters on the engines of a pool."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import field
import math
from typing import TYPE_CHECKING

from mulberrypass.model.objects import Role, version_key
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from mulberrypass.model.objects import Configuration, Pool, Version

MIN_COPIES = 2
COPY_HEADROOM = 1.5
SHRINK_MARGIN = 1.25
MAX_LOADING_SHARE = 0.25


@value_class
class RoutedVersion:
    """A version that services route to in a pool.

    :param share: its share of the pool's requests
    """

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    share: float = 1.0
    size_bytes: int = 0


@value_class
class EngineView:
    """Known state of one engine.

    :param usable: whether it is a candidate: not leaving, and not silent for
        long
    :param fresh: whether its last report is recent
    :param loaded: versions that can serve, by its last report
    :param ordered: versions that were ordered and are not loaded yet
    :param adapters: adapters last ordered, by version
    :param ordered_role: the role last ordered; ``None`` if unknown
    :param weights_bytes: memory for weights; 0 if unlimited
    """

    name: str
    usable: bool = True
    fresh: bool = True
    loaded: frozenset[str] = frozenset()
    ordered: frozenset[str] = frozenset()
    adapters: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    role: Role = Role.BOTH
    ordered_role: Role | None = None
    weights_bytes: int = 0


@value_class
class Load:
    """Load a version and its adapters on an engine."""

    engine: str
    wanted: RoutedVersion


@value_class
class Unload:
    """Unload a version from an engine."""

    engine: str
    model: str
    version: str


@value_class
class SetRole:
    """Set the role of an engine."""

    engine: str
    role: Role


Step = Load | Unload | SetRole


@value_class
class PoolTarget:
    """Target placement of versions on engines.

    :param wanted: routed versions, by name
    :param engines: names of the target versions, by engine
    """

    wanted: Mapping[str, RoutedVersion]
    engines: Mapping[str, frozenset[str]]

    def engines_of(self, version: str) -> frozenset[str]:
        """Return the engines that should have a version."""
        return frozenset(
            name for name, goal in self.engines.items() if version in goal
        )


def routed_versions(
    cfg: Configuration, pool: Pool, demand: Mapping[str, float]
) -> tuple[RoutedVersion, ...]:
    """Return the versions that services route to in a pool.

    A route of weight 0 preloads its version.

    :param demand: requests per second, by service; 1 by default
    """
    shares: dict[str, float] = defaultdict(float)
    adapters: dict[str, set[str]] = defaultdict(set)
    for service in cfg.services.values():
        if service.pool != pool.name or service.model is None:
            continue
        total_weight = sum(route.weight for route in service.routes) or 1.0
        rate = demand.get(service.name, 1.0)
        for route in service.routes:
            key = version_key(service.model, route.version)
            shares[key] += rate * route.weight / total_weight
            if route.adapter is not None:
                adapters[key].add(route.adapter)
    total_share = sum(shares.values()) or 1.0
    return tuple(
        RoutedVersion(
            model=cfg.versions[key].model,
            version=cfg.versions[key].name,
            adapters=tuple(sorted(adapters[key])),
            share=shares[key] / total_share,
            size_bytes=cfg.versions[key].size_bytes,
        )
        for key in sorted(shares)
    )


def known_versions(
    cfg: Configuration, wanted: Iterable[RoutedVersion]
) -> dict[str, Version]:
    """Return the versions of the models that a pool serves, by name.

    Engines identify versions by name only.
    """
    models = {version.model for version in wanted}
    return {
        version.name: version
        for version in cfg.versions.values()
        if version.model in models
    }


def weights_key(cfg: Configuration, wanted: RoutedVersion) -> str:
    """Return the weight store's key of a version."""
    key = version_key(wanted.model, wanted.version)
    return cfg.versions[key].weights


def place(
    wanted: Iterable[RoutedVersion], engines: Iterable[EngineView]
) -> PoolTarget:
    """Choose engines for each version; all instances choose the same ones.

    If every engine has memory for all versions, each gets all of them.
    Otherwise a version gets engines by its share, first those that have it,
    so that a small change of demand moves nothing.
    """
    versions = {version.version: version for version in wanted}
    usable = [engine for engine in engines if engine.usable]
    free_bytes = {e.name: e.weights_bytes or math.inf for e in usable}
    goals: dict[str, set[str]] = {engine.name: set() for engine in usable}
    min_copies = _min_copies(len(usable), len(versions))
    total_bytes = sum(version.size_bytes for version in versions.values())
    all_fit = all(total_bytes <= free for free in free_bytes.values())
    ordered = sorted(versions.values(), key=_by_share)
    for version in ordered:
        _assign(version, min_copies, usable, goals, free_bytes)
    for version in ordered:
        copies = (
            len(usable) if all_fit else _copies(version, min_copies, usable)
        )
        _assign(version, copies, usable, goals, free_bytes)
    frozen = {name: frozenset(goal) for name, goal in goals.items()}
    return PoolTarget(versions, frozen)


def _assign(
    wanted: RoutedVersion,
    copies: int,
    engines: list[EngineView],
    goals: dict[str, set[str]],
    free_bytes: dict[str, float],
) -> None:
    """Assign a version to engines until it has enough copies."""
    version = wanted.version
    copies -= sum(version in goal for goal in goals.values())
    for engine in sorted(engines, key=lambda e: _preference(wanted, e)):
        if copies <= 0:
            return
        fits = free_bytes[engine.name] >= wanted.size_bytes
        if fits and version not in goals[engine.name]:
            goals[engine.name].add(version)
            free_bytes[engine.name] -= wanted.size_bytes
            copies -= 1


def next_steps(
    target: PoolTarget,
    engines: Iterable[EngineView],
    known: Mapping[str, Version],
    settled: bool,
    may_unload: bool,
) -> tuple[Step, ...]:
    """Return the steps to take now, at most one per engine.

    A routed version is unloaded from an engine only while all engines that
    should have it have it; any other version is unloaded once the target is
    settled. Few engines of a pool load at the same time.

    :param known: versions of the configuration, by name; a loaded version
        that is missing here was removed, and its size is unknown
    :param settled: whether the target has been unchanged for long enough
        that no request is still routed by an older one
    :param may_unload: whether orders of earlier lease holders can no longer
        take effect, and reports show those that did
    """
    usable = [engine for engine in engines if engine.usable]
    fresh = [engine for engine in usable if engine.fresh]
    holders = {
        version: frozenset(e.name for e in fresh if version in e.loaded)
        for version in target.wanted
    }
    complete = frozenset(
        version
        for version, names in holders.items()
        if target.engines_of(version) <= names
    )
    loading = sum(1 for engine in usable if engine.ordered)
    allowed = max(1, int(len(usable) * MAX_LOADING_SHARE)) - loading
    steps: list[Step] = []
    for engine in fresh:
        if engine.ordered:
            continue
        step = _step(target, engine, known, complete, settled)
        if isinstance(step, Load) and step.wanted.version not in engine.loaded:
            if allowed <= 0:
                continue
            allowed -= 1
        if isinstance(step, Unload) and not may_unload:
            continue
        if step is not None:
            steps.append(step)
    return tuple(steps)


def _step(
    target: PoolTarget,
    engine: EngineView,
    known: Mapping[str, Version],
    complete: frozenset[str],
    settled: bool,
) -> Step | None:
    if engine.ordered_role is not engine.role:
        return SetRole(engine.name, engine.role)
    goal = target.engines.get(engine.name, frozenset())
    for version in sorted(goal & engine.loaded):
        wanted = target.wanted[version]
        if wanted.adapters != engine.adapters.get(version, ()):
            return Load(engine.name, wanted)
    missing = sorted(goal - engine.loaded)
    for version in missing:
        if _has_room(engine, known, target.wanted[version]):
            return Load(engine.name, target.wanted[version])
    for version in sorted(engine.loaded - goal):
        model = _model_of(target, known, version)
        if version in target.wanted:
            droppable = version in complete
        else:
            droppable = settled and (bool(missing) or len(complete) > 0)
        if droppable and model is not None:
            return Unload(engine.name, model, version)
    return None


def _model_of(
    target: PoolTarget, known: Mapping[str, Version], version: str
) -> str | None:
    """Return a version's model, even if its object has been removed.

    ``None`` if it is unknown.
    """
    if version in known:
        return known[version].model
    models = {wanted.model for wanted in target.wanted.values()}
    return models.pop() if len(models) == 1 else None


def _has_room(
    engine: EngineView, known: Mapping[str, Version], wanted: RoutedVersion
) -> bool:
    if not engine.weights_bytes:
        return True
    used = sum(
        known[version].size_bytes
        for version in engine.loaded
        if version in known
    )
    return used + wanted.size_bytes <= engine.weights_bytes


def _min_copies(engines: int, versions: int) -> int:
    """Return the minimum number of engines for a version."""
    copies_each = engines // max(1, versions)
    return max(1, min(MIN_COPIES, copies_each // 2))


def _copies(
    wanted: RoutedVersion, min_copies: int, engines: list[EngineView]
) -> int:
    """Return how many engines should have a version.

    A small surplus of engines that have it already is kept.
    """
    needed = math.ceil(wanted.share * len(engines) * COPY_HEADROOM)
    copies = min(len(engines), max(min_copies, needed))
    held = sum(1 for engine in engines if _has(engine, wanted))
    if copies < held <= math.ceil(copies * SHRINK_MARGIN):
        return held
    return copies


def _has(engine: EngineView, wanted: RoutedVersion) -> bool:
    return wanted.version in engine.loaded | engine.ordered


def _by_share(wanted: RoutedVersion) -> tuple[float, str]:
    return -wanted.share, wanted.version


def _preference(wanted: RoutedVersion, engine: EngineView) -> tuple[bool, int]:
    key = version_key(wanted.model, wanted.version)
    return not _has(engine, wanted), weight(key, engine.name)


__all__ = [
    "EngineView",
    "Load",
    "PoolTarget",
    "SetRole",
    "Step",
    "Unload",
    "RoutedVersion",
    "known_versions",
    "next_steps",
    "place",
    "routed_versions",
    "weights_key",
]
