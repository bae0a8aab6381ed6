"""Pool of the item runs of one process, each on a thread of its own."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
import threading
import time
from typing import TYPE_CHECKING, Protocol

import xxhash

from mulberrypass.jobs.manifest import read_item
from mulberrypass.jobs.run import ItemRun, RunHooks, RunTask
from mulberrypass.model.objects import BackendKind, ServiceKind
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.items import RunCompleted, RunFailed, RunStopped
from mulberrypass.policy.placement.canary import route_version
from mulberrypass.policy.prefix import prefix_hashes
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.api import ModelEngine, PlainService
    from mulberrypass.jobs.manifest import Item
    from mulberrypass.model.objects import Backend, Route, Service
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.api import PermitClient
    from mulberrypass.policy.jobs.commands import StartItem
    from mulberrypass.policy.jobs.items import RunResult
    from mulberrypass.policy.jobs.jobs import Holder
    from mulberrypass.policy.jobs.lots import LotKey

LOG = get_logger(__name__)
CANCEL_THREADS = 4


class EngineClients(Protocol):
    """Provides the clients of backend servers."""

    def engine(self, backend: Backend) -> ModelEngine:
        """Return the client of a model engine."""

    def plain(self, backend: Backend) -> PlainService:
        """Return the client of a plain service's server."""


@dataclass(slots=True)
class _LiveRun:
    command: StartItem
    run: ItemRun | None = None
    stopped: bool = False
    beside_suspect: bool = False
    backend: str = ""
    started: float = field(default_factory=time.monotonic)


@value_class
class RunState:
    """State of a run as shown in dumps.

    :param backend: empty while it waits for a permit
    """

    run: int
    job: str
    item: int
    backend: str
    stopped: bool
    age_s: float


