"""Compares a recorded HTTP session with two instances to a golden file."""

from __future__ import annotations

import base64
from collections import Counter
import contextlib
from dataclasses import dataclass
import http.client
import io
import json
import os
from pathlib import Path
import socket
import time
from typing import TYPE_CHECKING, Any
import unittest
from urllib.parse import urlencode

from mulberrypass.platform.site import HostPort, Site
from mulberrypass.platform.stand_in.engine import EngineApp
from mulberrypass.platform.stand_in.site import SERVICE, engine_document
from mulberrypass.platform.stand_in.store import StoreApp
from mulberrypass.programs.site import SiteProcess
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.storage.rows import RowKey, Transaction
from mulberrypass.testing.row_state import RowState
from tests.quiet import quiet_logs

if TYPE_CHECKING:
    from collections.abc import Callable

GOLDEN = Path(__file__).parents[1] / "golden" / "site" / "session.txt"
NETWORKS = tuple(f"127.0.{number}" for number in range(30, 50))
LOCK_HOST, LOCK_PORT = 254, 8199
FRONT, READY, DIRECTORY, PEER = 8161, 8167, 8164, 7720
STORE, ENGINE = 8169, 8080
WAIT_TIMEOUT_S = 20.0
ONLINE, BATCH = "dock.example", "clerk.example"
RECORDED_HEADERS = (
    "content-type",
    "retry-after",
    "x-mulberrypass-response-stamp",
)


def reserve_network() -> tuple[str, socket.socket]:
    """Reserve a loopback network that no other test run uses.

    :returns: the network, and the socket whose port marks it as in use
    """
    for net in NETWORKS:
        with contextlib.suppress(OSError):
            lock = socket.create_server((f"{net}.{LOCK_HOST}", LOCK_PORT))
            return net, lock
    raise OSError("no loopback network is free")


NETWORK, LOCK = reserve_network()
unittest.addModuleCleanup(LOCK.close)


def desired(version: int, *routes: dict[str, Any]) -> bytes:
    """Return a desired state."""
    engine = {"KvCapacityTokens": 100_000, "Stride": 1}
    services = [{"Name": SERVICE, "MaxConns": 50, "Engine": engine}]
    doc = {"Version": version, "Routes": routes, "Services": services}
    return json.dumps(doc).encode()


def route(name: str, host: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a desired state."""
    return {
        "Name": name,
        "Host": host,
        "Prefix": f"/{name}/",
        "RouteType": "streaming",
        "Service": SERVICE,
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 5_000,
        "MaxAttempts": 2,
    } | fields


@dataclass(slots=True)
class Reply:
    """The response to one call."""

    status: int
    headers: dict[str, str]
    body: bytes


class RecordedSession:
    """Makes calls and records the requests and responses."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def call(
        self,
        instance: int,
        method: str,
        target: str,
        host: str = ONLINE,
        request_id: str = "",
        body: bytes | None = None,
        note: str = "",
    ) -> Reply:
        """Make one call to an instance's front port, on a new connection."""
        headers = {"Host": host}
        if request_id:
            headers["X-Mulberrypass-Request-Id"] = request_id
            headers["X-Mulberrypass-Deadline-Ms"] = "6000"
        reply = fetch(instance, FRONT, method, target, body, headers)
        self.lines.append(f"# {note}" if note else "#")
        self.lines.append(f"{method} {target} at {instance}")
        self.lines.append(f"-> {reply.status}")
        for name in RECORDED_HEADERS:
            if name in reply.headers and name != "retry-after":
                self.lines.append(f"{name}: {reply.headers[name]}")
        self.lines += ["| " + line for line in reply.body.decode().split("\n")]
        return reply


