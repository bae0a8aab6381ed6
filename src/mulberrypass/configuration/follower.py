"""Keeps this process at the newest published configuration."""

from __future__ import annotations

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
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.storage import generation as policy
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.configuration.store import ConfigurationStore
    from mulberrypass.model.published import Snapshot, SnapshotUnavailable
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
START_PEER_COUNT = 3
MAX_FETCHES_PER_STEP = 4
STOP_TIMEOUT_S = 5.0


@value_class
class _Hint:
    member: str
    generation: int


@value_class
class _Offer:
    snapshot: Snapshot


@value_class
class _Stop:
    pass


_Message = _Hint | _Offer | _Stop


@value_class
class FollowerState:
    """State of a follower, for the state dump.

    :param head: the highest generation read from the head row
    :param unreadable: a generation that only a newer release can read
    :param store_failures: consecutive failed reads of the head row
    """

    generation: int
    digest: str
    head: int
    unreadable: int
    ready: bool
    store_failures: int
    hints: dict[str, int]
    stale_offers: int


@value_class
class FollowerDependencies:
    """The collaborators of a follower.

    :param fetch: fetches a member's snapshot, of at least a generation
    :param members: returns the names of the members that may be asked
    """

    store: ConfigurationStore
    fetch: Callable[[str, int], Result[Snapshot, SnapshotUnavailable]]
    members: Callable[[], tuple[str, ...]]


