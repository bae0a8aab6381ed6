"""Seeded simulation of holders, a platform and engines, with faults."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import Executor, Future
from dataclasses import dataclass, field
import io
import json
import random
import threading
from typing import TYPE_CHECKING, Any, TypeVar

from expression import Error, Result

from mulberrypass.jobs.closer import JobCloser
from mulberrypass.jobs.manager import JobManager, KeyTaken, Submission, job_id
from mulberrypass.jobs.reading import JobReader
from mulberrypass.jobs.rows import HELD_PREFIX, OPEN_PREFIX
from mulberrypass.jobs.runner import JobRunner
from mulberrypass.jobs.store import LotStore
from mulberrypass.jobs.writer import RetryingWriter
from mulberrypass.model.objects import Service, ServiceKind
from mulberrypass.model.outcome import Ran
from mulberrypass.model.store import Objects, Table, Unavailable
from mulberrypass.policy.jobs.commands import (
    FleetView,
    FlushAges,
    HolderSettings,
)
from mulberrypass.policy.jobs.holder import LotHolder
from mulberrypass.policy.jobs.items import RunCompleted, RunFailed, RunStopped
from mulberrypass.policy.jobs.jobs import Holder
from mulberrypass.policy.jobs.lots import LotTerms
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.store import (
        Committed,
        ObjectError,
        Op,
        Page,
        ReadError,
        Row,
        TableError,
    )
    from mulberrypass.policy.jobs.commands import StartItem
    from mulberrypass.policy.jobs.items import RunResult
    from mulberrypass.policy.jobs.jobs import OpenJob

T = TypeVar("T")
CUSTOMER = "lakeshore"
SERVICES = {
    "rackmind": Service("rackmind", ServiceKind.MODEL, "p", max_attempts=3),
    "booking": Service("booking", ServiceKind.PLAIN, "p", idempotent=False),
}
SETTINGS = HolderSettings(
    window=6,
    max_lots=2,
    flush_outcomes=5,
    flush_ages=FlushAges(2.0, 2.0),
    effect_flush_ages=FlushAges(1.0, 1.0),
    max_outcomes=30,
    poll_s=0.4,
    idle_poll_s=0.4,
    takeover_s=0.5,
    effect_takeover_s=0.5,
    settle_s=0.5,
)
NAMES = ("a", "b", "c")
LOT_ITEMS = 4
MAX_CANCEL_S = 2.0
FAULTY_S = 15.0
MAX_HEALED_STEPS = 6_000
MEMBER_LAG_S = 1.0


class Crashed(BaseException):
    """A process crashes in the middle of a call."""


class ManualExecutor(Executor):
    """Keeps calls until the simulation runs them."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], object]] = []

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Keep a call."""
        self.calls.append(lambda: fn(*args, **kwargs))
        return Future()


@dataclass(slots=True)
class Process:
    """One incarnation of a holder."""

    name: str
    incarnation: int
    runner: JobRunner
    store: LotStore
    manager: JobManager
    writer: ManualExecutor
    poller: ManualExecutor
    waiting: dict[int, StartItem] = field(default_factory=dict)
    busy: bool = False
    paused_until: float = 0.0
    polls_ok: bool = True

    def start(self, command: StartItem) -> None:
        """Keep an item until the simulation sends it."""
        if self.store.item_line(command.key, command.item) is None:
            self.runner.run_ended(command.run, RunStopped(Ran.NO))
        else:
            self.waiting[command.run] = command

    def stop(self, number: int) -> None:
        """Stop an item; the simulation stops those that were sent."""
        if self.waiting.pop(number, None) is not None:
            self.runner.run_ended(number, RunStopped(Ran.NO))
        else:
            self.on_stop(number)

    on_stop: Callable[[int], None] = lambda number: None


@dataclass(slots=True)
class EngineRun:
    """One run on an engine."""

    process: Process
    command: StartItem
    engine: int


@dataclass(slots=True)
class ClientJob:
    """State of a job as its client knows it."""

    key: str
    service: str
    items: int
    accepted: bool = False
    cancel_at: float | None = None
    cancel_acked: float | None = None


class FaultyTable(Table):
    """One process's access to the table, with faults."""

    def __init__(self, world: Simulation, name: str) -> None:
        self._world = world
        self._name = name
        self._table = MemoryTable(world.platform)

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none."""
        done: Result[Committed, TableError] = self._world.write(
            self._name, lambda: self._table.transact(self._world.mutate(ops))
        )
        return done

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read a row."""
        found: Result[Row | None, ReadError] = self._world.read(
            self._name, lambda: self._table.read(table, key)
        )
        return found

    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 1_000
    ) -> Result[Page, ReadError]:
        """Read rows, three to a page."""
        page: Result[Page, ReadError] = self._world.read(
            self._name, lambda: self._table.scan(table, prefix, after, 3)
        )
        if prefix in {OPEN_PREFIX, HELD_PREFIX}:
            self._world.record_poll(self._name, page.is_ok())
        return page


