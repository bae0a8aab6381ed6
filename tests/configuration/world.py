"""A fleet and its operators, with faults drawn from one seed."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.configuration import rows
from mulberrypass.configuration.follower import (
    ConfigurationFollower,
    FollowerPorts,
)
from mulberrypass.configuration.store import (
    Accepted,
    ConfigurationStore,
    Overtaken,
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
from tests.configuration.test_store import make_set

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.published import Snapshot

MEMBERS = tuple(f"entry@{index}" for index in range(5))
MAX_NESTED = 2
SETTLE_STEPS = 6


class UnluckyTable(Table):
    """A table with stale reads, and writes that take effect late."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._table = MemoryTable(world.platform)
        self._seen: dict[str, Row | None] = {}
        self.late: list[tuple[Op, ...]] = []

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply now, or later without an answer."""
        self._world.interrupt()
        if self._world.happens(0.1 if self._world.unlucky else 0.0):
            self.late.append(ops)
            return Error(Unavailable("no answer", True))
        return self._table.transact(ops)

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read a row, or what was read of it before."""
        self._world.interrupt()
        if self._world.unlucky and key in self._seen:
            if self._world.happens(0.2):
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

    def land(self) -> None:
        """Let the late writes take effect if their conditions hold."""
        late, self.late = self.late, []
        for ops in late:
            self._world.platform.transact(ops)


@dataclass(frozen=True)
class Answer:
    """What an operator was told."""

    sub: Submission
    told: Accepted | Overtaken | StoreDown


