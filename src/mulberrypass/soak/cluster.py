"""Instances of a run, stand-ins for store and engines, and their links."""

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
    OTHER_SERVICE,
    SERVICE,
    desired_document,
    engine_document,
    settings_text,
)
from mulberrypass.platform.stand_in.store import StoreApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.soak.customers import Setup
from mulberrypass.soak.proxy import Link
from mulberrypass.storage.rows import RowKey, Transaction
from mulberrypass.testing.row_state import RowState

SUBNETS = tuple(f"127.0.{number}" for number in range(60, 90))
FRONT_PORT, READY_PORT, DIRECTORY_PORT = 8161, 8167, 8164
STORE_PORT, ENGINE_PORT = 8169, 8080
# Held for a whole run: a test whether the store's port is free would find
# the same subnet as another run that starts at the same moment.
RESERVATION_PORT = 8170
# Last octets of the addresses; engines and links are numbered upwards.
STORE_OCTET = 250
STORE_LINK_OCTET = 200
ENGINE_LINK_OCTET, ENGINE_OCTET = 50, 150
SERVER_THREADS = 64
# Each instance waits for changes of several tables of the store at once.
STORE_THREADS_PER_INSTANCE = 16
MAX_BODY_BYTES = 8_388_608
EVENTS_PER_ANSWER = 8
EVENT_INTERVAL_S = 0.015
SLOTS_PER_ENGINE = 4
SHARE_VARIABLE = "MULBERRYPASS_REPEAT_SHARE"
# Share of second runs, in runs that have any.
REPEAT_SHARE = 0.1
# How much slower the first engine is for good in runs with uneven engines.
LASTING_SLOWNESS = 2.2
GRACE_S = 6
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
ZONE_COUNT = 3
CONNECT_TIMEOUT_S = 0.2
# Changes of a settings file that a running process may take over; the grace
# stays below the soak's own, after which an instance is killed.
HARMLESS_GRACES_S = (GRACE_S - 1, GRACE_S)
UNKNOWN_SETTING = 'SoakUnknown = "x"'
BROKEN_SETTINGS = (
    b"",
    b"NodeName = ",
    b"[Bounds]\nGraceS = 'x'\n",
    b"\0",
    b"\xff\xfe",
)
# As ``deploy/serve.py``, which the platform starts, so that a signal during
# the imports has no effect. No program can handle one before its first line;
# the file tells that it has got there.
PROGRAM = """
import signal, sys
signal.signal(signal.SIGHUP, signal.SIG_IGN)
open(sys.argv.pop(), "w").close()
from mulberrypass.programs.site import main
main()
"""


def reserve_subnet() -> tuple[str, socket.socket]:
    """Reserve a loopback subnet that no other soak test uses.

    :returns: the subnet, and the socket that reserves it until it is closed
    :raises OSError: if all are in use
    """
    for subnet in SUBNETS:
        host = f"{subnet}.{STORE_OCTET}"
        with contextlib.suppress(OSError):
            reservation = socket.create_server((host, RESERVATION_PORT))
            try:
                socket.create_server((host, STORE_PORT)).close()
            except OSError:
                # Another program listens there.
                reservation.close()
                raise
            return subnet, reservation
    raise OSError("all loopback subnets are in use")


