"""Instances with a stand-in store and engines on raw sockets."""

from __future__ import annotations

from dataclasses import dataclass
import http.client
import io
import itertools
import json
import os
import threading
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.platform.site import HostPort, Site
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RawFaults
from mulberrypass.platform.stand_in.site import SERVICE, engine_document
from mulberrypass.platform.stand_in.store import StoreApp
from mulberrypass.programs.site import SiteProcess
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.storage.rows import RowKey, Transaction
from mulberrypass.testing.row_state import RowState
from tests.quiet import quiet_logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Own to this process, unlike the networks of the other loopback tests.
NETWORK = f"127.9.{os.getpid() % 250}"
FRONT, READY, PEER, STORE, ENGINE = 8161, 8167, 7720, 8169, 8080
STORE_OCTET, ENGINE_OCTET = 250, 100
HOST = "dock.example"
SLOTS = 8
WAIT_TIMEOUT_S = 20.0
RESTART_S = 0.5
READ_BYTES = 65_536
# Addresses of stopped instances stay in use for a while.
OCTETS = itertools.count(1)


@dataclass(slots=True)
class Reply:
    """The response to one request.

    :param status: 0 if the connection ended without an answer
    :param whole: whether the body is complete
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


class _PausedStore(StoreApp):
    """Answers no request while an event isn't set."""

    def __init__(self, rows: RowState, answers: threading.Event) -> None:
        super().__init__(rows)
        self._answers = answers

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        self._answers.wait()
        return super().__call__(environ, start_response)


