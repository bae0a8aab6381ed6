"""One soak run: injects faults, runs callers and checks guarantees."""

from __future__ import annotations

from dataclasses import dataclass
import heapq
import itertools
import signal
import time
from typing import TYPE_CHECKING

from mulberrypass.platform.stand_in.caller import CallFailedError, SiteCaller
from mulberrypass.platform.stand_in.site import (
    ONLINE_HOST,
    RESUMABLE_PATH,
    version_path,
)
from mulberrypass.soak.callers import REQUEST_TIMEOUT_S, Callers
from mulberrypass.soak.cluster import EVENTS_PER_ANSWER, GRACE_S, SoakCluster
from mulberrypass.soak.guarantees import Observations, Violation, check
from mulberrypass.soak.proxy import LinkState
from mulberrypass.soak.records import Disturbance, DrainPeriod, SoakRecords
from mulberrypass.soak.schedule import (
    PLANNED_KINDS,
    FaultKind,
    ScheduledFault,
    draw_faults,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.soak.cluster import Instance

FINISH_TIMEOUT_S = 20.0
RESTART_MARGIN_S = 1.0
# Instances connected to the store apply a version within 2 s.
APPLY_TIMEOUT_S = 2.5
LOST_REPLIES = 4
NOT_FOUND = 404
LINK_STATES = {
    FaultKind.STORE_CUT: LinkState.PARTITIONED,
    FaultKind.STORE_ONE_WAY: LinkState.DROP_REPLIES,
    FaultKind.STORE_SLOW: LinkState.SLOW,
    FaultKind.ENGINE_CUT: LinkState.PARTITIONED,
    FaultKind.ENGINE_DEAF: LinkState.DROP_REPLIES,
    FaultKind.ENGINE_SLOW: LinkState.SLOW,
}
STORE_LINK_KINDS = frozenset(
    {FaultKind.STORE_CUT, FaultKind.STORE_ONE_WAY, FaultKind.STORE_SLOW}
)


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of a run.

    :param seconds: time during which faults are injected
    :param online: number of online callers
    :param batch: number of batch callers
    """

    seed: int
    seconds: float
    instances: int = 4
    engines: int = 3
    online: int = 6
    batch: int = 3


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a run.

    :param served: requests that an engine answered
    :param logs: directory with the logs of the instances
    """

    plan: SoakPlan
    faults: tuple[ScheduledFault, ...]
    broken: tuple[Violation, ...]
    requests: int
    served: int
    jobs: int
    accepted: int
    logs: str


class Soak:
    """Runs a cluster with callers and injects the faults on schedule."""

    def __init__(self, plan: SoakPlan) -> None:
        self._plan = plan
        self._cluster = SoakCluster(plan.instances, plan.engines)
        self._records = SoakRecords()
        self._disturbances: list[Disturbance] = []
        self._drains: list[DrainPeriod] = []
        self._violations: list[Violation] = []
        self._sequence = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._leaving: set[int] = set()

    def run(self) -> SoakReport:
        """Run to the end and check the guarantees."""
        plan = self._plan
        faults = draw_faults(
            plan.seed, plan.seconds, plan.instances, plan.engines
        )
        callers = Callers(self._cluster.instances, self._records, plan.seed)
        try:
            self._start()
            began = time.monotonic()
            callers.start(plan.online, plan.batch)
            for fault in faults:
                self._schedule(began + fault.at, self._injection(fault))
            self._run_due(began + plan.seconds)
            callers.stop_online.set()
            self._run_due(
                time.monotonic() + FINISH_TIMEOUT_S, self._records.all_done
            )
            callers.stop_batch.set()
            callers.join()
            self._check_recovery()
            self._check_processes()
        finally:
            self._cluster.stop()
        return self._report(faults)

    def _start(self) -> None:
        self._cluster.start()
        instances = self._cluster.instances
        if not self._cluster.wait_until(
            lambda: all(map(_resolves_itself, instances))
        ):
            raise TimeoutError(
                "not every instance listed its own address in time"
            )
        self._disturbances.append(
            Disturbance("start", 0.0, time.monotonic(), False)
        )

    def _injection(self, fault: ScheduledFault) -> Callable[[], None]:
        return lambda: self._inject(fault)

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at, next(self._sequence), action))

    def _run_due(
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
        if fault.kind not in PLANNED_KINDS:
            self._disturbances.append(Disturbance(fault.kind, now, end, False))
        faults = self._cluster.rows.faults
        match fault.kind:
            case FaultKind.KILL:
                self._kill(fault, end)
            case FaultKind.PAUSE:
                self._pause(fault, end)
            case FaultKind.STOP:
                self._stop(fault.target)
            case FaultKind.STORE_DOWN:
                faults.down = True
                self._schedule(end, lambda: setattr(faults, "down", False))
            case FaultKind.STORE_SILENT:
                faults.silent = True
                self._schedule(end, lambda: setattr(faults, "silent", False))
            case FaultKind.STORE_LOSES:
                faults.lose += LOST_REPLIES
                self._schedule(end, lambda: setattr(faults, "lose", 0))
            case FaultKind.STORE_LATE:
                faults.late += LOST_REPLIES
                self._schedule(end, self._deliver_late)
            case FaultKind.STORE_FORGETS:
                self._cluster.rows.forget_history()
            case FaultKind.ENGINE_RESET:
                self._cluster.engine_links[fault.target].reset()
            case FaultKind.ENGINE_FULL | FaultKind.ENGINE_BREAKS:
                self._degrade_engine(fault, end)
            case FaultKind.ENGINE_DRAINS:
                self._drain(fault.target, now, fault.duration_s)
            case FaultKind.CONFIG:
                self._publish(now)
            case _:
                self._set_link(fault, end)

    def _kill(self, fault: ScheduledFault, end: float) -> None:
        instance = self._cluster.instances[fault.target]
        if instance.running:
            instance.kill()
            self._schedule(end, lambda: self._restart(instance))

    def _restart(self, instance: Instance) -> None:
        """Restart an instance, which begins without any state."""
        now = time.monotonic()
        self._disturbances.append(
            Disturbance("restart", now, now + RESTART_MARGIN_S, False)
        )
        if not instance.running:
            instance.start()

    def _pause(self, fault: ScheduledFault, end: float) -> None:
        instance = self._cluster.instances[fault.target]
        instance.send(signal.SIGSTOP)
        self._schedule(end, lambda: instance.send(signal.SIGCONT))

    def _stop(self, target: int) -> None:
        """Stop an instance as the platform does and restart it."""
        instance = self._cluster.instances[target]
        if not instance.running:
            return
        now = time.monotonic()
        instance.expected_down = True
        instance.send(signal.SIGTERM)
        end = now + GRACE_S
        self._disturbances.append(Disturbance("stop", now, end, True, target))

        def finish() -> None:
            instance.kill()
            self._restart(instance)

        self._schedule(end, finish)

    def _deliver_late(self) -> None:
        self._cluster.rows.faults.late = 0
        self._cluster.rows.deliver_late()

    def _degrade_engine(self, fault: ScheduledFault, end: float) -> None:
        faults = self._cluster.apps[fault.target].faults
        if fault.kind is FaultKind.ENGINE_FULL:
            faults.full = True
            self._schedule(end, lambda: setattr(faults, "full", False))
        else:
            faults.cut_after = EVENTS_PER_ANSWER // 2
            self._schedule(end, lambda: setattr(faults, "cut_after", None))

    def _set_link(self, fault: ScheduledFault, end: float) -> None:
        if fault.kind in STORE_LINK_KINDS:
            link = self._cluster.instances[fault.target].link
        else:
            link = self._cluster.engine_links[fault.target]
        link.set(LINK_STATES[fault.kind])
        self._schedule(end, lambda: link.set(LinkState.OPEN))

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
            self._drains.append(DrainPeriod(name, now, time.monotonic()))
            self._cluster.register(target)
            self._leaving.discard(target)

        self._schedule(removed_at, reregister)

    def _publish(self, now: float) -> None:
        version = self._cluster.publish()
        self._schedule(
            now + APPLY_TIMEOUT_S, lambda: self._probe(version, now)
        )

    def _probe(self, version: int, since: float) -> None:
        """Check that instances serve the route of the newest version."""
        if version != self._cluster.version:
            return
        observed = self._observations()
        for instance in self._cluster.instances:
            if instance.expected_down:
                continue
            name = f"v{version}-{instance.number}-{next(self._sequence)}"
            caller = SiteCaller(instance.front, REQUEST_TIMEOUT_S)
            try:
                answer = caller.request(
                    ONLINE_HOST, version_path(version), name
                )
            except CallFailedError:
                continue
            finally:
                caller.close()
            undisturbed = observed.undisturbed(since, time.monotonic())
            if answer.status == NOT_FOUND and undisturbed:
                self._violations.append(
                    Violation("in force in seconds", instance.address, name)
                )

    def _check_recovery(self) -> None:
        """Check that each instance serves once all faults have ended."""
        for instance in self._cluster.instances:
            served = self._cluster.wait_until(
                lambda at=instance: self._serves(at)
            )
            if not served:
                self._violations.append(
                    Violation("serves again", instance.address, "no answer")
                )

    def _serves(self, instance: Instance) -> bool:
        caller = SiteCaller(instance.front, REQUEST_TIMEOUT_S)
        name = f"r{instance.number}-{next(self._sequence)}"
        try:
            answer = caller.request(ONLINE_HOST, RESUMABLE_PATH, name)
        except CallFailedError:
            return False
        finally:
            caller.close()
        return answer.status == 200

    def _check_processes(self) -> None:
        for address in self._cluster.crashed_instances():
            self._violations.append(
                Violation("runs on", address, "process ended")
            )

    def _observations(self) -> Observations:
        logs = {
            str(number): app.log
            for number, app in enumerate(self._cluster.apps)
        }
        return Observations(
            self._records,
            logs,
            self._disturbances,
            self._drains,
            EVENTS_PER_ANSWER,
        )

    def _report(self, faults: tuple[ScheduledFault, ...]) -> SoakReport:
        attempts = self._records.attempts
        jobs = self._records.jobs
        return SoakReport(
            self._plan,
            faults,
            (*self._violations, *check(self._observations())),
            len(attempts),
            sum(attempt.status == 200 for attempt in attempts),
            len(jobs),
            sum(job.accepted_at is not None for job in jobs),
            str(self._cluster.folder),
        )


def _resolves_itself(instance: Instance) -> bool:
    """Return whether an instance lists its own address."""
    caller = SiteCaller(instance.directory, REQUEST_TIMEOUT_S)
    try:
        found = caller.resolve("zone-0")
    except CallFailedError:
        return False
    finally:
        caller.close()
    return any(instance.address in address for address in found)


__all__ = ["SoakPlan", "SoakReport", "Soak"]
