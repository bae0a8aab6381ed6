"""Keeps the newest published configuration in force in this process."""

from __future__ import annotations

from dataclasses import dataclass
import queue
import random
import threading
import time
from typing import TYPE_CHECKING

from expression import Result

from mulberrypass.configuration.store import StoreDown
from mulberrypass.model.objects import Configuration
from mulberrypass.model.snapshot import decode
from mulberrypass.model.source import ConfigurationSource
from mulberrypass.policy.storage import generation as policy
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.configuration.store import ConfigurationStore
    from mulberrypass.model.published import Snapshot, SnapshotUnavailable
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
START_PEERS = 3
MAX_FETCHES_A_STEP = 4
STOP_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class _Hint:
    member: str
    generation: int


@dataclass(frozen=True, slots=True)
class _Offer:
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class _Stop:
    pass


_Message = _Hint | _Offer | _Stop


@dataclass(frozen=True, slots=True)
class FollowerState:
    """What a follower knows, for the dump of a process's state.

    :param head: the highest generation that the head row has shown
    :param unreadable: a generation that only a newer release can read
    :param store_failures: reads of the head row that failed in a row
    """

    generation: int
    digest: str
    head: int
    unreadable: int
    ready: bool
    store_failures: int
    hints: dict[str, int]
    stale_offers: int


@dataclass(frozen=True, slots=True)
class FollowerPorts:
    """What a follower asks others by.

    :param fetch: fetch a member's snapshot, of a least generation
    :param members: names of the members that may be asked
    """

    store: ConfigurationStore
    fetch: Callable[[str, int], Result[Snapshot, SnapshotUnavailable]]
    members: Callable[[], tuple[str, ...]]