class RawSiteTest(unittest.TestCase):
    """Starts a store, engines that come back, and instances.

    :cvar routes: routes of the desired state
    :ivar store_answers: the store is silent while this isn't set
    """

    engine_count = 3
    routes: tuple[dict[str, Any], ...] = ()

    def setUp(self) -> None:
        self.rows = RowState()
        self.log = io.StringIO()
        self.addCleanup(quiet_logs)
        self.faults = RawFaults()
        self.engines: list[RawEngine] = []
        self.processes: list[SiteProcess] = []
        self.store_answers = threading.Event()
        self.store_answers.set()
        self._octet = next(OCTETS)
        self._numbers = itertools.count(1)
        self._closing = threading.Event()
        self._serve_store()
        self._write("op", "config", self._desired())
        for slot in range(self.engine_count):
            self.start_engine(slot)
        self.addCleanup(self._close_engines)

    def start_engine(self, slot: int) -> RawEngine:
        """Start an engine under a new name, and again when it has ended."""
        at = HostPort(f"{NETWORK}.{ENGINE_OCTET + slot}", ENGINE + self._octet)
        name = f"i-{next(self._numbers)}"
        app = RawEngine(name, at, faults=self.faults)
        app.start()
        self.engines.append(app)
        doc = engine_document(f"{at.host}:{at.port}", SLOTS)
        self._write("servers", name, json.dumps(doc).encode())
        threading.Thread(
            target=self._restart, args=(app, slot), daemon=True
        ).start()
        return app

    def start_instance(self, grace_s: float = 1.2) -> str:
        """Start an instance, and return its address once it is ready."""
        octet = next(OCTETS)
        address = f"{NETWORK}.{octet}"
        process = SiteProcess(
            Site(
                name=f"frontend-{octet}",
                zone="a",
                address=address,
                first_start=True,
                front=HostPort(address, FRONT),
                ready=HostPort(address, READY),
                directory=None,
                peer_port=PEER,
                store=HostPort(f"{NETWORK}.{STORE_OCTET}", self._store_port),
                contact_s=3.0,
                grace_s=grace_s,
                drain_s=2.0,
                apply_s=2.0,
                max_ttl_s=5.0,
                cancel_s=3.0,
            ),
            self.log,
        )
        process.start()
        self.processes.append(process)
        self.addCleanup(end_threads, process)
        self.addCleanup(process.stop)
        self.wait_until(lambda: _ready(address))
        return address

    def send(
        self,
        address: str,
        path: str,
        parts: str,
        number: int,
        body: bytes | None = None,
    ) -> Reply:
        """Send a request whose prompt has shared parts and one of its own.

        :param body: what to send; ``None`` for a body of its own
        """
        prefix = [f"{part}:100" for part in parts.split()]
        headers = {
            "Host": HOST,
            "X-Mulberrypass-Request-Id": f"r{number}",
            "X-Mulberrypass-Deadline-Ms": "4000",
            "X-Mulberrypass-Token-Counts": "300,20",
            "X-Mulberrypass-Prompt-Prefix": ",".join(
                (*prefix, f"{0xD00000 + number:x}:100")
            ),
        }
        conn = http.client.HTTPConnection(address, FRONT, timeout=10)
        try:
            if body is None:
                body = f"{parts} {number}".encode()
            conn.request("POST", path, body, headers)
            resp = conn.getresponse()
            found = {name.lower(): value for name, value in resp.getheaders()}
            return Reply(resp.status, found, *_read_body(resp))
        except http.client.RemoteDisconnected:
            return Reply(0, {}, b"", whole=False)
        finally:
            conn.close()

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end, "waited too long")
            time.sleep(0.05)

    @property
    def ended(self) -> list[RawEngine]:
        """The engines that have ended."""
        return [engine for engine in self.engines if engine.ended.is_set()]

    def _serve_store(self) -> None:
        self._store_port = STORE + self._octet
        server = HttpServer(
            _PausedStore(self.rows, self.store_answers),
            f"{NETWORK}.{STORE_OCTET}",
            self._store_port,
            64,
            2_000_000,
        )
        server.start()
        self.addCleanup(server.stop, 0.0)

    def _restart(self, app: RawEngine, slot: int) -> None:
        app.ended.wait()
        if self._closing.wait(RESTART_S):
            return
        removed = RowKey("servers", "", app.name)
        self.rows.apply(Transaction(removes=(removed,)))
        self.start_engine(slot)

    def _close_engines(self) -> None:
        self._closing.set()
        self.store_answers.set()
        for engine in self.engines:
            engine.end()

    def _write(self, table: str, name: str, value: bytes) -> None:
        put = (RowKey(table, "", name), value)
        self.rows.apply(Transaction(puts=(put,)))

    def _desired(self) -> bytes:
        services = [{"Name": SERVICE, "Engine": {"Stride": 1}}]
        doc = {"Version": 3, "Routes": self.routes, "Services": services}
        return json.dumps(doc).encode()


def _read_body(resp: http.client.HTTPResponse) -> tuple[bytes, bool]:
    """Return what came of a body, and whether its end looked like one."""
    if resp.length is not None or resp.chunked:
        try:
            return resp.read(), True
        except http.client.IncompleteRead as exc:
            return exc.partial, False
    body = b""
    try:
        while part := resp.read1(READ_BYTES):
            body += part
    except ConnectionResetError:
        return body, False
    return body, True


def stream_route(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route for streams, of a desired state."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "RouteType": "streaming",
        "Service": SERVICE,
        "TimeoutMs": 4_000,
        "TargetLatencyMs": 2_000,
        "MaxAttempts": 2,
    } | fields


def end_threads(process: SiteProcess) -> None:
    """End what only the exit of a process would end, after its stop."""
    for follower in process._followers:
        follower.stop()
    process._watch.stop()
    process._permits.stop()
    process._owner.stop()
    process._membership.stop()
    process._loop.stop()
    for server in process._aux_servers:
        server.stop(0.0)


def _ready(address: str) -> bool:
    conn = http.client.HTTPConnection(address, READY, timeout=5)
    try:
        conn.request("GET", "/readyz")
        return conn.getresponse().status == 200
    except OSError:
        return False
    finally:
        conn.close()


__all__ = ["RawSiteTest", "Reply", "end_threads", "stream_route"]