class Instance:
    """An instance: its process and its link to the store."""

    def __init__(
        self,
        subnet: str,
        number: int,
        link: Link,
        folder: Path,
        repeats: bool = False,
    ) -> None:
        self.number = number
        self.link = link
        self.address = f"{subnet}.{number + 1}"
        self.front = HostPort(self.address, FRONT_PORT)
        self.directory = HostPort(self.address, DIRECTORY_PORT)
        self.expected_down = True
        self._folder = folder
        self._repeat_share = REPEAT_SHARE if repeats else 0.0
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start the process with sound settings."""
        name = f"instance-{self.number}"
        self._write_settings(self._settings(GRACE_S))
        environ = os.environ | {
            SETTINGS_VARIABLE: str(self._settings_path),
            PEER_KEY_VARIABLE: "soak",
            SHARE_VARIABLE: str(self._repeat_share),
        }
        log_path = self._folder / f"{name}.{self.boots + 1}.log"
        with log_path.open("wb") as log:
            self._processes.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-c",
                        PROGRAM,
                        str(log_path.with_suffix(".began")),
                    ],
                    stdout=log,
                    stderr=log,
                    env=environ,
                )
            )
        self.expected_down = False

    @property
    def _process(self) -> subprocess.Popen[bytes] | None:
        return self._processes[-1] if self._processes else None

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def listening(self) -> bool:
        """Whether it takes connections, so has read its settings."""
        with contextlib.suppress(OSError):
            socket.create_connection(
                (self.front.host, self.front.port), CONNECT_TIMEOUT_S
            ).close()
            return self.running
        return False

    @property
    def boots(self) -> int:
        """How often it was started."""
        return len(self._processes)

    @property
    def began(self) -> bool:
        """Whether the newest process has run its first line."""
        name = f"instance-{self.number}.{self.boots}.began"
        return (self._folder / name).exists()

    def count_logged(self, text: bytes) -> int:
        """Count a text in the log of the newest process."""
        name = f"instance-{self.number}.{self.boots}.log"
        return (self._folder / name).read_bytes().count(text)

    @property
    def ends(self) -> list[int]:
        """Exit codes of all processes that have ended."""
        codes = [process.poll() for process in self._processes]
        return [code for code in codes if code is not None]

    @property
    def _settings_path(self) -> Path:
        return self._folder / f"instance-{self.number}.toml"

    def change_settings(self, choice: int) -> None:
        """Change the settings in a way that a process may take over."""
        grace_s = HARMLESS_GRACES_S[choice % len(HARMLESS_GRACES_S)]
        unknown = f"{UNKNOWN_SETTING}\n" if choice % 3 else ""
        self._write_settings(unknown.encode() + self._settings(grace_s))

    def break_settings(self, choice: int) -> None:
        """Replace the settings by some that no process can take over."""
        self._write_settings(BROKEN_SETTINGS[choice % len(BROKEN_SETTINGS)])

    def _settings(self, grace_s: int) -> bytes:
        zone = f"zone-{self.number % ZONE_COUNT}"
        store = f"{self.link.address.host}:{self.link.address.port}"
        name = f"instance-{self.number}"
        text = settings_text(name, self.address, zone, store, grace_s)
        return text.encode()

    def _write_settings(self, data: bytes) -> None:
        """Replace the file at once; a starting process may be reading it."""
        new = self._settings_path.with_suffix(".new")
        new.write_bytes(data)
        new.replace(self._settings_path)

    def send(self, signum: Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.running:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.expected_down = True
        if self._process is not None and self.running:
            self._process.kill()
            self._process.wait()


NO_SETUP = Setup()


def _engine(number: int, uneven: bool) -> EngineApp:
    """Return an engine; the first is the slowest of uneven ones."""
    slowest = uneven and number == 0
    return EngineApp(
        f"i-{number}-1",
        EVENTS_PER_ANSWER,
        EVENT_INTERVAL_S * (LASTING_SLOWNESS if slowest else 1.0),
        str(number) if uneven else None,
    )


class SoakCluster:
    """Instances, engines, store and links of a run."""

    def __init__(
        self, instances: int, engines: int, setup: Setup = NO_SETUP
    ) -> None:
        self.customers = setup.customers
        self.folder = Path(tempfile.mkdtemp(prefix="mulberry-soak-"))
        self.subnet, self._reservation = reserve_subnet()
        self.rows = RowState()
        self.loop = LoopThread("soak-links")
        self.version = 0
        self.service = SERVICE
        self._moves = setup.moves
        self._slots = SLOTS_PER_ENGINE
        if setup.moves:
            # Only half of the engines serve at a time, and each answer takes
            # two runs; each service has an engine beside one that fails.
            engines += engines % 2
            self._slots *= 2
        self.apps = [
            _engine(number, setup.uneven) for number in range(engines)
        ]
        for app in self.apps:
            app.faults.unframed = setup.moves
        self.engine_links = [
            Link(
                self.loop,
                self._address(ENGINE_LINK_OCTET + number, ENGINE_PORT),
                self._address(ENGINE_OCTET + number, ENGINE_PORT),
            )
            for number in range(engines)
        ]
        store = self._address(STORE_OCTET, STORE_PORT)
        self.instances = [
            Instance(
                self.subnet,
                number,
                self._store_link(number, store),
                self.folder,
                setup.repeats,
            )
            for number in range(instances)
        ]
        threads = max(SERVER_THREADS, STORE_THREADS_PER_INSTANCE * instances)
        self._store = self._server(StoreApp(self.rows), store, threads)
        self._engines = [
            self._server(app, link.target)
            for app, link in zip(self.apps, self.engine_links, strict=True)
        ]

    def _store_link(self, number: int, store: HostPort) -> Link:
        address = self._address(STORE_LINK_OCTET + number, STORE_PORT)
        return Link(self.loop, address, store)

    def _address(self, octet: int, port: int) -> HostPort:
        return HostPort(f"{self.subnet}.{octet}", port)

    def _server(
        self, app: Any, address: HostPort, threads: int = SERVER_THREADS
    ) -> HttpServer:
        return HttpServer(
            app, address.host, address.port, threads, MAX_BODY_BYTES
        )

    def start(self) -> None:
        """Start servers, links and instances; don't wait until they serve."""
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

    def stop(self) -> None:
        """Stop all instances, links and servers."""
        for instance in self.instances:
            instance.kill()
            instance.link.stop()
        for link in self.engine_links:
            link.stop()
        for server in (*self._engines, self._store):
            server.stop(0.0)
        self.loop.stop()
        self._reservation.close()

    def publish(self) -> int:
        """Write the next configuration version and return its number.

        Each changes the keys of a customer.
        """
        self.version += 1
        tenants = None
        if self.customers is not None:
            self.customers.rotate()
            tenants = self.customers.documents()
        doc = desired_document(self.version, tenants, self.service)
        self.put_row("op", "config", doc)
        return self.version

    def move(self) -> bool:
        """Lead the routes to the other service from the next version on.

        :returns: whether there is another one
        """
        if self._moves:
            others = {SERVICE: OTHER_SERVICE, OTHER_SERVICE: SERVICE}
            self.service = others[self.service]
        return self._moves

    @property
    def services(self) -> dict[str, str]:
        """The service of each engine, by its number."""
        names = (SERVICE, OTHER_SERVICE if self._moves else SERVICE)
        return {str(n): names[n % 2] for n in range(len(self.apps))}

    def register(self, number: int, leaving: bool = False) -> None:
        """Write the entry of an engine."""
        at = self.engine_links[number].address
        address = f"{at.host}:{at.port}"
        service = self.services[str(number)]
        doc = engine_document(address, self._slots, leaving, service)
        self.put_row("servers", self.apps[number].name, doc)

    def unregister(self, number: int) -> None:
        """Remove the entry of an engine and give it a new id."""
        app = self.apps[number]
        key = RowKey("servers", "", app.name)
        self.rows.apply(Transaction(removes=(key,)))
        prefix, _, boot = app.name.rpartition("-")
        app.name = f"{prefix}-{int(boot) + 1}"

    def put_row(self, table: str, key: str, doc: dict[str, Any]) -> None:
        """Write a row as an operator or engine does, bypassing faults."""
        value = json.dumps(doc).encode()
        put = (RowKey(table, "", key), value)
        self.rows.apply(Transaction(puts=(put,)))

    def crashed_instances(self) -> list[str]:
        """Return the addresses of instances that ended unexpectedly."""
        return [
            instance.address
            for instance in self.instances
            if not instance.running and not instance.expected_down
        ]

    def wait_until(self, condition: Any) -> bool:
        """Wait for a condition; return whether it held in time."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(POLL_INTERVAL_S)
        return False


__all__ = ["EVENTS_PER_ANSWER", "GRACE_S", "Instance", "SoakCluster"]
