"""Polls the engines whose cells this process owns."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import threading
from typing import TYPE_CHECKING

from mulberrypass.model.objects import Backend, BackendKind
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.admission import cells
from mulberrypass.policy.admission.cells import CellKey
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.engine.clients import BackendClients
    from mulberrypass.model.member import Member
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.api import Membership
    from mulberrypass.peer.owner import CellOwner

LOG = get_logger(__name__)
POLL_INTERVAL_S = 1.0
POLL_THREADS = 4
OWNER_PROGRAM = "entry"


@value_class
class EngineWatchState:
    """State of the polling, for the state dump.

    :param cache_sequence: last cache event seen, by engine
    :param silent: engines that returned no load report at the last poll
    """

    cache_sequence: dict[str, int]
    silent: tuple[str, ...]


class EngineWatch:
    """Passes engines' delayed reports to the cell owner as hints.

    The load figures are not used: the owner's own count of granted permits
    is newer. Only the reports tell which versions are loaded, which prefixes
    are cached and whether the engine is leaving.
    """

    def __init__(
        self,
        me: Member,
        membership: Membership,
        configuration: ConfigurationSource,
        backends: BackendClients,
        owner: CellOwner,
    ) -> None:
        self._me = me
        self._membership = membership
        self._configuration = configuration
        self._backends = backends
        self._owner = owner
        self._sequence: dict[str, int] = {}
        self._silent: set[str] = set()
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(POLL_THREADS, "engine-watch")
        self._thread = threading.Thread(
            target=self._run, name="engine-watch", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling, without waiting for the threads."""
        self._stop.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def state(self) -> EngineWatchState:
        """Return the state for the state dump."""
        return EngineWatchState(
            dict(self._sequence), tuple(sorted(self._silent))
        )

    def _run(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S):
            engines = list(self.owned_engines())
            futs = [
                self._pool.submit(self.poll_engine, each) for each in engines
            ]
            for fut in futs:
                exc = fut.exception()
                if exc is not None:
                    LOG.error("engine poll failed", error=str(exc))

    def owned_engines(self) -> Iterator[Backend]:
        """Yield the engines whose cells this process owns."""
        cfg = self._configuration.current()
        live = [m.name for m in self._membership.live(OWNER_PROGRAM)]
        for pool in cfg.pools.values():
            for index, names in enumerate(
                cells.partition_backends(pool.backends)
            ):
                if cells.owner(CellKey(pool.name, index), live) != (
                    self._me.name
                ):
                    continue
                for name in names:
                    backend = cfg.backends.get(name)
                    if backend and backend.kind is BackendKind.ENGINE:
                        yield backend

    def poll_engine(self, backend: Backend) -> None:
        """Read one engine's load report and cache events."""
        engine = self._backends.engine(backend)
        report = engine.load()
        if report.is_error():
            self._silent.add(backend.name)
            return
        self._silent.discard(backend.name)
        if report.ok.leaving:
            self._membership.report_leaving_backend(backend.name)
        if report.ok.versions:
            self._owner.report_loaded(
                backend.name, frozenset(report.ok.versions)
            )
        self._poll_cache_events(backend)

    def _poll_cache_events(self, backend: Backend) -> None:
        engine = self._backends.engine(backend)
        after = self._sequence.get(backend.name, 0)
        events = engine.cache_events(after)
        if events.is_error():
            return
        for event in events.ok:
            self._owner.cache_hint(backend.name, event.stored, event.block)
            self._sequence[backend.name] = event.sequence


__all__ = ["EngineWatch", "EngineWatchState"]
