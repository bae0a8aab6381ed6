"""The routes and engines that this process uses."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.model.objects import (
    Backend,
    BackendKind,
    Configuration,
    Customer,
    Pool,
)
from mulberrypass.model.routes import RelayService, RouteTable
from mulberrypass.model.source import ConfigurationSource
from mulberrypass.policy.access import priority_weight
from mulberrypass.relay.departures import DepartureGuard
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from mulberrypass.model.routes import RegisteredEngine

LOG = get_logger(__name__)


class Directory(ConfigurationSource):
    """Holds the newest routes and the registered engines.

    The version of the routes never decreases. Pool owners see a
    configuration with one pool per service, which contains the engines that
    accept new work. A service that is dropped keeps its pool as long as it has
    engines, as answers that it has begun end there; no route leads to it.

    :param departures: knows the engines that have said that they leave
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        departures: DepartureGuard | None = None,
    ) -> None:
        self._clock = clock
        self._departures = departures or DepartureGuard()
        self._lock = threading.Lock()
        self._routes = RouteTable()
        self._services: dict[str, RelayService] = {}
        self._engines: dict[str, RegisteredEngine] = {}
        self._current = Configuration()
        self._generation = 0
        self._subscribers: list[Callable[[Configuration], None]] = []
        self._applied_at = clock()
        self._departures.subscribe(self._publish)

    def routes(self) -> RouteTable:
        """Return the routes in force; version 0 before the first."""
        return self._routes

    def engine(self, name: str) -> RegisteredEngine | None:
        """Return an engine, or ``None`` if it may not get new work."""
        found = self._engines.get(name)
        if found is None or found.leaving or self._departures.leaves(found):
            return None
        return found

    def takes_work(self, service: str, avoid: Collection[str] = ()) -> bool:
        """Return whether a service has an engine that may get new work.

        :param avoid: engines that don't count
        """
        pool = self._current.pools.get(service)
        return pool is not None and any(e not in avoid for e in pool.backends)

    def engine_names(self) -> frozenset[str]:
        """Return the registered engines that haven't said that they leave."""
        leaves = self._departures.leaves
        engines = self._engines.values()
        return frozenset(e.name for e in engines if not leaves(e))

    def count_said_to_leave(self) -> int:
        """Return the number of registered engines that have said so."""
        return len(self._engines) - len(self.engine_names())

    def current(self) -> Configuration:
        """Return the pools of engines that accept new work."""
        return self._current

    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        """Register a callback; it runs on the thread that made the change."""
        self._subscribers.append(changed)

    def apply_routes(self, table: RouteTable) -> bool:
        """Put routes in force if they are newer.

        :returns: whether they were newer
        """
        with self._lock:
            if table.version <= self._routes.version:
                return False
            self._routes = table
            self._applied_at = self._clock()
        LOG.info(
            "configuration in force",
            version=table.version,
            routes=len(table.routes),
        )
        self._publish()
        return True

    def set_engines(self, engines: Iterable[RegisteredEngine]) -> None:
        """Replace the set of registered engines."""
        with self._lock:
            before = self._engines
            self._engines = {engine.name: engine for engine in engines}
            self._log_changes(before, self._engines)
            self._departures.forget(self._engines)
        self._publish()

    def state(self) -> dict[str, Any]:
        """Return routes and engines for a state dump."""
        table = self._routes
        return {
            "version": table.version,
            "age_s": round(self._clock() - self._applied_at, 3),
            "routes": [route.name for route in table.routes],
            "customers": sorted(table.customers or ()),
            "engines": {
                name: self._state_of(engine)
                for name, engine in self._engines.items()
            },
        }

    def _state_of(self, engine: RegisteredEngine) -> str:
        if self._departures.leaves(engine):
            return "leaving, as it says"
        return "leaving" if engine.leaving else "ready"

    def _log_changes(
        self,
        before: dict[str, RegisteredEngine],
        after: dict[str, RegisteredEngine],
    ) -> None:
        for name in before.keys() - after.keys():
            LOG.info("engine gone", engine=name)
        for name, engine in after.items():
            previous = before.get(name)
            if previous is None or previous.leaving != engine.leaving:
                LOG.info(
                    "engine leaving" if engine.leaving else "engine ready",
                    engine=name,
                    address=engine.address,
                    service=engine.service,
                )

    def _publish(self) -> None:
        with self._lock:
            self._generation += 1
            self._services = self._services_in_use()
            self._current = self._configuration()
            current = self._current
        for changed in self._subscribers:
            changed(current)

    def _services_in_use(self) -> dict[str, RelayService]:
        """Return the services of the routes, and former ones with engines."""
        registered = {engine.service for engine in self._engines.values()}
        former = {
            name: service
            for name, service in self._services.items()
            if name in registered
        }
        return former | dict(self._routes.services)

    def _configuration(self) -> Configuration:
        services = self._services
        usable = [
            engine
            for engine in self._engines.values()
            if engine.service in services
            and not engine.leaving
            and not self._departures.leaves(engine)
        ]
        backends = {
            engine.name: Backend(
                name=engine.name,
                kind=BackendKind.ENGINE,
                zone=engine.zone,
                address=engine.address,
                slots=engine.slots,
                kv_tokens=services[engine.service].kv_tokens,
            )
            for engine in usable
        }
        pools = {
            name: Pool(
                name,
                tuple(e.name for e in usable if e.service == name),
            )
            for name in services
        }
        customers = {
            name: Customer(name, (), priority_weight(customer.priority))
            for name, customer in (self._routes.customers or {}).items()
        }
        return Configuration(
            generation=self._generation,
            pools=pools,
            backends=backends,
            customers=customers,
        )


__all__ = ["Directory"]
