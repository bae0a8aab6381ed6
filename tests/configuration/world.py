"""A simulated fleet and its operators, with faults drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.configuration import rows
from mulberrypass.configuration.follower import (
    ConfigurationFollower,
    FollowerDependencies,
)
from mulberrypass.configuration.store import (
    Accepted,
    ConfigurationStore,
    StaleBase,
    StoreDown,
    Submission,
)
from mulberrypass.model.published import SnapshotUnavailable
from mulberrypass.model.store import (
    MAX_SCAN_ROWS,
    Committed,
    Op,
    Page,
    ReadError,
    Row,
    Table,
    TableError,
    Unavailable,
)
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_faults import Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.configuration.test_store import make_configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.published import Snapshot

MEMBERS = tuple(f"entry@{index}" for index in range(5))
MAX_NESTED_ACTIONS = 2
MAX_CONVERGE_STEPS = 6


class FaultyTable(Table):
    """A table with stale reads and late writes."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._table = MemoryTable(world.platform)
        self._seen: dict[str, Row | None] = {}
        self.late: list[tuple[Op, ...]] = []

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply the operations now, or later and without an answer."""
        self._world.interrupt()
        if self._world.chance(0.1 if self._world.faulty else 0.0):
            self.late.append(ops)
            return Error(Unavailable("no answer", True))
        return self._table.transact(ops)

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read a row, or return a result of an earlier read."""
        self._world.interrupt()
        if self._world.faulty and key in self._seen:
            if self._world.chance(0.2):
                return Ok(self._seen[key])
        result = self._table.read(table, key)
        if result.is_ok():
            self._seen[key] = result.ok
        return result

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows."""
        return self._table.scan(table, prefix, after, limit)

    def apply_late_writes(self) -> None:
        """Apply the late writes whose conditions still hold."""
        late, self.late = self.late, []
        for ops in late:
            self._world.platform.transact(ops)


@dataclass(frozen=True)
class Answer:
    """An operator's submission and its result."""

    sub: Submission
    result: Accepted | StaleBase | StoreDown