def fetch(
    instance: int,
    port: int,
    method: str,
    target: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Make one call."""
    conn = http.client.HTTPConnection(
        f"{NETWORK}.{instance}", port, timeout=10
    )
    try:
        conn.request(method, target, body, headers or {})
        resp = conn.getresponse()
        names = {name.lower(): value for name, value in resp.getheaders()}
        return Reply(resp.status, names, resp.read())
    finally:
        conn.close()


class SiteSessionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rows = RowState()
        self.log = io.StringIO()
        self._serve(StoreApp(self.rows), 9, STORE)
        self.engines = [EngineApp(f"i-{n}", events=3) for n in (1, 2)]
        for number, app in enumerate(self.engines):
            self._serve(app, 11 + number, ENGINE)
            doc = engine_document(f"{NETWORK}.{11 + number}:{ENGINE}", 4)
            self._write("servers", app.name, json.dumps(doc).encode())
        self._write(
            "op",
            "config",
            desired(
                3,
                route("lookup", ONLINE),
                route("slip", ONLINE, Resumable=True),
                route("crates", BATCH, RouteType="batch", Cap=1_000),
            ),
        )
        self.sites = [self._start(number) for number in (1, 2)]
        self.addCleanup(quiet_logs)
        self._wait_until(lambda: self._ready(1) and self._ready(2))
        self._wait_until(lambda: self._address_count() == 2)

    def _serve(self, app: Any, number: int, port: int) -> None:
        server = HttpServer(app, f"{NETWORK}.{number}", port, 16, 2_000_000)
        server.start()
        self.addCleanup(server.stop, 0.0)

    def _write(self, table: str, name: str, value: bytes) -> None:
        put = (RowKey(table, "", name), value)
        self.rows.apply(Transaction(puts=(put,)))

    def _start(self, number: int) -> SiteProcess:
        address = f"{NETWORK}.{number}"
        process = SiteProcess(
            Site(
                name=f"frontend-{number}",
                zone="a",
                address=address,
                first_start=True,
                front=HostPort(address, FRONT),
                ready=HostPort(address, READY),
                directory=HostPort(address, DIRECTORY),
                peer_port=PEER,
                store=HostPort(f"{NETWORK}.9", STORE),
                contact_s=3.0,
                grace_s=3.0,
                drain_s=2.0,
                apply_s=2.0,
                max_ttl_s=5.0,
                cancel_s=3.0,
            ),
            self.log,
        )
        process.start()
        self.addCleanup(process.stop)
        return process

    def _ready(self, number: int) -> bool:
        return fetch(number, READY, "GET", "/readyz").status == 200

    def _address_count(self) -> int:
        query = urlencode({"Name": ONLINE, "Region": "r", "Zone": "a"})
        reply = fetch(1, DIRECTORY, "GET", f"/resolve?{query}")
        return len(json.loads(reply.body)["Addresses"])

    def _wait_until(self, condition: Callable[[], bool]) -> None:
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end, "waited too long")
            time.sleep(0.05)

    def test_session(self) -> None:
        session = RecordedSession()
        self._online(session)
        self._batch(session)
        self._change(session)
        text = "\n".join(session.lines) + "\n"
        if os.environ.get("WRITE_GOLDEN"):
            GOLDEN.write_text(text)
        self.assertEqual(GOLDEN.read_text(), text)
        runs = sum((app.log.runs for app in self.engines), start=Counter())
        self.assertEqual(1, runs["s1"])
        self.assertEqual(0, runs["lot-1"])

    def _online(self, session: RecordedSession) -> None:
        post = session.call
        post(1, "POST", "/lookup/1", ONLINE, "s1", b"q", "a stream")
        post(2, "POST", "/none/1", ONLINE, "s2", b"q", "no such route")
        for app in self.engines:
            app.faults.cut_after = 2
        post(1, "POST", "/slip/1", ONLINE, "s3", b"q", "moved when cut")
        for app in self.engines:
            app.faults.cut_after = None
            app.faults.full = True
        reply = post(1, "POST", "/lookup/2", ONLINE, "s4", b"q", "all full")
        self.assertGreater(float(reply.headers["retry-after"]), 0)
        for app in self.engines:
            app.faults.full = False
        self.rows.faults.down = True
        post(2, "POST", "/lookup/3", ONLINE, "s5", b"q", "the store is down")
        session.call(
            1, "GET", "/lots/lot-1?After=0", BATCH, note="nobody can be sure"
        )
        self.rows.faults.down = False

    def _batch(self, session: RecordedSession) -> None:
        items = [
            {
                "Id": f"item-{n}",
                "Path": f"/crates/{n}",
                "Headers": {},
                "Body": base64.b64encode(b"body").decode(),
                "Tokens": 100,
            }
            for n in range(3)
        ]
        body = json.dumps({"Items": items[:1]}).encode()
        for note in ("a job", "the same job again"):
            session.call(1, "POST", "/crates/a", BATCH, "lot-1", body, note)
        self._wait_until(lambda: self._result_count(2, "lot-1") == 1)
        session.call(
            2, "GET", "/lots/lot-1?After=0", BATCH, note="read elsewhere"
        )
        large = json.dumps({"Items": [items[1] | {"Tokens": 9_000}]}).encode()
        session.call(
            2, "POST", "/crates/b", BATCH, "lot-2", large, "over the quota"
        )
        session.call(2, "DELETE", "/lots/lot-1", BATCH, note="ended")
        session.call(1, "GET", "/lots/lot-9?After=0", BATCH, note="unknown")

    def _result_count(self, instance: int, job: str) -> int:
        headers = {"Host": BATCH}
        target = f"/lots/{job}?After=0"
        reply = fetch(instance, FRONT, "GET", target, None, headers)
        if reply.status != 200:
            return -1
        return len(json.loads(reply.body)["Results"])

    def _route_dropped(self, instance: int) -> bool:
        """Return whether an instance has dropped the first route."""
        headers = {"Host": ONLINE, "X-Mulberrypass-Request-Id": "x"}
        reply = fetch(instance, FRONT, "POST", "/lookup/9", b"", headers)
        return reply.status == 404

    def _change(self, session: RecordedSession) -> None:
        self._write("op", "config", desired(7, route("other", ONLINE)))
        self._wait_until(
            lambda: self._route_dropped(1) and self._route_dropped(2)
        )
        session.call(
            1, "POST", "/other/1", ONLINE, "s6", b"q", "a route that came"
        )
        session.call(
            2, "POST", "/lookup/1", ONLINE, "s7", b"q", "one that went"
        )