class ItemRunPool:
    """Starts and stops runs, and reports the end of each.

    :param read_line: returns the line of an item of a held lot
    :param may_start: returns whether an item of a lot may be sent now
    :param on_sent: called with each run whose work is about to be sent
    :param on_ended: called with each run's number and result, on the run's
        thread
    :param threads: number of runs at once
    """

    def __init__(
        self,
        own: Holder,
        configuration: ConfigurationSource,
        clients: EngineClients,
        permits: PermitClient,
        read_line: Callable[[LotKey, int], bytes | None],
        may_start: Callable[[LotKey], bool],
        on_sent: Callable[[int], None],
        on_ended: Callable[[int, RunResult], None],
        threads: int,
    ) -> None:
        self._own = own
        process = f"{own.name}/{own.incarnation}".encode()
        self._process = xxhash.xxh64_hexdigest(process)
        self._configuration = configuration
        self._clients = clients
        self._permits = permits
        self._read_line = read_line
        self._may_start = may_start
        self._on_sent = on_sent
        self._on_ended = on_ended
        self._lock = threading.Lock()
        self._live: dict[int, _LiveRun] = {}
        self._pool = ThreadPoolExecutor(threads, "item")
        self._cancels = ThreadPoolExecutor(CANCEL_THREADS, "cancel")

    def start(self, command: StartItem) -> None:
        """Start a run."""
        with self._lock:
            self._live[command.run] = _LiveRun(command)
        self._pool.submit(self._execute, command)

    def stop(self, number: int) -> None:
        """Stop a run; its end is still reported."""
        with self._lock:
            live = self._live.get(number)
            if live is None:
                return
            live.stopped = True
            run = live.run
        if run is not None:
            run.stop()

    def state(self) -> tuple[RunState, ...]:
        """Return the states for dumps, the oldest runs first."""
        now = time.monotonic()
        with self._lock:
            live_runs = list(self._live.values())
        runs = [
            RunState(
                live.command.run,
                live.command.key.job,
                live.command.item,
                live.backend,
                live.stopped,
                round(now - live.started, 3),
            )
            for live in live_runs
        ]
        return tuple(sorted(runs, key=lambda run: -run.age_s))

    def close(self) -> None:
        """Shut down the threads without waiting for them."""
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._cancels.shutdown(wait=False, cancel_futures=True)

    def _execute(self, command: StartItem) -> None:
        result: RunResult = RunFailed("the run failed", Ran.MAYBE)
        try:
            result = self._run(command)
            if not isinstance(result, RunCompleted):
                LOG.debug(
                    "run ended",
                    job=command.key.job,
                    item=command.item,
                    result=repr(result),
                )
        except Exception:
            LOG.exception("run failed", job=command.key.job, item=command.item)
        finally:
            with self._lock:
                del self._live[command.run]
            self._on_ended(command.run, result)

    def _run(self, command: StartItem) -> RunResult:
        cfg = self._configuration.current()
        service = cfg.services.get(command.terms.service)
        line = self._read_line(command.key, command.item)
        if service is None or line is None:
            return RunStopped(Ran.NO)
        task = self._task(command, service, read_item(line, service))
        run = ItemRun(
            task, self._own.name, self._permits, self._hooks(command)
        )
        with self._lock:
            live = self._live[command.run]
            live.run = run
            if live.stopped:
                return RunStopped(Ran.NO)
        return run.execute()

    def _task(
        self, command: StartItem, service: Service, item: Item
    ) -> RunTask:
        route = self._route(command, service)
        prefix: tuple[int, ...] = ()
        if service.kind is ServiceKind.MODEL:
            prefix = prefix_hashes(str(item.payload))
        return RunTask(
            request_id=self._request_id(command),
            customer=command.terms.customer,
            service=service,
            item=item,
            route=route,
            prefix=prefix,
            avoid=(*command.avoid, *self._backends_in_use(command)),
            budget_s=command.terms.due - time.time(),
        )

    def _request_id(self, command: StartItem) -> str:
        item = f"{command.key.job}.{command.item}"
        return f"{item}.{self._process}.{command.run}"

    def _route(self, command: StartItem, service: Service) -> Route | None:
        cfg = self._configuration.current()
        customer = cfg.customers.get(command.terms.customer)
        if customer is None:
            return None
        name = f"{command.key.job}/{command.item}".encode()
        digest = xxhash.xxh64_intdigest(name)
        return route_version(service, customer, digest)

    def _backends_in_use(self, command: StartItem) -> tuple[str, ...]:
        with self._lock:
            return tuple(
                live.backend
                for live in self._live.values()
                if live.backend
                and live.command.key == command.key
                and live.command.item == command.item
            )

    def _hooks(self, command: StartItem) -> RunHooks:
        return RunHooks(
            may_start=lambda: self._may_start(command.key),
            model=self._model,
            plain=self._plain,
            assigned=lambda backend: self._assigned(command, backend),
            beside_suspect=lambda: self._beside_suspect(command),
            defer=self._defer,
        )

    def _defer(self, call: Callable[[], object]) -> None:
        self._cancels.submit(call)

    def _assigned(self, command: StartItem, backend: str) -> None:
        self._on_sent(command.run)
        with self._lock:
            own = self._live[command.run]
            own.backend = backend
            if not command.suspect:
                return
            for live in self._live.values():
                shares_backend = (
                    live.command.suspect and live.backend == backend
                )
                if shares_backend and live is not own:
                    live.beside_suspect = own.beside_suspect = True

    def _beside_suspect(self, command: StartItem) -> bool:
        with self._lock:
            return self._live[command.run].beside_suspect

    def _backend(self, name: str, kind: BackendKind) -> Backend | None:
        backend = self._configuration.current().backends.get(name)
        if backend is None or backend.kind is not kind:
            return None
        return backend

    def _model(self, name: str) -> ModelEngine | None:
        backend = self._backend(name, BackendKind.ENGINE)
        return None if backend is None else self._clients.engine(backend)

    def _plain(self, name: str) -> PlainService | None:
        backend = self._backend(name, BackendKind.PLAIN)
        return None if backend is None else self._clients.plain(backend)


__all__ = ["EngineClients", "ItemRunPool", "RunState"]
