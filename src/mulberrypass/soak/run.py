"""One run of the soak: faults by a seed, callers, and the check."""

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
from mulberrypass.soak.callers import TIMEOUT_S, Callers
from mulberrypass.soak.promises import Broken, Seen, check
from mulberrypass.soak.proxy import LinkState
from mulberrypass.soak.records import Drained, Records, Span
from mulberrypass.soak.schedule import PLANNED, Fault, FaultKind, draw
from mulberrypass.soak.world import EVENTS, GRACE_S, World

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.soak.world import Instance

FINISH_S = 20.0
SETTLED_S = 1.0
# A version is in force 2 s after it was written, at what is in touch.
APPLY_S = 2.5
LOST_ANSWERS = 4
NOT_FOUND = 404
LINK_STATES = {
    FaultKind.STORE_CUT: LinkState.CUT,
    FaultKind.STORE_ONE_WAY: LinkState.DEAF,
    FaultKind.STORE_SLOW: LinkState.SLOW,
    FaultKind.ENGINE_CUT: LinkState.CUT,
    FaultKind.ENGINE_DEAF: LinkState.DEAF,
    FaultKind.ENGINE_SLOW: LinkState.SLOW,
}
ON_STORE_LINKS = frozenset(
    {FaultKind.STORE_CUT, FaultKind.STORE_ONE_WAY, FaultKind.STORE_SLOW}
)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a run is to be.

    :param seconds: for which faults are done
    """

    seed: int
    seconds: float
    instances: int = 4
    engines: int = 3
    online: int = 6
    batch: int = 3


@dataclass(frozen=True, slots=True)
class Report:
    """What a run showed.

    :param served: requests that were answered by an engine
    :param logs: folder with the logs of the instances
    """

    plan: Plan
    faults: tuple[Fault, ...]
    broken: tuple[Broken, ...]
    requests: int
    served: int
    jobs: int
    accepted: int
    logs: str


class Soak:
    """Does the faults of one run at their times."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._world = World(plan.instances, plan.engines)
        self._records = Records()
        self._spans: list[Span] = []
        self._drained: list[Drained] = []
        self._broken: list[Broken] = []
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._leaving: set[int] = set()

    def run(self) -> Report:
        """Run to the end, and check."""
        plan = self._plan
        faults = draw(plan.seed, plan.seconds, plan.instances, plan.engines)
        callers = Callers(self._world.instances, self._records, plan.seed)
        try:
            self._start()
            began = time.monotonic()
            callers.start(plan.online, plan.batch)
            for fault in faults:
                self._later(began + fault.at, self._doing(fault))
            self._work(began + plan.seconds)
            callers.stop_online.set()
            self._work(time.monotonic() + FINISH_S, self._records.all_ended)
            callers.stop_batch.set()
            callers.join()
            self._check_recovery()
            self._check_processes()
        finally:
            self._world.end()
        return self._report(faults)

    def _start(self) -> None:
        self._world.start()
        instances = self._world.instances
        if not self._world.wait_until(lambda: all(map(_names_all, instances))):
            raise TimeoutError("instances did not find one another")
        self._spans.append(Span("start", 0.0, time.monotonic(), False))

    def _doing(self, fault: Fault) -> Callable[[], None]:
        return lambda: self._do(fault)

    def _later(self, at: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at, next(self._order), work))

    def _work(
        self, until: float, done: Callable[[], bool] | None = None
    ) -> None:
        """Do what is due; all of it, though it comes after the end."""
        while self._due or (
            time.monotonic() < until and not (done and done())
        ):
            now = time.monotonic()
            if self._due and self._due[0][0] <= now:
                heapq.heappop(self._due)[2]()
                continue
            next_at = self._due[0][0] if self._due else until
            time.sleep(max(0.0, min(next_at - now, 0.05)))

    def _do(self, fault: Fault) -> None:
        """Do one fault, and see to its mending."""
        now = time.monotonic()
        end = now + fault.for_s
        if fault.kind not in PLANNED:
            self._spans.append(Span(fault.kind, now, end, False))
        faults = self._world.rows.faults
        match fault.kind:
            case FaultKind.KILL:
                self._kill(fault, end)
            case FaultKind.PAUSE:
                self._pause(fault, end)
            case FaultKind.STOP:
                self._stop(fault.target)
            case FaultKind.STORE_DOWN:
                faults.down = True
                self._later(end, lambda: setattr(faults, "down", False))
            case FaultKind.STORE_SILENT:
                faults.silent = True
                self._later(end, lambda: setattr(faults, "silent", False))
            case FaultKind.STORE_LOSES:
                faults.lose += LOST_ANSWERS
                self._later(end, lambda: setattr(faults, "lose", 0))
            case FaultKind.STORE_LATE:
                faults.late += LOST_ANSWERS
                self._later(end, self._deliver_late)
            case FaultKind.STORE_FORGETS:
                self._world.rows.forget_history()
            case FaultKind.ENGINE_RESET:
                self._world.engine_links[fault.target].reset()
            case FaultKind.ENGINE_FULL | FaultKind.ENGINE_BREAKS:
                self._spoil_engine(fault, end)
            case FaultKind.ENGINE_DRAINS:
                self._drain(fault.target, now, fault.for_s)
            case FaultKind.CONFIG:
                self._publish(now)
            case _:
                self._set_link(fault, end)

    def _kill(self, fault: Fault, end: float) -> None:
        instance = self._world.instances[fault.target]
        if instance.running:
            instance.kill()
            self._later(end, lambda: self._restart(instance))

    def _restart(self, instance: Instance) -> None:
        """Start an instance again; it knows nothing for a moment."""
        now = time.monotonic()
        self._spans.append(Span("restart", now, now + SETTLED_S, False))
        if not instance.running:
            instance.start()

    def _pause(self, fault: Fault, end: float) -> None:
        instance = self._world.instances[fault.target]
        instance.send(signal.SIGSTOP)
        self._later(end, lambda: instance.send(signal.SIGCONT))

    def _stop(self, target: int) -> None:
        """Stop an instance as the platform does, and start it again."""
        instance = self._world.instances[target]
        if not instance.running:
            return
        now = time.monotonic()
        instance.expected_down = True
        instance.send(signal.SIGTERM)
        end = now + GRACE_S
        self._spans.append(Span("stop", now, end, True, target))

        def finish() -> None:
            instance.kill()
            self._restart(instance)

        self._later(end, finish)

    def _deliver_late(self) -> None:
        self._world.rows.faults.late = 0
        self._world.rows.deliver_late()

    def _spoil_engine(self, fault: Fault, end: float) -> None:
        faults = self._world.apps[fault.target].faults
        if fault.kind is FaultKind.ENGINE_FULL:
            faults.full = True
            self._later(end, lambda: setattr(faults, "full", False))
        else:
            faults.cut_after = EVENTS // 2
            self._later(end, lambda: setattr(faults, "cut_after", None))

    def _set_link(self, fault: Fault, end: float) -> None:
        if fault.kind in ON_STORE_LINKS:
            link = self._world.instances[fault.target].link
        else:
            link = self._world.engine_links[fault.target]
        link.set(LINK_STATES[fault.kind])
        self._later(end, lambda: link.set(LinkState.OPEN))

    def _drain(self, target: int, now: float, for_s: float) -> None:
        """Let one engine leave; it comes back under another id."""
        if self._leaving:
            return
        self._leaving.add(target)
        self._world.register(target, leaving=True)
        gone = now + for_s + APPLY_S

        def leave() -> None:
            self._world.unregister(target)
            name = str(target)
            self._drained.append(Drained(name, now, time.monotonic()))
            self._world.register(target)
            self._leaving.discard(target)

        self._later(gone, leave)

    def _publish(self, now: float) -> None:
        version = self._world.publish()
        self._later(now + APPLY_S, lambda: self._probe(version, now))

    def _probe(self, version: int, since: float) -> None:
        """Ask each instance in touch for the newest version's route."""
        if version != self._world.version:
            return
        seen = self._seen()
        for instance in self._world.instances:
            if instance.expected_down:
                continue
            name = f"v{version}-{instance.number}-{next(self._order)}"
            caller = SiteCaller(instance.front, TIMEOUT_S)
            try:
                answer = caller.request(
                    ONLINE_HOST, version_path(version), name
                )
            except CallFailedError:
                continue
            finally:
                caller.close()
            calm = seen.calm(since, time.monotonic())
            if answer.status == NOT_FOUND and calm:
                self._broken.append(
                    Broken("in force in seconds", instance.address, name)
                )

    def _check_recovery(self) -> None:
        """Each instance serves again once all is mended."""
        for instance in self._world.instances:
            served = self._world.wait_until(
                lambda at=instance: self._serves(at)
            )
            if not served:
                self._broken.append(
                    Broken("serves again", instance.address, "no answer")
                )

    def _serves(self, instance: Instance) -> bool:
        caller = SiteCaller(instance.front, TIMEOUT_S)
        name = f"r{instance.number}-{next(self._order)}"
        try:
            answer = caller.request(ONLINE_HOST, RESUMABLE_PATH, name)
        except CallFailedError:
            return False
        finally:
            caller.close()
        return answer.status == 200

    def _check_processes(self) -> None:
        for address in self._world.ended_by_themselves():
            self._broken.append(Broken("runs on", address, "process ended"))

    def _seen(self) -> Seen:
        logs = {
            str(number): app.log for number, app in enumerate(self._world.apps)
        }
        return Seen(self._records, logs, self._spans, self._drained, EVENTS)

    def _report(self, faults: tuple[Fault, ...]) -> Report:
        attempts = self._records.attempts
        jobs = self._records.jobs
        return Report(
            self._plan,
            faults,
            (*self._broken, *check(self._seen())),
            len(attempts),
            sum(attempt.status == 200 for attempt in attempts),
            len(jobs),
            sum(job.accepted_at is not None for job in jobs),
            str(self._world.folder),
        )


def _names_all(instance: Instance) -> bool:
    """Whether an instance answers, and its address is given out."""
    caller = SiteCaller(instance.directory, TIMEOUT_S)
    try:
        found = caller.resolve("zone-0")
    except CallFailedError:
        return False
    finally:
        caller.close()
    return any(instance.address in address for address in found)


__all__ = ["Plan", "Report", "Soak"]
