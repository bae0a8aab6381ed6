"""``mulberry-entry``: callers' online requests and engines' owners."""

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
from mulberrypass.runtime.http import Route, WsgiApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.ports import ENTRY_PORT, ENTRY_STREAM_PORT
from mulberrypass.runtime.settings import load

PROGRAM = "mulberry-entry"
LOG = get_logger(__name__)
ATTEMPTS_PER_REQUEST = 2
RUN_POLL_S = 0.05


class EntrySettings(DaemonSettings):
    """What the entry program is told."""

    short_threads: int = Field(
        default=96, ge=2, description="short requests answered at once"
    )
    stream_threads: int = Field(
        default=128, ge=2, description="streams answered at once"
    )
    recorded_limit: int = Field(
        default=128, ge=1, description="recorded requests run at once"
    )
    drain_linger_s: float = Field(
        default=12.0,
        ge=0.0,
        description="seconds that a planned stop goes on taking requests, "
        "since callers keep an address for a while",
    )


class EntryProcess(Process):
    """The parts of one entry process, wired together."""

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
        self._server = common.serve(PermitStreams(self._owner))
        at_once = cfg.short_threads + cfg.stream_threads + cfg.recorded_limit
        self._attempts = ThreadPoolExecutor(
            at_once * ATTEMPTS_PER_REQUEST, "attempt"
        )
        self._runners = ThreadPoolExecutor(cfg.recorded_limit, "recorded")
        policy = SharedPolicy()
        tools = OnlineDependencies(
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
            tools, records, self._runners, cfg.recorded_limit
        )
        self._sweeper = Sweeper(
            common.me,
            common.membership,
            common.follower,
            records,
            self._runs,
        )
        calls = OnlineCalls(common.follower, tools, records, self._runs)
        self._short = self._port(
            calls, ENTRY_PORT, cfg.short_threads, streams_part=0.25
        )
        self._streams = self._port(
            calls, ENTRY_STREAM_PORT, cfg.stream_threads, streams_part=0.9
        )
        dump = common.dump
        dump.register("owner", self._owner.state)
        dump.register("permits", self._permits.state)
        dump.register("engines", self._watch.state)
        dump.register("recorded", self._runs.state)
        dump.register("retries", policy.state)

    def _port(
        self,
        calls: OnlineCalls,
        port: int,
        threads: int,
        streams_part: float,
    ) -> HttpServer:
        common = self._common
        shares = PortShares(
            ThreadShareSettings(threads, stream_part=streams_part)
        )
        common.dump.register(f"threads_{port}", shares.state)
        addresses = Addresses(common.membership, common.follower)
        health = Health(common.follower, common.dump, self._not_ready)
        explain = Explain(common.follower, self._owner)
        app = WsgiApp(
            (
                Route(
                    "POST",
                    "/v1/services/{service}/requests",
                    calls.handler(shares),
                ),
                Route("GET", "/v1/requests/{request_id}", calls.get),
                Route("GET", "/v1/addresses", addresses.get),
                Route("GET", "/debug/explain", explain.get),
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
        """Start all parts, those that face callers last."""
        self._common.start(self._server)
        self._owner.start()
        self._watch.start()
        self._permits.start()
        self._sweeper.start()
        self._short.start()
        self._streams.start()
        LOG.info("serving", address=str(self._cfg.address))

    def stop(self) -> bool:
        """Stop as planned: cut off no request.

        :returns: whether everything in flight came to its end
        """
        cfg = self._cfg
        LOG.info("draining", linger_s=cfg.drain_linger_s)
        self._draining = True
        self._common.membership.leave()
        self._sweeper.stop()
        time.sleep(cfg.drain_linger_s)
        end = time.monotonic() + cfg.grace_s
        whole = self._short.stop(max(0.0, end - time.monotonic()))
        whole &= self._streams.stop(max(0.0, end - time.monotonic()))
        while self._runs.in_flight and time.monotonic() < end:
            time.sleep(RUN_POLL_S)
        whole &= self._runs.in_flight == 0
        self._runs.stop()
        self._watch.stop()
        self._permits.stop()
        self._owner.stop()
        self._common.stop(self._server)
        self._backends.close()
        LOG.info("stopped", whole=whole)
        return whole


def main() -> None:
    """Serve callers until a stop signal."""
    cfg = load(PROGRAM, EntrySettings, sys.argv[1:], os.environ)
    run(lambda: EntryProcess(cfg))


__all__ = ["EntryProcess", "EntrySettings", "main"]
