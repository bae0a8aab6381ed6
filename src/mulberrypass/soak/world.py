"""The programs of a run, their stand-ins, and the links between."""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path
from signal import Signals
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from mulberrypass.peer.loop import LoopThread
from mulberrypass.platform.site import (
    PEER_KEY_VARIABLE,
    SETTINGS_VARIABLE,
    HostPort,
)
from mulberrypass.platform.stand_in.engine import EngineApp
from mulberrypass.platform.stand_in.site import (
    desired_document,
    engine_document,
    settings_text,
)
from mulberrypass.platform.stand_in.store import StoreApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.soak.proxy import Link
from mulberrypass.storage.rows import RowKey, Transaction
from mulberrypass.testing.row_state import RowState

NETS = tuple(f"127.0.{number}" for number in range(60, 90))
FRONT, READY, DIRECTORY = 8161, 8167, 8164
STORE_PORT, ENGINE_PORT = 8169, 8080
STORE_HOST = 250
STORE_LINK = 200
ENGINE_LINK, ENGINE_HOST = 50, 150
THREADS = 64
MAX_BODY_BYTES = 8_388_608
EVENTS = 8
EVENT_S = 0.015
SLOTS = 4
GRACE_S = 6
START_TIMEOUT_S = 30.0
POLL_S = 0.05
ZONES = 3


def free_net() -> str:
    """Give a loopback network on which no other soak runs."""
    for net in NETS:
        with contextlib.suppress(OSError):
            socket.create_server((f"{net}.{STORE_HOST}", STORE_PORT)).close()
            return net
    raise OSError("no loopback network is free")


class Instance:
    """One instance: its process, and its link to the store."""

    def __init__(
        self, net: str, number: int, link: Link, folder: Path
    ) -> None:
        self.number = number
        self.link = link
        self.address = f"{net}.{number + 1}"
        self.front = HostPort(self.address, FRONT)
        self.directory = HostPort(self.address, DIRECTORY)
        self.expected_down = True
        self._folder = folder
        self._starts = 0
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self._starts += 1
        name = f"instance-{self.number}"
        settings = self._folder / f"{name}.toml"
        zone = f"zone-{self.number % ZONES}"
        store = f"{self.link.at.host}:{self.link.at.port}"
        text = settings_text(name, self.address, zone, store, GRACE_S)
        settings.write_text(text)
        environ = os.environ | {
            SETTINGS_VARIABLE: str(settings),
            PEER_KEY_VARIABLE: "soak",
        }
        program = "from mulberrypass.programs.site import main; main()"
        with (self._folder / f"{name}.{self._starts}.log").open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", program],
                stdout=log,
                stderr=log,
                env=environ,
            )
        self.expected_down = False

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def send(self, signum: Signals) -> None:
        """Send a signal to the process that was started here."""
        if self._process is not None and self.running:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.expected_down = True
        if self._process is not None and self.running:
            self._process.kill()
            self._process.wait()


class World:
    """All that runs; faults are done to it by the run."""

    def __init__(self, instances: int, engines: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="mulberry-soak-"))
        self.net = free_net()
        self.rows = RowState()
        self.loop = LoopThread("soak-links")
        self.version = 0
        self.apps = [
            EngineApp(f"i-{number}-1", EVENTS, EVENT_S)
            for number in range(engines)
        ]
        self.engine_links = [
            Link(
                self.loop,
                self._at(ENGINE_LINK + number, ENGINE_PORT),
                self._at(ENGINE_HOST + number, ENGINE_PORT),
            )
            for number in range(engines)
        ]
        store = self._at(STORE_HOST, STORE_PORT)
        self.instances = [
            Instance(
                self.net, number, self._store_link(number, store), self.folder
            )
            for number in range(instances)
        ]
        self._store = self._server(StoreApp(self.rows), store)
        self._engines = [
            self._server(app, link.to)
            for app, link in zip(self.apps, self.engine_links, strict=True)
        ]

    def _store_link(self, number: int, store: HostPort) -> Link:
        at = self._at(STORE_LINK + number, STORE_PORT)
        return Link(self.loop, at, store)

    def _at(self, host: int, port: int) -> HostPort:
        return HostPort(f"{self.net}.{host}", port)

    def _server(self, app: Any, at: HostPort) -> HttpServer:
        return HttpServer(app, at.host, at.port, THREADS, MAX_BODY_BYTES)

    def start(self) -> None:
        """Start all, and wait until each instance knows all others."""
        self.loop.start()
        for server in (self._store, *self._engines):
            server.start()
        for link in self.engine_links:
            link.start()
        for number in range(len(self.apps)):
            self.register(number)
        self.publish()
        for instance in self.instances:
            instance.link.start()
            instance.start()

    def end(self) -> None:
        """End all that was started here."""
        for instance in self.instances:
            instance.kill()
            instance.link.stop()
        for link in self.engine_links:
            link.stop()
        for server in (self._store, *self._engines):
            server.stop(0.0)
        self.loop.stop()

    def publish(self) -> int:
        """Write the next version of the configuration; its number."""
        self.version += 1
        self.write("op", "config", desired_document(self.version))
        return self.version

    def register(self, number: int, leaving: bool = False) -> None:
        """Write an engine's entry."""
        at = self.engine_links[number].at
        address = f"{at.host}:{at.port}"
        doc = engine_document(address, SLOTS, leaving)
        self.write("servers", self.apps[number].name, doc)

    def unregister(self, number: int) -> None:
        """Remove an engine's entry; it starts anew under another id."""
        app = self.apps[number]
        key = RowKey("servers", "", app.name)
        self.rows.apply(Transaction(removes=(key,)))
        first, _, boot = app.name.rpartition("-")
        app.name = f"{first}-{int(boot) + 1}"

    def write(self, table: str, key: str, doc: dict[str, Any]) -> None:
        """Write a row as the operator or an engine does."""
        value = json.dumps(doc).encode()
        put = (RowKey(table, "", key), value)
        self.rows.apply(Transaction(puts=(put,)))

    def ended_by_themselves(self) -> list[str]:
        """Name the instances whose process ended though nobody ended it."""
        return [
            instance.address
            for instance in self.instances
            if not instance.running and not instance.expected_down
        ]

    def wait_until(self, holds: Any) -> bool:
        """Wait until something holds; whether it came to that."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if holds():
                return True
            time.sleep(POLL_S)
        return False


__all__ = ["EVENTS", "GRACE_S", "Instance", "World"]
