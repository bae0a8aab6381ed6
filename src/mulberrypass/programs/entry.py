"""``mulberry-entry``: serves online requests and owns admission cells."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import os
import sys
import time

from pydantic import Field

from mulberrypass.caller.addresses import Addresses
from mulberrypass.caller.explain import Explain
from mulberrypass.caller.health import Health
from mulberrypass.caller.online import OnlineCalls, PortShares
from mulberrypass.caller.online_body import MAX_BODY_BYTES
from mulberrypass.engine.clients import BackendClients
from mulberrypass.engine.watch import EngineWatch
from mulberrypass.online.execution import OnlineDependencies, new_ask_numbers
from mulberrypass.online.recorded import RecordedRuns
from mulberrypass.online.records import Records
from mulberrypass.online.recovery import Sweeper
from mulberrypass.online.shared import SharedPolicy
from mulberrypass.peer.owner import CellOwner
from mulberrypass.peer.permit_client import PeerPermitClient
from mulberrypass.peer.permit_streams import PermitStreams
from mulberrypass.policy.online.shares import ThreadShareSettings
from mulberrypass.programs.daemon import DaemonSettings
from mulberrypass.programs.session import Process, run
from mulberrypass.programs.wiring import open_common
from mulberrypass.runtime.http import HttpRoute, WsgiApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.ports import ENTRY_PORT, ENTRY_STREAM_PORT
from mulberrypass.runtime.settings import load

PROGRAM = "mulberry-entry"
LOG = get_logger(__name__)
ATTEMPTS_PER_REQUEST = 2
RUN_POLL_S = 0.05


class EntrySettings(DaemonSettings):
    """Settings of mulberry-entry."""

    short_threads: int = Field(
        default=96, ge=2, description="short requests handled concurrently"
    )
    stream_threads: int = Field(
        default=128, ge=2, description="streams served concurrently"
    )
    recorded_limit: int = Field(
        default=128, ge=1, description="recorded requests run concurrently"
    )
    drain_linger_s: float = Field(
        default=12.0,
        ge=0.0,
        description="seconds that a planned stop continues to accept "
        "requests, since callers cache addresses for a while",
    )


class EntryProcess(Process):
    """Builds and runs the components of an entry process."""

    def __init__(self, cfg: EntrySettings) -> None:
        common = open_common("entry", cfg)
        self._cfg = cfg
        self._common = common
        self._draining = False
        self._backends = BackendClients(cfg.engine_tls())
        common.follower.subscribe(self._backends.apply)
        key = cfg.peer_key.get_secret_value()
        self._owner = CellOwner(
            common.me, common.membership, common.follower, common.metrics
        )
        self._watch = EngineWatch(
            common.me,
            common.membership,
            common.follower,
            self._backends,
            self._owner,
        )
        self._permits = PeerPermitClient(
            common.me,
            common.loop,
            common.membership,
            common.follower,
            self._owner,
            key,
            metrics=common.metrics,
            tls=common.peer_tls,
        )
        self._server = common.make_peer_server(PermitStreams(self._owner))
        max_requests = (
            cfg.short_threads + cfg.stream_threads + cfg.recorded_limit
        )
        self._attempts = ThreadPoolExecutor(
            max_requests * ATTEMPTS_PER_REQUEST, "attempt"
        )
        self._runners = ThreadPoolExecutor(cfg.recorded_limit, "recorded")
        policy = SharedPolicy()
        dependencies = OnlineDependencies(
            member=common.me.name,
            permits=self._permits,
            backends=self._backends,
            configuration=common.follower,
            executor=self._attempts,
            metrics=common.metrics,
            policy=policy,
            ask_numbers=new_ask_numbers(),
        )
        records = Records(common.table, common.me.name, common.me.incarnation)
        self._runs = RecordedRuns(
            dependencies, records, self._runners, cfg.recorded_limit
        )
        self._sweeper = Sweeper(
            common.me,
            common.membership,
            common.follower,
            records,
            self._runs,
        )
        calls = OnlineCalls(common.follower, dependencies, records, self._runs)
        self._short = self._make_server(
            calls, ENTRY_PORT, cfg.short_threads, stream_share=0.25
        )
        self._streams = self._make_server(
            calls, ENTRY_STREAM_PORT, cfg.stream_threads, stream_share=0.9
        )
        dump = common.dump
        dump.register("owner", self._owner.state)
        dump.register("permits", self._permits.state)
        dump.register("engines", self._watch.state)
        dump.register("recorded", self._runs.state)
        dump.register("retries", policy.state)

    def _make_server(
        self,
        calls: OnlineCalls,
        port: int,
        threads: int,
        stream_share: float,
    ) -> HttpServer:
        common = self._common
        shares = PortShares(
            ThreadShareSettings(threads, stream_part=stream_share)
        )
        common.dump.register(f"threads_{port}", shares.state)
        addresses = Addresses(common.membership, common.follower)
        health = Health(common.follower, common.dump, self._not_ready)
        explain = Explain(common.follower, self._owner)
        app = WsgiApp(
            (
                HttpRoute(
                    "POST",
                    "/v1/services/{service}/requests",
                    calls.handler(shares),
                ),
                HttpRoute("GET", "/v1/requests/{request_id}", calls.get),
                HttpRoute("GET", "/v1/addresses", addresses.get),
                HttpRoute("GET", "/debug/explain", explain.get),
                *health.routes(),
            )
        )
        address = str(self._cfg.address)
        return HttpServer(app, address, port, threads, MAX_BODY_BYTES)

    def _not_ready(self) -> str:
        if self._draining:
            return "the process is being stopped"
        return self._common.not_ready()

    def start(self) -> None:
        """Start all components, the caller-facing servers last."""
        self._common.start(self._server)
        self._owner.start()
        self._watch.start()
        self._permits.start()
        self._sweeper.start()
        self._short.start()
        self._streams.start()
        LOG.info("serving", address=str(self._cfg.address))

    def stop(self) -> bool:
        """Finish the requests in flight, then stop.

        :returns: whether all work in flight has finished
        """
        cfg = self._cfg
        LOG.info("draining", linger_s=cfg.drain_linger_s)
        self._draining = True
        self._common.membership.leave()
        self._sweeper.stop()
        time.sleep(cfg.drain_linger_s)
        deadline = time.monotonic() + cfg.grace_s
        finished = self._short.stop(max(0.0, deadline - time.monotonic()))
        finished &= self._streams.stop(max(0.0, deadline - time.monotonic()))
        while self._runs.in_flight and time.monotonic() < deadline:
            time.sleep(RUN_POLL_S)
        finished &= self._runs.in_flight == 0
        self._runs.stop()
        self._watch.stop()
        self._permits.stop()
        self._owner.stop()
        self._common.stop(self._server)
        self._backends.close()
        LOG.info("stopped", whole=finished)
        return finished


def main() -> None:
    """Serve callers until a stop signal arrives."""
    cfg = load(PROGRAM, EntrySettings, sys.argv[1:], os.environ)
    run(lambda: EntryProcess(cfg))


__all__ = ["EntryProcess", "EntrySettings", "main"]