class World:
    """Operators, processes and the platform; every choice is seeded."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faulty = True
        self.platform = FakePlatform(
            clock=lambda: self.now, sleep=lambda _: None, seed=seed
        )
        self.table = FaultyTable(self)
        self.store = ConfigurationStore(
            self.table,
            MemoryObjects(self.platform),
            clock=lambda: self.now,
            sleep=lambda _: None,
        )
        self.answers: list[Answer] = []
        self.violations: list[str] = []
        self.partitioned: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.digests: dict[int, str] = {}
        self.followers = {name: self.start(name) for name in MEMBERS}
        self.submit_count = 0
        self.nested = 0
        self.actions: tuple[tuple[Callable[[], None], int], ...] = (
            (self.submit, 5),
            (self.repeat, 2),
            (self.step, 12),
            (self.gossip, 6),
            (self.restart, 1),
            (self.pause, 2),
            (self.partition, 2),
            (self.fault, 3),
            (self.apply_late_writes, 2),
        )

    def chance(self, probability: float) -> bool:
        """Return true with a probability."""
        return self.rng.random() < probability

    def start(self, name: str) -> ConfigurationFollower:
        """Return the follower of a process that has just started."""

        def fetch(
            member: str, at_least: int
        ) -> Result[Snapshot, SnapshotUnavailable]:
            return self.fetch(name, member, at_least)

        others = tuple(member for member in MEMBERS if member != name)
        deps = FollowerDependencies(self.store, fetch, lambda: others)
        return ConfigurationFollower(
            deps, Metrics("test"), self.rng, lambda: self.now
        )

    def fetch(
        self, asking: str, member: str, at_least: int
    ) -> Result[Snapshot, SnapshotUnavailable]:
        """Answer as a peer does, unless it is paused or partitioned."""
        if not self.reaches(asking, member):
            return Error(SnapshotUnavailable("no answer"))
        snapshot = self.followers[member].snapshot()
        if snapshot is None or snapshot.generation < at_least:
            return Error(SnapshotUnavailable("nothing"))
        return Ok(snapshot)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether a member gets answers from another."""
        partitioned = frozenset((one, other)) in self.partitioned
        return not partitioned and other not in self.paused

    def interrupt(self) -> None:
        """Run another action within a call to the platform, at random."""
        if (
            self.faulty
            and self.nested < MAX_NESTED_ACTIONS
            and self.chance(0.3)
        ):
            self.act()

    def act(self) -> None:
        """Run one action drawn at random."""
        actions, weights = zip(*self.actions, strict=True)
        self.nested += 1
        self.rng.choices(actions, weights)[0]()
        self.nested -= 1

    def submit(self) -> None:
        """Submit a configuration based on the head that is read."""
        self.submit_count += 1
        submit_id = f"s{self.submit_count}"
        match self.store.head():
            case Result(tag="ok", ok=head):
                base = head.generation
            case _:
                return
        cfg = make_configuration(submit_id)
        self.send(Submission(cfg, base, submit_id, "ann"))

    def repeat(self) -> None:
        """Repeat a submission drawn at random."""
        if self.answers:
            self.send(self.rng.choice(self.answers).sub)

    def send(self, sub: Submission) -> None:
        """Submit, and record the result."""
        match self.store.submit(sub):
            case Result(tag="ok", ok=accepted):
                self.answers.append(Answer(sub, accepted))
                name = self.rng.choice(MEMBERS)
                if name not in self.paused:
                    self.followers[name].offer(accepted.snapshot)
            case Result(error=(StaleBase() | StoreDown()) as exc):
                self.answers.append(Answer(sub, exc))
            case other:
                self.violations.append(f"unexpected answer {other}")

    def step(self, name: str = "") -> None:
        """Run a step of a follower; its generation must not decrease."""
        name = name or self.rng.choice(MEMBERS)
        if name in self.paused:
            return
        self.now += self.rng.random() * 0.5
        follower = self.followers[name]
        before = follower.current().generation
        if self.nested < MAX_NESTED_ACTIONS:
            follower.step()
        cfg = follower.current()
        if cfg.generation < before:
            self.violations.append(f"{name} went from {before} to {cfg}")
        if cfg.generation:
            digest = self.digests.setdefault(cfg.generation, cfg.digest)
            if digest != cfg.digest:
                self.violations.append(f"two digests of {cfg.generation}")

    def gossip(self) -> None:
        """Send the generation of one member to another."""
        one, other = self.rng.sample(MEMBERS, 2)
        if self.reaches(one, other) and self.reaches(other, one):
            generation = self.followers[one].current().generation
            self.followers[other].hint(one, generation)

    def restart(self) -> None:
        """Replace a process by a new one."""
        name = self.rng.choice(MEMBERS)
        self.followers[name] = self.start(name)
        self.paused.discard(name)

    def pause(self) -> None:
        """Pause or resume a process."""
        self.paused ^= {self.rng.choice(MEMBERS)}

    def partition(self) -> None:
        """Partition two members from each other, or end that."""
        self.partitioned ^= {frozenset(self.rng.sample(MEMBERS, 2))}

    def fault(self) -> None:
        """Set the faults of the platform at random."""
        self.platform.set_faults(
            Faults(
                outage=self.chance(0.3),
                lose_replies=self.rng.choice((0.0, 0.3, 0.9)),
                lose_requests=self.rng.choice((0.0, 0.3)),
            )
        )

    def apply_late_writes(self) -> None:
        """Apply the late writes."""
        self.table.apply_late_writes()

    def heal(self, store: bool) -> None:
        """End all faults, except for an outage of the store if not healed."""
        self.faulty = False
        self.partitioned.clear()
        self.paused.clear()
        self.platform.set_faults(Faults())
        self.table.apply_late_writes()
        self.platform.set_faults(Faults(outage=not store))

    def converge(self) -> None:
        """Run followers and gossip until they converge or steps run out."""
        for _ in range(MAX_CONVERGE_STEPS):
            self.now += 5.0
            for name in MEMBERS:
                self.step(name)
                generation = self.followers[name].current().generation
                for other in MEMBERS:
                    self.followers[other].hint(name, generation)
            if self.converged():
                return

    def converged(self) -> bool:
        """Return whether all followers hold the same, newest generation."""
        states = [follower.state() for follower in self.followers.values()]
        return len({s.generation for s in states}) == 1 and all(
            s.ready and s.generation >= s.head for s in states
        )

    def generations(self) -> set[int]:
        """Return the generations in force in the fleet."""
        return {f.current().generation for f in self.followers.values()}

    def history(self) -> list[rows.HistoryRow]:
        """Return the published history from the table, oldest first."""
        found = [
            rows.HistoryRow.model_validate(row.row)
            for row in self.platform.all_rows(rows.TABLE)
            if row.key.startswith(rows.HISTORY_PREFIX)
        ]
        return sorted(found, key=lambda entry: entry.generation)


__all__ = ["Answer", "MEMBERS", "World"]
