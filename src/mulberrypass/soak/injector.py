"""Injects the scheduled faults of a run and ends them."""

from __future__ import annotations

from functools import partial
import heapq
import itertools
import signal
import time
from typing import TYPE_CHECKING

from mulberrypass.soak.cluster import EVENTS_PER_ANSWER, GRACE_S
from mulberrypass.soak.proxy import LinkState
from mulberrypass.soak.records import (
    MOVE,
    RELOAD,
    STOP,
    Departure,
    Disturbance,
    DrainPeriod,
    Halt,
    ReloadRecord,
)
from mulberrypass.soak.schedule import (
    PLANNED_KINDS,
    RELOAD_KINDS,
    FaultKind,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.soak.cluster import Instance, SoakCluster
    from mulberrypass.soak.records import SoakRecords
    from mulberrypass.soak.schedule import ScheduledFault

RESTART_MARGIN_S = 1.0
# Instances connected to the store apply a version within 2 s.
APPLY_TIMEOUT_S = 2.5
# ``ConfigApplyMs``: requests sent until then after a SIGHUP are judged by it.
RELOAD_EFFECT_S = 2.0
# When signals come in a quick series, and during a stop or a start. A Python
# process runs its first line after about 10 ms and has imported its modules
# after 0.4 s, both later on a busy machine.
SERIES_S = (0.0, 0.01, 0.05, 0.1)
STOPPING_S = (0.0, 0.05, 0.5, 1.5, 3.0, 4.5)
STARTING_S = (0.0, 0.15, 0.25, 0.4, 0.6, 0.9, 1.5)
BEGAN_POLL_S = 0.01
# Logged for each SIGHUP that a program handles.
HANG_UP_LOGGED = b"SIGHUP"
# A loss of all instances waits so long for the next accepted job.
ACCEPTED_WAIT_S = 1.0
ACCEPTED_POLL_S = 0.005
MS_PER_S = 1_000
LOST_REPLIES = 4
LINK_STATES = {
    FaultKind.STORE_CUT: LinkState.PARTITIONED,
    FaultKind.KEYS: LinkState.PARTITIONED,
    FaultKind.STORE_ONE_WAY: LinkState.DROP_REPLIES,
    FaultKind.STORE_SLOW: LinkState.SLOW,
    FaultKind.ENGINE_CUT: LinkState.PARTITIONED,
    FaultKind.ENGINE_DEAF: LinkState.DROP_REPLIES,
    FaultKind.ENGINE_SLOW: LinkState.SLOW,
}
STORE_LINK_KINDS = frozenset(
    {
        FaultKind.STORE_CUT,
        FaultKind.STORE_ONE_WAY,
        FaultKind.STORE_SLOW,
        FaultKind.KEYS,
    }
)
# Disturb when they happen, which may be later or never.
DELAYED_KINDS = frozenset({FaultKind.LOSS, FaultKind.ENGINE_SAYS})


class Injector:
    """Runs actions at their times and injects faults.

    :param publish: publishes a configuration and checks that it is applied
    """

    def __init__(
        self,
        cluster: SoakCluster,
        records: SoakRecords,
        publish: Callable[[float], None],
    ) -> None:
        self.disturbances: list[Disturbance] = []
        self.drains: list[DrainPeriod] = []
        self.departures: list[Departure] = []
        self.halts: list[Halt] = []
        self.reloads: list[ReloadRecord] = []
        self.moves: list[tuple[float, str]] = [(0.0, cluster.service)]
        self._cluster = cluster
        self._records = records
        self._publish = publish
        self._sequence = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._leaving: set[int] = set()

    def add(self, began: float, fault: ScheduledFault) -> None:
        """Schedule a fault of a run that began at a time."""
        self.schedule(began + fault.at, lambda: self._inject(fault))

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._due, (at, next(self._sequence), action))

    def run_due(
        self, until: float, done: Callable[[], bool] | None = None
    ) -> None:
        """Run scheduled actions until a time, then those still pending.

        :param done: ends the wait early
        """
        while self._due or (
            time.monotonic() < until and not (done and done())
        ):
            now = time.monotonic()
            if self._due and self._due[0][0] <= now:
                heapq.heappop(self._due)[2]()
                continue
            next_at = self._due[0][0] if self._due else until
            time.sleep(max(0.0, min(next_at - now, 0.05)))

    def _inject(self, fault: ScheduledFault) -> None:
        """Inject one fault and schedule its end."""
        now = time.monotonic()
        end = now + fault.duration_s
        if fault.kind not in {*PLANNED_KINDS, *DELAYED_KINDS}:
            self.disturbances.append(Disturbance(fault.kind, now, end, False))
        faults = self._cluster.rows.faults
        match fault.kind:
            case FaultKind.KILL:
                self._kill(fault, end)
            case FaultKind.PAUSE:
                self._pause(fault, end)
            case FaultKind.STOP:
                self._stop(fault.target)
            case FaultKind.LOSS:
                self._lose_soon(fault.duration_s)
            case FaultKind.STORE_DOWN:
                faults.down = True
                self.schedule(end, lambda: setattr(faults, "down", False))
            case FaultKind.STORE_SILENT:
                faults.silent = True
                self.schedule(end, lambda: setattr(faults, "silent", False))
            case FaultKind.STORE_LOSES:
                faults.lose += LOST_REPLIES
                self.schedule(end, lambda: setattr(faults, "lose", 0))
            case FaultKind.STORE_LATE:
                faults.late += LOST_REPLIES
                self.schedule(end, self._deliver_late)
            case FaultKind.STORE_FORGETS:
                self._cluster.rows.forget_history()
            case FaultKind.ENGINE_RESET:
                self._cluster.engine_links[fault.target].reset()
            case (
                FaultKind.ENGINE_FULL
                | FaultKind.ENGINE_BREAKS
                | FaultKind.ENGINE_UNFRAMED
                | FaultKind.ENGINE_ENDS
            ):
                self._degrade_engine(fault, end)
            case FaultKind.ENGINE_DRAINS:
                self._drain(fault.target, now, fault.duration_s)
            case FaultKind.ENGINE_SAYS:
                self._leave_with_word(fault, now)
            case FaultKind.KEYS:
                self._set_link(fault, end)
                self._publish(now)
            case FaultKind.HOT:
                self._heat(end)
            case FaultKind.CONFIG:
                self._publish(now)
            case FaultKind.MOVE:
                self._move(now)
            case _ if fault.kind in RELOAD_KINDS:
                self._reload(fault, now, end)
            case _:
                self._set_link(fault, end)

    def _kill(self, fault: ScheduledFault, end: float) -> None:
        instance = self._cluster.instances[fault.target]
        if instance.running:
            instance.kill()
            self._note_halt(instance, end)
            self.schedule(end, lambda: self._restart(instance))

    def _note_halt(self, instance: Instance, end: float) -> None:
        now = time.monotonic()
        self.halts.append(Halt(instance.number, now, end + RESTART_MARGIN_S))

    def _restart(self, instance: Instance) -> None:
        """Restart an instance, which begins without any state."""
        now = time.monotonic()
        self.disturbances.append(
            Disturbance("restart", now, now + RESTART_MARGIN_S, False)
        )
        if not instance.running:
            instance.start()

    def _pause(self, fault: ScheduledFault, end: float) -> None:
        instance = self._cluster.instances[fault.target]
        instance.send(signal.SIGSTOP)
        self._note_halt(instance, end)
        self.schedule(end, lambda: instance.send(signal.SIGCONT))

    def _stop(self, target: int) -> None:
        """Stop an instance as the platform does and restart it."""
        instance = self._cluster.instances[target]
        if not instance.running:
            return
        now = time.monotonic()
        instance.expected_down = True
        instance.send(signal.SIGTERM)
        end = now + GRACE_S
        self._note_halt(instance, end)
        self.disturbances.append(Disturbance(STOP, now, end, True, target))

        def finish() -> None:
            instance.kill()
            self._restart(instance)

        self.schedule(end, finish)

    def _lose_soon(self, duration_s: float) -> None:
        """Kill all instances as soon as another job has been accepted."""
        accepted = self._records.count_accepted()
        deadline = time.monotonic() + ACCEPTED_WAIT_S

        def look() -> None:
            now = time.monotonic()
            if self._records.count_accepted() > accepted or now >= deadline:
                self._lose(now, now + duration_s)
            else:
                self.schedule(now + ACCEPTED_POLL_S, look)

        look()

    def _lose(self, now: float, end: float) -> None:
        """Kill all instances at the same moment and restart them."""
        self.disturbances.append(Disturbance(FaultKind.LOSS, now, end, False))
        running = [i for i in self._cluster.instances if i.running]
        for instance in running:
            instance.send(signal.SIGKILL)
        for instance in running:
            instance.kill()
            self._note_halt(instance, end)
            self.schedule(end, partial(self._restart, instance))

    def _reload(self, fault: ScheduledFault, now: float, end: float) -> None:
        """Send SIGHUP, after a change of the settings where due."""
        instance = self._cluster.instances[fault.target]
        choice = round(fault.duration_s * MS_PER_S)
        match fault.kind:
            case FaultKind.RELOAD_SERIES:
                for other in self._cluster.instances:
                    self._hang_up_at(other, now, SERIES_S)
            case FaultKind.RELOAD_STOPPING:
                self._stop(fault.target)
                self._hang_up_at(instance, now, STOPPING_S)
            case FaultKind.RELOAD_STARTING:
                self._kill(fault, end)
                self._hang_up_at(instance, end, STARTING_S)
            case FaultKind.RELOAD_CHANGED:
                instance.change_settings(choice)
                self._watch_reload(instance, now)
                self._hang_up(instance)
            case FaultKind.RELOAD_BROKEN if instance.listening:
                instance.break_settings(choice)
                self._hang_up(instance)
            case _:
                self._hang_up(instance)

    def _watch_reload(self, instance: Instance, now: float) -> None:
        """Note later whether a running instance took its reload."""
        if instance.expected_down or not instance.listening:
            return
        boot = instance.boots
        before = instance.count_logged(HANG_UP_LOGGED)

        def look() -> None:
            at = time.monotonic()
            if instance.boots == boot and not instance.expected_down:
                taken = instance.count_logged(HANG_UP_LOGGED) > before
                self.reloads.append(
                    ReloadRecord(instance.number, now, at, taken)
                )

        self.schedule(now + RELOAD_EFFECT_S, look)

    def _hang_up_at(
        self, instance: Instance, at: float, delays_s: tuple[float, ...]
    ) -> None:
        for delay_s in delays_s:
            self.schedule(at + delay_s, partial(self._hang_up, instance))

    def _hang_up(self, instance: Instance) -> None:
        """Send a SIGHUP, by which no request may be cut."""
        now = time.monotonic()
        if instance.running and not instance.began:
            self.schedule(now + BEGAN_POLL_S, partial(self._hang_up, instance))
            return
        end = now + RELOAD_EFFECT_S
        self.disturbances.append(
            Disturbance(RELOAD, now, end, True, instance.number)
        )
        instance.send(signal.SIGHUP)

    def _move(self, now: float) -> None:
        """Lead the routes to the other service, if there is one."""
        if not self._cluster.move():
            return
        end = now + APPLY_TIMEOUT_S
        self.disturbances.append(Disturbance(MOVE, now, end, True))
        self.moves.append((now, self._cluster.service))
        self._publish(now)

    def _heat(self, end: float) -> None:
        """Make a customer send several times its rate."""
        customers = self._cluster.customers
        if customers is not None:
            customers.hot.set()
            self.schedule(end, customers.hot.clear)

    def _deliver_late(self) -> None:
        self._cluster.rows.faults.late = 0
        self._cluster.rows.deliver_late()

    def _degrade_engine(self, fault: ScheduledFault, end: float) -> None:
        faults = self._cluster.apps[fault.target].faults
        match fault.kind:
            case FaultKind.ENGINE_FULL:
                faults.full = True
                self.schedule(end, lambda: setattr(faults, "full", False))
            case FaultKind.ENGINE_UNFRAMED:
                faults.unframed = True
                self.schedule(end, lambda: setattr(faults, "unframed", False))
            case FaultKind.ENGINE_ENDS:
                faults.ends_after = EVENTS_PER_ANSWER // 2
                self.schedule(end, lambda: setattr(faults, "ends_after", None))
            case _:
                faults.cut_after = EVENTS_PER_ANSWER // 2
                self.schedule(end, lambda: setattr(faults, "cut_after", None))

    def _set_link(self, fault: ScheduledFault, end: float) -> None:
        if fault.kind in STORE_LINK_KINDS:
            link = self._cluster.instances[fault.target].link
        else:
            link = self._cluster.engine_links[fault.target]
        link.set(LINK_STATES[fault.kind])
        self.schedule(end, lambda: link.set(LinkState.OPEN))

    def _drain(self, target: int, now: float, duration_s: float) -> None:
        """Make an engine leave and register again under a new id."""
        if self._leaving:
            return
        self._leaving.add(target)
        self._cluster.register(target, leaving=True)
        removed_at = now + duration_s + APPLY_TIMEOUT_S

        def reregister() -> None:
            self._cluster.unregister(target)
            name = str(target)
            self.drains.append(DrainPeriod(name, now, time.monotonic()))
            self._cluster.register(target)
            self._leaving.discard(target)

        self.schedule(removed_at, reregister)

    def _leave_with_word(self, fault: ScheduledFault, now: float) -> None:
        """Let an engine say that it leaves, which the store never hears.

        The store is away until the engine registers again under a new id.
        """
        if self._leaving:
            return
        target = fault.target
        self._leaving.add(target)
        end = now + fault.duration_s + APPLY_TIMEOUT_S
        self.disturbances.append(Disturbance(fault.kind, now, end, False))
        engine = self._cluster.apps[target].faults
        store = self._cluster.rows.faults
        silent = round(fault.duration_s * MS_PER_S) % 2
        away = "silent" if silent else "down"
        engine.leaving = True
        setattr(store, away, True)

        def come_back() -> None:
            setattr(store, away, False)
            self._cluster.unregister(target)
            engine.leaving = False
            self.departures.append(
                Departure(str(target), now, time.monotonic())
            )
            self._cluster.register(target)
            self._leaving.discard(target)

        self.schedule(end, come_back)


__all__ = ["APPLY_TIMEOUT_S", "Injector"]
