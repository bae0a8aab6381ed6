"""Implementations of the platform's interfaces for the contract tests."""

from __future__ import annotations

from dataclasses import dataclass
import logging
from typing import TYPE_CHECKING

from mulberrypass.model.store import Unavailable
from mulberrypass.platform.client import open_platform
from mulberrypass.platform.http_client import Endpoint
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.testing.platform_http import PlatformApp
from mulberrypass.testing.platform_memory import (
    MemoryInstanceList,
    MemoryObjects,
    MemoryTable,
    MemoryWeightStore,
)
from mulberrypass.testing.platform_state import FakePlatform

if TYPE_CHECKING:
    import unittest

    from mulberrypass.model.store import (
        InstanceList,
        Objects,
        Table,
        WeightStore,
    )

HOST = "127.0.10.1"
MAX_BODY_BYTES = 10_000_000


class FakeClock:
    """A clock that only moves when told to."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds


@dataclass(frozen=True, slots=True)
class Implementation:
    """The four platform interfaces on one fake platform."""

    name: str
    clock: FakeClock
    platform: FakePlatform
    table: Table
    objects: Objects
    instances: InstanceList
    weights: WeightStore


def maybe_applied(error: object) -> bool:
    """Return whether an ``Unavailable`` may have been applied."""
    if not isinstance(error, Unavailable):
        raise AssertionError(f"{error!r} is not Unavailable")
    return error.maybe_applied


def in_process(seed: int = 0) -> Implementation:
    """Return the interfaces in memory."""
    clock = FakeClock()
    platform = FakePlatform(
        clock, clock.sleep, seed, weights_bytes_per_s=1_000.0
    )
    return Implementation(
        "in process",
        clock,
        platform,
        MemoryTable(platform),
        MemoryObjects(platform),
        MemoryInstanceList(platform),
        MemoryWeightStore(platform),
    )


def serve(
    case: unittest.TestCase, platform: FakePlatform, key: str = ""
) -> int:
    """Serve a fake platform over HTTP until the test ends.

    :returns: the port
    """
    logging.getLogger("waitress").setLevel(logging.ERROR)
    app = PlatformApp(platform, key).wsgi()
    server = HttpServer(app, HOST, 0, 4, MAX_BODY_BYTES)
    server.start()
    case.addCleanup(server.stop, 0.0)
    return server.port


def over_http(case: unittest.TestCase) -> Implementation:
    """Return the interfaces over HTTP."""
    inner = in_process()
    port = serve(case, inner.platform, "secret")
    clients = open_platform(Endpoint(HOST, port, "secret"))
    case.addCleanup(clients.close)
    return Implementation(
        "over HTTP",
        inner.clock,
        inner.platform,
        clients.table,
        clients.objects,
        clients.instances,
        clients.weights,
    )


__all__ = [
    "FakeClock",
    "HOST",
    "Implementation",
    "in_process",
    "maybe_applied",
    "over_http",
    "serve",
]
