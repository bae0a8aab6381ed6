"""Stand-ins that the contract of the platform's interfaces is tested on."""

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
    """A clock that moves only when it is told to."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        """Move on."""
        self.now += seconds


@dataclass(frozen=True, slots=True)
class Subject:
    """The four interfaces over one stand-in."""

    name: str
    clock: FakeClock
    platform: FakePlatform
    table: Table
    objects: Objects
    instances: InstanceList
    weights: WeightStore


def maybe_applied(error: object) -> bool:
    """Tell of an ``Unavailable`` whether it may have been applied."""
    if not isinstance(error, Unavailable):
        raise AssertionError(f"{error!r} is not Unavailable")
    return error.maybe_applied


def in_process(seed: int = 0) -> Subject:
    """Give the interfaces within this process."""
    clock = FakeClock()
    platform = FakePlatform(
        clock, clock.sleep, seed, weights_bytes_per_s=1_000.0
    )
    return Subject(
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
    """Serve a stand-in until the test case ends.

    :returns: the port
    """
    logging.getLogger("waitress").setLevel(logging.ERROR)
    app = PlatformApp(platform, key).wsgi()
    server = HttpServer(app, HOST, 0, 4, MAX_BODY_BYTES)
    server.start()
    case.addCleanup(server.stop, 0.0)
    return server.port


def over_http(case: unittest.TestCase) -> Subject:
    """Give the interfaces over HTTP."""
    inner = in_process()
    port = serve(case, inner.platform, "secret")
    clients = open_platform(Endpoint(HOST, port, "secret"))
    case.addCleanup(clients.close)
    return Subject(
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
    "Subject",
    "in_process",
    "maybe_applied",
    "over_http",
    "serve",
]