class ConfigurationFollower(ConfigurationSource):
    """Polls the head row and follows hints about newer generations.

    The generation in force never decreases. Tests may call ``step`` instead
    of ``start``.

    :param clock: monotonic seconds
    """

    def __init__(
        self,
        deps: FollowerDependencies,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._deps = deps
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._inbox: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._subscribers: list[Callable[[Configuration], None]] = []
        self._lock = threading.Lock()
        self._current = Configuration()
        self._snapshot: Snapshot | None = None
        self._head_generation = 0
        self._head_digest = ""
        self._hints: dict[str, int] = {}
        self._store_failures = 0
        self._snapshot_failed = False
        self._unreadable = 0
        self._peers_answered = False
        self._stale_offers = 0
        self._next_poll_at: float | None = None
        self._ready_event = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="configuration", daemon=True
        )

    def start(self) -> None:
        """Start following on a separate thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following."""
        self._inbox.put(_Stop())
        self._thread.join(STOP_TIMEOUT_S)

    def current(self) -> Configuration:
        """Return the configuration in force; generation 0 before the first."""
        with self._lock:
            return self._current

    def snapshot(self) -> Snapshot | None:
        """Return the snapshot in force, for peers that ask for it."""
        with self._lock:
            return self._snapshot

    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        """Register a callback that the follower's thread runs on changes."""
        self._subscribers.append(changed)

    @property
    def ready(self) -> bool:
        """Whether the process has caught up with the store or with peers."""
        return self._ready_event.is_set()

    def wait_ready(self, timeout_s: float) -> bool:
        """Wait until the process may serve, and return whether it may."""
        return self._ready_event.wait(timeout_s)

    def hint(self, member: str, generation: int) -> None:
        """Record which generation a member holds; never blocks."""
        if generation > self.current().generation:
            self._inbox.put(_Hint(member, generation))

    def offer(self, snapshot: Snapshot) -> None:
        """Accept a snapshot that was just published; never blocks."""
        self._inbox.put(_Offer(snapshot))

    def state(self) -> FollowerState:
        """Return the state for the state dump."""
        current = self.current()
        return FollowerState(
            generation=current.generation,
            digest=current.digest,
            head=self._head_generation,
            unreadable=self._unreadable,
            ready=self.ready,
            store_failures=self._store_failures,
            hints=dict(self._hints),
            stale_offers=self._stale_offers,
        )

    def step(self) -> float:
        """Do what is due, and return the seconds until the next step."""
        while not self._inbox.empty():
            self._handle(self._inbox.get_nowait())
        now = self._clock()
        if self._next_poll_at is None or now >= self._next_poll_at:
            self._poll_head()
            if not self.ready and self._store_failures:
                self._bootstrap_from_peers()
            self._next_poll_at = now + self._poll_delay_s()
        self._catch_up()
        self._update_ready()
        return max(0.0, self._next_poll_at - self._clock())

    def _run(self) -> None:
        while not self._stopping:
            try:
                wait_s = self.step()
            except Exception:
                LOG.exception("configuration follower failed")
                wait_s = policy.POLL_S
            try:
                self._handle(self._inbox.get(timeout=max(wait_s, 0.001)))
            except queue.Empty:
                continue

    def _handle(self, message: _Message) -> None:
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
        match self._deps.store.head():
            case Result(tag="ok", ok=head):
                self._store_failures = 0
                self._snapshot_failed = head.generation == self._unreadable
                if (
                    head.row is not None
                    and head.generation > self._head_generation
                ):
                    self._head_generation = head.generation
                    self._head_digest = head.row.digest
            case Result(error=StoreDown(reason=reason)):
                self._store_failures += 1
                LOG.warning("can't read the head row", reason=reason)

    def _poll_delay_s(self) -> float:
        members = len(self._deps.members()) + 1
        draw = self._rng.random()
        return policy.poll_after_s(members, self._store_failures, draw)

    def _bootstrap_from_peers(self) -> None:
        """Apply the newest snapshot of a few peers while the store is down."""
        members = list(self._deps.members())
        asked = self._rng.sample(members, min(START_PEER_COUNT, len(members)))
        for member in asked:
            match self._deps.fetch(member, 1):
                case Result(tag="ok", ok=snapshot):
                    self._peers_answered = True
                    self._apply(snapshot)
                case Result(error=silent):
                    LOG.info(
                        "no snapshot from peer",
                        peer=member,
                        reason=silent.reason,
                    )

    def _catch_up(self) -> None:
        for _ in range(MAX_FETCHES_PER_STEP):
            source = policy.next_source(
                self.current().generation,
                self._head_generation,
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
        match self._deps.fetch(member, at_least):
            case Result(tag="ok", ok=snapshot):
                if self._apply(snapshot):
                    return
                reason = "its snapshot is not newer"
            case Result(error=silent):
                reason = silent.reason
        LOG.info("no snapshot from peer", peer=member, reason=reason)
        self._hints.pop(member, None)

    def _fetch_from_store(self, generation: int) -> None:
        match self._deps.store.snapshot(generation, self._head_digest):
            case Result(tag="ok", ok=snapshot):
                if self._apply(snapshot):
                    return
            case Result(error=exc):
                LOG.warning(
                    "can't fetch the snapshot from the store",
                    reason=exc.reason,
                )
        self._snapshot_failed = True

    def _apply(self, snapshot: Snapshot) -> bool:
        if not policy.applies(self.current().generation, snapshot.generation):
            self._stale_offers += 1
            self._metrics.count(Decision.CONFIG_STALE)
            return False
        match decode(snapshot):
            case Result(tag="ok", ok=cfg):
                self._activate(cfg, snapshot)
                return True
            case Result(error=bad):
                if bad.intact:
                    self._unreadable = snapshot.generation
                LOG.error(
                    "snapshot rejected",
                    generation=snapshot.generation,
                    reason=bad.reason,
                )
                return False

    def _activate(self, cfg: Configuration, snapshot: Snapshot) -> None:
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
                LOG.exception("configuration subscriber failed")

    def _update_ready(self) -> None:
        if self._store_failures and not self._peers_answered:
            return
        known = max([self._head_generation, *self._hints.values()])
        generation = self.current().generation
        if generation > 0 and generation >= known:
            self._ready_event.set()


__all__ = [
    "ConfigurationFollower",
    "FollowerDependencies",
    "FollowerState",
]