class World:
    """Operators, processes and the platform; every choice is seeded."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.unlucky = True
        self.platform = FakePlatform(
            clock=lambda: self.now, sleep=lambda _: None, seed=seed
        )
        self.table = UnluckyTable(self)
        self.store = ConfigurationStore(
            self.table,
            MemoryObjects(self.platform),
            clock=lambda: self.now,
            sleep=lambda _: None,
        )
        self.answers: list[Answer] = []
        self.broken: list[str] = []
        self.cut: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.digests: dict[int, str] = {}
        self.followers = {name: self.start(name) for name in MEMBERS}
        self.submits = 0
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
            (self.land, 2),
        )

    def happens(self, probability: float) -> bool:
        """Draw whether something happens."""
        return self.rng.random() < probability

    def start(self, name: str) -> ConfigurationFollower:
        """Give the follower of a process that has just started."""

        def fetch(
            member: str, at_least: int
        ) -> Result[Snapshot, SnapshotUnavailable]:
            return self.fetch(name, member, at_least)

        others = tuple(member for member in MEMBERS if member != name)
        ports = FollowerPorts(self.store, fetch, lambda: others)
        return ConfigurationFollower(
            ports, Metrics("test"), self.rng, lambda: self.now
        )

    def fetch(
        self, asking: str, member: str, at_least: int
    ) -> Result[Snapshot, SnapshotUnavailable]:
        """Answer as a peer does, unless it is paused or cut off."""
        if not self.reaches(asking, member):
            return Error(SnapshotUnavailable("no answer"))
        snapshot = self.followers[member].snapshot()
        if snapshot is None or snapshot.generation < at_least:
            return Error(SnapshotUnavailable("nothing"))
        return Ok(snapshot)

    def reaches(self, one: str, other: str) -> bool:
        """Say whether two members can talk."""
        cut = frozenset((one, other)) in self.cut
        return not cut and other not in self.paused

    def interrupt(self) -> None:
        """Let something else happen inside a call to the platform."""
        if self.unlucky and self.nested < MAX_NESTED and self.happens(0.3):
            self.act()

    def act(self) -> None:
        """Do one thing drawn at random."""
        actions, weights = zip(*self.actions, strict=True)
        self.nested += 1
        self.rng.choices(actions, weights)[0]()
        self.nested -= 1

    def submit(self) -> None:
        """Let an operator publish a set made from what it has seen."""
        self.submits += 1
        submit_id = f"s{self.submits}"
        match self.store.head():
            case Result(tag="ok", ok=head):
                base = head.generation
            case _:
                return
        cfg = make_set(submit_id)
        self.send(Submission(cfg, base, submit_id, "ann"))

    def repeat(self) -> None:
        """Let an operator repeat any submission."""
        if self.answers:
            self.send(self.rng.choice(self.answers).sub)

    def send(self, sub: Submission) -> None:
        """Submit, and note what the operator was told."""
        match self.store.submit(sub):
            case Result(tag="ok", ok=accepted):
                self.answers.append(Answer(sub, accepted))
                name = self.rng.choice(MEMBERS)
                if name not in self.paused:
                    self.followers[name].offer(accepted.snapshot)
            case Result(error=(Overtaken() | StoreDown()) as exc):
                self.answers.append(Answer(sub, exc))
            case other:
                self.broken.append(f"unexpected answer {other}")

    def step(self, name: str = "") -> None:
        """Let one process follow, and check that it does not go back."""
        name = name or self.rng.choice(MEMBERS)
        if name in self.paused:
            return
        self.now += self.rng.random() * 0.5
        follower = self.followers[name]
        before = follower.current().generation
        if self.nested < MAX_NESTED:
            follower.step()
        cfg = follower.current()
        if cfg.generation < before:
            self.broken.append(f"{name} went from {before} to {cfg}")
        if cfg.generation:
            digest = self.digests.setdefault(cfg.generation, cfg.digest)
            if digest != cfg.digest:
                self.broken.append(f"two sets of {cfg.generation}")

    def gossip(self) -> None:
        """Let one member tell another its generation."""
        one, other = self.rng.sample(MEMBERS, 2)
        if self.reaches(one, other) and self.reaches(other, one):
            generation = self.followers[one].current().generation
            self.followers[other].hint(one, generation)

    def restart(self) -> None:
        """Lose a process, and start a new one in its place."""
        name = self.rng.choice(MEMBERS)
        self.followers[name] = self.start(name)
        self.paused.discard(name)

    def pause(self) -> None:
        """Pause a process, or let it go on."""
        self.paused ^= {self.rng.choice(MEMBERS)}

    def partition(self) -> None:
        """Cut two members off from each other, or join them."""
        self.cut ^= {frozenset(self.rng.sample(MEMBERS, 2))}

    def fault(self) -> None:
        """Change what the platform does."""
        self.platform.set_faults(
            Faults(
                outage=self.happens(0.3),
                lose_replies=self.rng.choice((0.0, 0.3, 0.9)),
                lose_requests=self.rng.choice((0.0, 0.3)),
            )
        )

    def land(self) -> None:
        """Let late writes take effect."""
        self.table.land()

    def heal(self, store: bool) -> None:
        """End all faults, but for the store's outage if so asked."""
        self.unlucky = False
        self.cut.clear()
        self.paused.clear()
        self.platform.set_faults(Faults())
        self.table.land()
        self.platform.set_faults(Faults(outage=not store))

    def settle(self) -> None:
        """Let every process follow and tell the others, for a while."""
        for _ in range(SETTLE_STEPS):
            self.now += 5.0
            for name in MEMBERS:
                self.step(name)
                generation = self.followers[name].current().generation
                for other in MEMBERS:
                    self.followers[other].hint(name, generation)
            if self.settled():
                return

    def settled(self) -> bool:
        """Say whether nothing is left to do for the followers."""
        states = [follower.state() for follower in self.followers.values()]
        return len({s.generation for s in states}) == 1 and all(
            s.ready and s.generation >= s.head for s in states
        )

    def generations(self) -> set[int]:
        """Give the generations in force in the fleet."""
        return {f.current().generation for f in self.followers.values()}

    def history(self) -> list[rows.HistoryRow]:
        """Give what is published, oldest first, from the table itself."""
        found = [
            rows.HistoryRow.model_validate(row.row)
            for row in self.platform.all_rows(rows.TABLE)
            if row.key.startswith(rows.HISTORY_PREFIX)
        ]
        return sorted(found, key=lambda entry: entry.generation)


__all__ = ["Answer", "MEMBERS", "World"]