class ConfigurationFollower(ConfigurationSource):
    """Polls the head row and takes hints; it never goes back.

    ``step`` may be called by a test in place of ``start``.

    :param clock: monotonic seconds
    """

    def __init__(
        self,
        ports: FollowerPorts,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ports = ports
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._inbox: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._subscribers: list[Callable[[Configuration], None]] = []
        self._lock = threading.Lock()
        self._current = Configuration()
        self._snapshot: Snapshot | None = None
        self._head = 0
        self._head_digest = ""
        self._hints: dict[str, int] = {}
        self._store_failures = 0
        self._snapshot_failed = False
        self._unreadable = 0
        self._peers_answered = False
        self._stale_offers = 0
        self._poll_at: float | None = None
        self._settled = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="configuration", daemon=True
        )

    def start(self) -> None:
        """Start to follow on a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following."""
        self._inbox.put(_Stop())
        self._thread.join(STOP_TIMEOUT_S)

    def current(self) -> Configuration:
        """Give the configuration in force; generation 0 before the first."""
        with self._lock:
            return self._current

    def snapshot(self) -> Snapshot | None:
        """Give the snapshot in force, for peers that ask for it."""
        with self._lock:
            return self._snapshot

    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        """Call with each newer configuration, on the follower's thread."""
        self._subscribers.append(changed)

    @property
    def ready(self) -> bool:
        """Whether peers or the store have said what is in force."""
        return self._settled.is_set()

    def wait_ready(self, timeout_s: float) -> bool:
        """Block until the process may serve.

        :returns: whether it may
        """
        return self._settled.wait(timeout_s)

    def hint(self, member: str, generation: int) -> None:
        """Hear which generation a member holds; never blocks."""
        if generation > self.current().generation:
            self._inbox.put(_Hint(member, generation))

    def offer(self, snapshot: Snapshot) -> None:
        """Hear of a snapshot that was published just now; never blocks."""
        self._inbox.put(_Offer(snapshot))

    def state(self) -> FollowerState:
        """Give what the follower knows."""
        current = self.current()
        return FollowerState(
            generation=current.generation,
            digest=current.digest,
            head=self._head,
            unreadable=self._unreadable,
            ready=self.ready,
            store_failures=self._store_failures,
            hints=dict(self._hints),
            stale_offers=self._stale_offers,
        )

    def step(self) -> float:
        """Do what is due; seconds until the next step is."""
        while not self._inbox.empty():
            self._take(self._inbox.get_nowait())
        now = self._clock()
        if self._poll_at is None or now >= self._poll_at:
            self._poll_head()
            if not self.ready and self._store_failures:
                self._ask_peers()
            self._poll_at = now + self._poll_after_s()
        self._catch_up()
        self._settle()
        return max(0.0, self._poll_at - self._clock())

    def _run(self) -> None:
        while not self._stopping:
            try:
                wait_s = self.step()
            except Exception:
                LOG.exception("following the configuration failed")
                wait_s = policy.POLL_S
            try:
                self._take(self._inbox.get(timeout=max(wait_s, 0.001)))
            except queue.Empty:
                continue

    def _take(self, message: _Message) -> None:
        match message:
            case _Hint(generation=generation) if (
                generation <= self._unreadable
            ):
                pass
            case _Hint(member=member, generation=generation):
                known = self._hints.get(member, 0)
                self._hints[member] = max(known, generation)
            case _Offer(snapshot=snapshot):
                self._apply(snapshot)
            case _Stop():
                self._stopping = True

    def _poll_head(self) -> None:
        match self._ports.store.head():
            case Result(tag="ok", ok=head):
                self._store_failures = 0
                self._snapshot_failed = head.generation == self._unreadable
                if head.row is not None and head.generation > self._head:
                    self._head = head.generation
                    self._head_digest = head.row.digest
            case Result(error=StoreDown(reason=reason)):
                self._store_failures += 1
                LOG.warning("the head can't be read", reason=reason)

    def _poll_after_s(self) -> float:
        members = len(self._ports.members()) + 1
        draw = self._rng.random()
        return policy.poll_after_s(members, self._store_failures, draw)

    def _ask_peers(self) -> None:
        """Take the newest of several peers', while the store is down."""
        members = list(self._ports.members())
        asked = self._rng.sample(members, min(START_PEERS, len(members)))
        for member in asked:
            match self._ports.fetch(member, 1):
                case Result(tag="ok", ok=snapshot):
                    self._peers_answered = True
                    self._apply(snapshot)
                case Result(error=silent):
                    LOG.info("no snapshot", peer=member, reason=silent.reason)

    def _catch_up(self) -> None:
        for _ in range(MAX_FETCHES_A_STEP):
            source = policy.next_source(
                self.current().generation,
                self._head,
                self._hints,
                self._snapshot_failed,
                self._rng.random(),
            )
            match source:
                case policy.UpToDate() | policy.Unreachable():
                    return
                case policy.FromPeer(member=member, at_least=at_least):
                    self._fetch_from_peer(member, at_least)
                case policy.FromStore(generation=generation):
                    self._fetch_from_store(generation)

    def _fetch_from_peer(self, member: str, at_least: int) -> None:
        match self._ports.fetch(member, at_least):
            case Result(tag="ok", ok=snapshot):
                if self._apply(snapshot):
                    return
                reason = "its snapshot is not newer"
            case Result(error=silent):
                reason = silent.reason
        LOG.info("no snapshot", peer=member, reason=reason)
        self._hints.pop(member, None)

    def _fetch_from_store(self, generation: int) -> None:
        match self._ports.store.snapshot(generation, self._head_digest):
            case Result(tag="ok", ok=snapshot):
                if self._apply(snapshot):
                    return
            case Result(error=exc):
                LOG.warning("no snapshot in the store", reason=exc.reason)
        self._snapshot_failed = True

    def _apply(self, snapshot: Snapshot) -> bool:
        if not policy.applies(self.current().generation, snapshot.generation):
            self._stale_offers += 1
            self._metrics.count(Decision.CONFIG_STALE)
            return False
        match decode(snapshot):
            case Result(tag="ok", ok=cfg):
                self._put_in_force(cfg, snapshot)
                return True
            case Result(error=bad):
                if bad.intact:
                    self._unreadable = snapshot.generation
                LOG.error(
                    "a snapshot is refused",
                    generation=snapshot.generation,
                    reason=bad.reason,
                )
                return False

    def _put_in_force(self, cfg: Configuration, snapshot: Snapshot) -> None:
        with self._lock:
            self._current = cfg
            self._snapshot = snapshot
        self._hints = {
            member: generation
            for member, generation in self._hints.items()
            if generation > cfg.generation
        }
        self._metrics.count(Decision.CONFIG_APPLIED)
        LOG.info("configuration in force", generation=cfg.generation)
        for changed in self._subscribers:
            try:
                changed(cfg)
            except Exception:
                LOG.exception("a part refused the configuration")

    def _settle(self) -> None:
        if self._store_failures and not self._peers_answered:
            return
        known = max([self._head, *self._hints.values()])
        generation = self.current().generation
        if generation > 0 and generation >= known:
            self._settled.set()


__all__ = [
    "ConfigurationFollower",
    "FollowerPorts",
    "FollowerState",
]