class FaultyObjects(Objects):
    """One process's access to the objects, with faults."""

    def __init__(self, world: Simulation, name: str) -> None:
        self._world = world
        self._name = name
        self._objects = MemoryObjects(world.platform)

    def put(self, key: str, data: bytes) -> Result[None, ObjectError]:
        """Write an object."""
        done: Result[None, ObjectError] = self._world.write(
            self._name, lambda: self._objects.put(key, data)
        )
        return done

    def get(self, key: str) -> Result[bytes, ObjectError]:
        """Read an object."""
        found: Result[bytes, ObjectError] = self._world.read(
            self._name, lambda: self._objects.get(key)
        )
        return found

    def delete(self, key: str) -> Result[None, ObjectError]:
        """Remove an object."""
        done: Result[None, ObjectError] = self._world.write(
            self._name, lambda: self._objects.delete(key)
        )
        return done


class Simulation:
    """Steps holders, clients, engines and faults in an order set by the seed.

    :param mutate: changes operations before they are applied, to remove a
        check
    """

    def __init__(
        self,
        seed: int,
        mutate: Callable[[tuple[Op, ...]], tuple[Op, ...]] = lambda ops: ops,
    ) -> None:
        self.random = random.Random(seed)
        self.mutate = mutate
        self.now = 100.0
        self.platform = FakePlatform(clock=lambda: self.now)
        self.faults = True
        self.outage = False
        self.late_writes: list[Callable[[], object]] = []
        self.call_depth = 0
        self.runs: Counter[tuple[str, int]] = Counter()
        self.active: dict[tuple[str, int, int], EngineRun] = {}
        self.violations: list[str] = []
        self.metrics = Metrics("batch")
        self.incarnations: Counter[str] = Counter()
        self.reboot_at: dict[str, float] = {}
        self.last_seen: dict[str, tuple[int, float]] = {}
        self.processes: dict[str, Process] = {}
        self.jobs = self._client_jobs()
        for name in NAMES:
            self._boot(name)

    def run(self) -> None:
        """Run with faults, then without, until all jobs have ended."""
        until = self.now + FAULTY_S
        while self.now < until:
            self._step()
        self._heal()
        for _ in range(MAX_HEALED_STEPS):
            self._step()
            if self._all_ended():
                return
        self.violations.append("a job did not end")

    def write(self, name: str, effect: Callable[[], Result[T, Any]]) -> Any:
        """Perform a write, with faults."""
        self._interleave()
        if self.outage:
            return Error(Unavailable("outage", False))
        fault = self._write_fault()
        if fault == "crash_before" and name in NAMES:
            raise Crashed
        if fault == "refuse":
            return Error(Unavailable("refused", False))
        if fault == "late":
            self.late_writes.append(effect)
            return Error(Unavailable("no answer", True))
        result = effect()
        self._interleave()
        if fault == "crash_after" and name in NAMES:
            raise Crashed
        if fault == "lose_reply":
            return Error(Unavailable("no answer", True))
        return result

    def read(self, name: str, effect: Callable[[], Result[T, Any]]) -> Any:
        """Perform a read, which fails only during an outage."""
        self._interleave()
        if self.outage:
            return Error(Unavailable("outage", False))
        return effect()

    def record_poll(self, name: str, good: bool) -> None:
        """Record whether a process's latest poll was answered."""
        process = self.processes.get(name)
        if process is not None:
            process.polls_ok = good

    def _client_jobs(self) -> list[ClientJob]:
        jobs = []
        for number in range(self.random.randint(1, 3)):
            job = ClientJob(
                f"job-{number}",
                self.random.choice(sorted(SERVICES)),
                self.random.randint(1, 14),
            )
            if self.random.random() < 0.4:
                job.cancel_at = self.now + self.random.uniform(0, FAULTY_S)
            jobs.append(job)
        return jobs

    def _write_fault(self) -> str:
        if not self.faults or self.random.random() > 0.12:
            return ""
        return self.random.choice(
            ("crash_before", "crash_after", "refuse", "late", "lose_reply")
        )

    def _interleave(self) -> None:
        """Step other actors in the middle of a call, as during a pause."""
        if (
            not self.faults
            or self.call_depth > 1
            or self.random.random() > 0.15
        ):
            return
        self.call_depth += 1
        if self.random.random() < 0.2:
            steps = self.random.randint(30, 120)
        else:
            steps = self.random.randint(1, 6)
        for _ in range(steps):
            self._step()
        self.call_depth -= 1

    def _step(self) -> None:
        self.now += self.random.expovariate(40.0)
        if self.faults and self.random.random() < 0.01:
            self._change_faults()
        if self.late_writes and self.random.random() < 0.05:
            late = self.late_writes.pop(
                self.random.randrange(len(self.late_writes))
            )
            late()
        if self.random.random() < 0.1:
            self._step_client()
        self._reboot()
        ready = [
            p
            for p in self.processes.values()
            if not p.busy and p.paused_until <= self.now
        ]
        for process in ready:
            self.last_seen[process.name] = (process.incarnation, self.now)
        if ready:
            self._step_process(self.random.choice(ready))
        if self.active and self.random.random() < 0.3:
            self._step_engine()

    def _change_faults(self) -> None:
        choice = self.random.random()
        name = self.random.choice(NAMES)
        process = self.processes.get(name)
        if choice < 0.3:
            self.outage = not self.outage
        elif process is not None and choice < 0.7:
            process.paused_until = self.now + self.random.uniform(0.5, 6.0)
        elif process is not None and not process.busy:
            if choice < 0.85:
                self._crash(process)
            else:
                process.runner.begin_drain()

    def _step_process(self, process: Process) -> None:
        process.busy = True
        try:
            kind = self.random.random()
            if kind < 0.35:
                process.runner.step()
            elif kind < 0.55 and process.writer.calls:
                process.writer.calls.pop(0)()
            elif kind < 0.75 and process.poller.calls:
                process.poller.calls.pop(0)()
            elif process.waiting:
                self._dispatch(process)
            if process.runner.drained:
                self._crash(process)
        except Crashed:
            self._crash(process)
        finally:
            process.busy = False

    def _dispatch(self, process: Process) -> None:
        run = self.random.choice(sorted(process.waiting))
        command = process.waiting.pop(run)
        if not process.runner.may_start(command.key):
            process.runner.run_ended(run, RunStopped(Ran.NO))
            return
        process.runner.run_sent(run)
        key = (process.name, process.incarnation, run)
        engine = self.random.randrange(2)
        self.active[key] = EngineRun(process, command, engine)
        self.runs[command.key.job, command.item] += 1
        self._check_cancelled(process, command)

    def _check_cancelled(self, process: Process, command: StartItem) -> None:
        for job in self.jobs:
            acked = job.cancel_acked
            if job_id(CUSTOMER, job.key) != command.key.job or acked is None:
                continue
            if process.polls_ok and self.now > acked + MAX_CANCEL_S:
                self.violations.append(
                    f"{job.key}/{command.item} started "
                    f"{self.now - acked:.2f} s after its cancellation"
                )

    def _step_engine(self) -> None:
        key = self.random.choice(sorted(self.active))
        run = self.active[key]
        choice = self.random.random()
        if not self.faults or choice < 0.8:
            self._end_run(key, RunCompleted({"text": _text(run.command)}))
        elif choice < 0.87:
            self.runs[run.command.key.job, run.command.item] -= 1
            self._end_run(key, RunFailed("busy", Ran.NO))
        elif choice < 0.93:
            self._end_run(key, RunFailed("no sense", Ran.YES))
        elif choice < 0.95:
            self._end_run(key, RunFailed("poisoned", Ran.YES, permanent=True))
        else:
            failed = [
                k for k, r in self.active.items() if r.engine == run.engine
            ]
            for other in failed:
                broken = RunFailed("cut", Ran.MAYBE, lost_backend=True)
                self._end_run(other, broken)

    def _end_run(self, key: tuple[str, int, int], result: RunResult) -> None:
        run = self.active.pop(key)
        run.process.runner.run_ended(run.command.run, result)

    def _stop_run(self, process: Process, number: int) -> None:
        key = (process.name, process.incarnation, number)
        run = self.active.get(key)
        if run is not None and run.command.terms.idempotent:
            self._end_run(key, RunStopped(Ran.MAYBE))

    def _step_client(self) -> None:
        job = self.random.choice(self.jobs)
        ready = [
            p
            for p in self.processes.values()
            if not p.busy and p.paused_until <= self.now
        ]
        if not ready:
            return
        process = self.random.choice(ready)
        process.busy = True
        try:
            self._call(process, job)
        except Crashed:
            self._crash(process)
        finally:
            process.busy = False

    def _call(self, process: Process, job: ClientJob) -> None:
        due = job.cancel_at is not None and job.cancel_at <= self.now
        if job.accepted and due and job.cancel_acked is None:
            name = job_id(CUSTOMER, job.key)
            done = process.manager.cancel(CUSTOMER, name)
            if done.is_ok():
                job.cancel_acked = self.now
            return
        other = job.accepted and self.random.random() < 0.3
        lines = manifest(job, extra=other)
        submission = Submission(
            CUSTOMER, job.key, SERVICES[job.service], self.now + 100
        )
        done_submit = process.manager.submit(submission, io.BytesIO(lines))
        if other and done_submit.is_ok():
            self.violations.append(
                "a different manifest was accepted under the same key"
            )
        if done_submit.is_ok():
            job.accepted = True
        elif not other and isinstance(done_submit.error, KeyTaken):
            self.violations.append(
                "the same manifest was rejected as a conflict"
            )

    def _boot(self, name: str) -> None:
        self.incarnations[name] += 1
        own = Holder(f"batch@{name}", self.incarnations[name])
        table = FaultyTable(self, name)
        objects = FaultyObjects(self, name)
        reader = JobReader(table, objects)
        writer = RetryingWriter(own, table, objects, self._pause)
        closer = JobCloser(
            table, reader, lambda: self.now, lambda _service: 100.0
        )
        store = LotStore(own, table, reader, writer, closer)
        manager = JobManager(
            table, objects, reader, lambda: self.now, self._pause, LOT_ITEMS
        )
        executors = (ManualExecutor(), ManualExecutor())
        runner = JobRunner(
            LotHolder(own, SETTINGS, _terms),
            store,
            closer,
            reader,
            self._fleet,
            self.metrics,
            threading.Event(),
            *executors,
            clock=lambda: self.now,
        )
        process = Process(
            name, own.incarnation, runner, store, manager, *executors
        )
        process.on_stop = lambda number: self._stop_run(process, number)
        runner.attach(process)
        self.processes[name] = process
        self.last_seen[name] = (own.incarnation, self.now)

    def _pause(self, attempt: int, asked_s: float) -> None:
        self.now += self.random.uniform(0.0, 0.3)
        self.call_depth += 1
        for _ in range(
            self.random.randint(0, 5) if self.call_depth < 4 else 0
        ):
            self._step()
        self.call_depth -= 1
        if attempt > 8 and self.faults:
            self.outage = False

    def _fleet(self) -> FleetView:
        live = {
            f"batch@{name}": incarnation
            for name, (incarnation, at) in self.last_seen.items()
            if self.now - at < MEMBER_LAG_S
        }
        if self.faults and self.random.random() < 0.02:
            live.pop(f"batch@{self.random.choice(NAMES)}", None)
        names = tuple(f"batch@{name}" for name in NAMES)
        return FleetView(live, names, len(NAMES) * SETTINGS.window, {})

    def _crash(self, process: Process) -> None:
        if self.processes.get(process.name) is process:
            del self.processes[process.name]
            self.reboot_at[process.name] = self.now + self.random.uniform(
                0.1, 3
            )
        for key in [k for k, r in self.active.items() if r.process is process]:
            del self.active[key]

    def _reboot(self) -> None:
        for name, at in list(self.reboot_at.items()):
            if at <= self.now:
                del self.reboot_at[name]
                self._boot(name)

    def _heal(self) -> None:
        self.faults = False
        self.outage = False
        for process in self.processes.values():
            process.paused_until = 0.0

    def _all_ended(self) -> bool:
        if not all(job.accepted for job in self.jobs):
            return False
        rows = self.platform.all_rows("jobs")
        ended = [
            row.row["ended"] is not None
            for row in rows
            if row.key.startswith("job/")
        ]
        return all(ended)


def manifest(job: ClientJob, extra: bool = False) -> bytes:
    """Return a job's manifest, or one with an additional item."""
    count = job.items + extra
    lines = [json.dumps({"input": f"{job.key}/{n}"}) for n in range(count)]
    return "\n".join(lines).encode()


def _terms(job: OpenJob) -> LotTerms:
    service = SERVICES[job.service]
    return LotTerms(job.customer, service.name, service.idempotent, 3, job.due)


def _text(command: StartItem) -> str:
    return f"{command.key.job}/{command.item}"


__all__ = ["CUSTOMER", "ClientJob", "Crashed", "Simulation"]
