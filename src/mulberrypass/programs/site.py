"""``mulberry-site``: the whole system in one process of a site's instance."""

from __future__ import annotations

import logging
import os
from pathlib import Path
import random
import sys
import threading
import time
from typing import TYPE_CHECKING, TextIO

from mulberrypass.batches.codec import HEADS
from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.manager import BatchJobManager
from mulberrypass.batches.store import BatchStore
from mulberrypass.model.member import Member
from mulberrypass.peer.configuration import ConfigurationPeers
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.membership import GossipMembership
from mulberrypass.peer.owner import CellOwner
from mulberrypass.peer.permit_client import PeerPermitClient
from mulberrypass.peer.permit_streams import PermitStreams
from mulberrypass.peer.server import PeerServer
from mulberrypass.platform import desired
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.ingress import (
    AddressApp,
    FrontApp,
    ReadyApp,
    TextApp,
)
from mulberrypass.platform.lots import BatchJobApi, item_request
from mulberrypass.platform.row_client import HttpRowStore
from mulberrypass.platform.site import (
    PEER_KEY_VARIABLE,
    SETTINGS_VARIABLE,
    HostPort,
    SiteError,
    read_site,
)
from mulberrypass.policy.held_bytes import ByteLimits
from mulberrypass.policy.rendezvous import pick
from mulberrypass.programs.session import Process, run
from mulberrypass.programs.site_gauges import register_gauges
from mulberrypass.programs.site_peers import PeerRoutes
from mulberrypass.programs.site_quotas import make_quotas, register_counters
from mulberrypass.programs.site_reload import reload_site
from mulberrypass.programs.site_repeats import (
    connect_timeout_s,
    read_repeat_shares,
)
from mulberrypass.programs.site_settings import (
    CELLS,
    MEMBERSHIP,
    PROGRAM,
    heads_spacing_s,
)
from mulberrypass.relay.catch_up import CatchUp
from mulberrypass.relay.crash_guard import CrashGuard
from mulberrypass.relay.crash_trials import CrashTrials
from mulberrypass.relay.departures import DepartureGuard
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.ending import PlannedEnd
from mulberrypass.relay.followers import EngineReader, RouteReader
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.repeats import Repeats
from mulberrypass.relay.watch import CallWatch
from mulberrypass.relay.whole_body import HeldBodies
from mulberrypass.runtime.dump import StateDump
from mulberrypass.runtime.http_server import ClientLimits, HttpServer
from mulberrypass.runtime.log_lines import LineWriter
from mulberrypass.runtime.log_metrics import CONTENT_TYPE, EventMetrics
from mulberrypass.runtime.logs import configure, get_logger
from mulberrypass.runtime.memory import limit_arenas
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.runtime.thread_times import thread_times
from mulberrypass.storage.crash_trials import RowTrialClaims
from mulberrypass.storage.crashes import CRASHES_TABLE, RowCrashes
from mulberrypass.storage.follow import TableFollower
from mulberrypass.storage.instances import RowInstances

if TYPE_CHECKING:
    from mulberrypass.platform.site import Site
    from mulberrypass.policy.health.crashes import Crash
    from mulberrypass.policy.online.repeats import RepeatShares
    from mulberrypass.runtime.http_server import ServedApp

LOG = get_logger(__name__)
# Bounds how long threads that read events wait for the GIL.
SWITCH_INTERVAL_S = 0.0005
FRONT_THREADS = 96
AUX_THREADS = 2
# Must match the deployment file.
METRICS_PORT = 9_464
METRICS_PATH = "/metrics"
MAX_BODY_BYTES = 8_388_608
# Added to the callers' idle time, since their clocks may differ from ours.
IDLE_SLACK_S = 5.0
# Some callers cache addresses for up to three times this time to live.
TTL_S = 1.0
TTL_FACTOR = 3
# Left at the end of a stop to flush answers and exit.
EXIT_MARGIN_S = 0.7
REGISTER_RETRY_S = 0.5
STOP_POLL_S = 0.05


class SiteProcess(Process):
    """Builds and runs the components of an instance.

    :param settings: file that the settings were read from
    :param shares: limits on second runs; none may start by default
    """

    def __init__(
        self,
        site: Site,
        log_to: TextIO = sys.stdout,
        settings: Path | None = None,
        shares: RepeatShares | None = None,
    ) -> None:
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._lines = LineWriter(log_to)
        self._events = EventMetrics()
        configure(
            "mulberry-site",
            site.name,
            "json",
            "info",
            self._lines,
            self._events,
        )
        logging.getLogger("waitress").setLevel(logging.ERROR)
        self._site = site
        self._settings = settings
        self._idle_s = 0.0
        self._stopped = threading.Event()
        self._metrics = Metrics(PROGRAM)
        self._me = Member(
            name=f"{PROGRAM}@{site.name}",
            program=PROGRAM,
            zone=site.zone,
            address=site.address,
            incarnation=time.time_ns() // 1_000,
        )
        self._rows = HttpRowStore(site.store)
        self._instances = RowInstances(self._rows)
        self._departures = DepartureGuard()
        self._directory = Directory(departures=self._departures)
        self._routes = RouteReader(
            self._directory, desired.CONFIG_KEY, desired.read_desired
        )
        self._engine_rows = EngineReader(self._directory, desired.read_engine)
        self._followers: tuple[TableFollower, ...] = (
            TableFollower(self._rows, desired.CONFIG_TABLE, self._routes),
            TableFollower(self._rows, desired.ENGINE_TABLE, self._engine_rows),
        )
        # Without a configured key, peers authenticate with a value that all
        # instances of the site derive from their settings.
        default_key = f"peers-of-{site.store.host}:{site.store.port}"
        key = os.environ.get(PEER_KEY_VARIABLE) or default_key
        self._loop = LoopThread()
        self._peers = ConfigurationPeers(
            self._loop, key, self._address_of, self._routes.snapshot
        )
        self._membership = GossipMembership(
            self._me,
            self._loop,
            self._instances,
            key,
            MEMBERSHIP,
            self._metrics,
            lambda member, version: self._catch_up.note_version(
                member.name, version
            ),
            lambda: self._directory.routes().version,
            port_of=lambda _program: site.peer_port,
            rng=random.Random(),
            datagrams=True,
        )
        peer_routes = PeerRoutes(
            site.zone, self._membership, self._peers, self._routes
        )
        self._catch_up = CatchUp(
            lambda: self._directory.routes().version, peer_routes.fetch
        )
        self._owner = CellOwner(
            self._me,
            self._membership,
            self._directory,
            self._metrics,
            settings=CELLS,
        )
        self._permits = PeerPermitClient(
            self._me,
            self._loop,
            self._membership,
            self._directory,
            self._owner,
            key,
            metrics=self._metrics,
            port=lambda _member: site.peer_port,
        )
        self._peer_server = PeerServer(
            key, self._membership, self._peers, PermitStreams(self._owner)
        )
        self._departures.subscribe_answers(
            self._membership.report_leaving_backend
        )
        self._membership.subscribe(
            lambda: self._departures.learn(self._membership.leaving_backends())
        )
        self._repeats = Repeats(shares)
        self._engines = HttpEngineClient(
            self._departures, connect_timeout_s(shares)
        )
        self._directory.subscribe(
            lambda _cfg: self._engines.retain(self._directory.engine_names())
        )
        self._watch = CallWatch()
        self._guard = CrashGuard(
            lambda name: self._directory.engine(name) is None,
            member=self._me.name,
            trials=CrashTrials(
                self._me.name,
                RowTrialClaims(self._rows),
                lambda name: pick(name, self._members().live) == self._me.name,
            ),
        )
        self._crashes = RowCrashes(
            self._rows,
            self._me.name,
            self._learn_stored_crash,
            self._guard.counts,
        )
        self._guard.subscribe(self._membership.report_crash)
        self._guard.subscribe(self._crashes.save)
        self._membership.subscribe_crashes(self._guard.learn)
        acquirer = PermitAcquirer(
            self._me.name, self._permits, self._directory, self._guard
        )
        self._ending = PlannedEnd()
        self._quotas = make_quotas(
            site,
            self._me.name,
            self._loop,
            self._membership,
            self._directory.routes,
        )
        limits = ByteLimits.of_memory(site.memory_bytes)
        self._bodies = HeldBodies(limits)
        # As much again for callers.
        self._client_bytes = limits.total
        deps = RelayDependencies(
            self._directory,
            acquirer,
            self._engines,
            self._watch,
            self._ending,
            self._bodies,
            self._quotas,
            self._repeats,
        )
        store = BatchStore(self._rows)
        self._holder = JobHolder(
            self._me.name, store, deps, self._members, item_request
        )
        manager = BatchJobManager(
            self._me.name, store, self._holder, self._directory
        )
        lots = BatchJobApi(manager, self._directory)
        self._followers = (
            *self._followers,
            TableFollower(self._rows, CRASHES_TABLE, self._crashes),
            TableFollower(
                self._rows,
                HEADS,
                self._holder,
                all_parts=True,
                spacing_s=lambda: heads_spacing_s(
                    len(self._membership.members(PROGRAM))
                ),
            ),
        )
        self._front = self._make_server(
            FrontApp(Forwarder(deps), lots.handle), site.front, FRONT_THREADS
        )
        self._directory.subscribe(lambda _cfg: self._apply_limits())
        self._aux_servers = [
            self._make_server(
                ReadyApp(self._not_ready), site.ready, AUX_THREADS
            )
        ]
        if site.directory is not None:
            address_app = AddressApp(self._addresses, TTL_S)
            self._aux_servers.append(
                self._make_server(address_app, site.directory, AUX_THREADS)
            )
        self._aux_servers.append(
            self._make_server(
                TextApp(METRICS_PATH, CONTENT_TYPE, self._events.text),
                HostPort(site.address, METRICS_PORT),
                AUX_THREADS,
            )
        )
        register_gauges(
            self._events,
            self._directory,
            lambda: len(self._membership.live(PROGRAM)),
            self._followers,
            self._holder,
            self._lines,
            self._bodies,
            self._repeats,
        )
        register_counters(self._events, self._quotas)
        self._dump = self._make_dump()

    def _make_server(
        self, app: ServedApp, at: HostPort, threads: int
    ) -> HttpServer:
        return HttpServer(
            app,
            at.host,
            at.port,
            threads,
            MAX_BODY_BYTES,
            client_bytes=self._client_bytes,
        )

    def _make_dump(self) -> StateDump:
        dump = StateDump()
        dump.install_signal()
        dump.register("member", lambda: self._me)
        dump.register("routes", self._directory.state)
        dump.register("lapsed_engines", self._engine_rows.state)
        dump.register("membership", self._membership.state)
        dump.register("crashes", self._guard.state)
        dump.register("departures", self._departures.state)
        dump.register("jobs", self._holder.state)
        dump.register("owner", self._owner.state)
        dump.register("permits", self._permits.state)
        dump.register("repeats", self._repeats.state)
        dump.register("quotas", self._quotas.state)
        dump.register("threads", thread_times)
        dump.register("followers", lambda: [f.state for f in self._followers])
        return dump

    def start(self) -> None:
        """Start all components, the caller-facing server last."""
        site = self._site
        self._loop.start()
        listening = self._peer_server.start(site.address, site.peer_port)
        self._loop.submit(listening).result()
        for follower in self._followers:
            follower.start()
        threading.Thread(
            target=self._register, name="register", daemon=True
        ).start()
        self._membership.start()
        self._owner.start()
        self._quotas.start()
        self._permits.start()
        self._watch.start()
        self._guard.start()
        self._crashes.start()
        self._holder.start()
        for server in self._aux_servers:
            server.start()
        self._front.start()
        LOG.info("started", address=site.address, zone=site.zone)

    def reload(self) -> None:
        """Read the settings file again."""
        if self._settings is not None:
            self._site = reload_site(self._settings, self._site)

    def stop(self) -> bool:
        """Finish the requests in flight, then stop.

        :returns: whether all requests in flight have finished
        """
        # The file may have changed without a signal.
        self.reload()
        site = self._site
        now = time.monotonic()
        deadline = now + site.grace_s - EXIT_MARGIN_S
        accept_until = now + min(TTL_FACTOR * TTL_S, site.grace_s / TTL_FACTOR)
        LOG.info(
            "stopping", grace_s=site.grace_s, in_flight=self._front.in_flight
        )
        self._stopped.set()
        self._ending.set(deadline)
        self._catch_up.stop()
        self._front.disable_keep_alive()
        self._membership.leave()
        self._holder.leave(site.grace_s)
        threading.Thread(target=self._unregister, daemon=True).start()
        time.sleep(max(0.0, accept_until - time.monotonic()))
        finished = self._front.stop(max(0.0, deadline - time.monotonic()))
        while self._holder.busy and time.monotonic() < deadline:
            time.sleep(STOP_POLL_S)
        self._holder.stop()
        self._repeats.stop()
        self._quotas.stop()
        self._guard.stop()
        self._crashes.stop()
        LOG.info("stopped", whole=finished)
        self._lines.stop()
        return finished

    def _register(self) -> None:
        """Write this instance's row, retrying until it succeeds."""
        site = self._site
        while not self._stopped.is_set():
            done = self._instances.register(site.name, site.zone, site.address)
            if done.is_ok():
                return
            self._stopped.wait(REGISTER_RETRY_S)

    def _unregister(self) -> None:
        self._instances.remove(self._site.name)

    def _apply_limits(self) -> None:
        """Apply the limits of the route table in force to the front server.

        The idle time never shrinks: callers may still rely on an earlier one.
        """
        limits = self._directory.routes().limits
        self._idle_s = max(self._idle_s, limits.idle_s + IDLE_SLACK_S)
        self._front.limit(
            ClientLimits(
                limits.head_bytes,
                limits.body_bytes,
                limits.head_s,
                self._idle_s,
            )
        )

    def _learn_stored_crash(self, crash: Crash) -> None:
        """Learn of a crash, and tell members that can't read the store."""
        if self._guard.learn(crash):
            self._membership.report_crash(crash)

    def _members(self) -> Members:
        live = self._membership.live(PROGRAM)
        known = self._membership.members(PROGRAM)
        return Members(
            frozenset(member.name for member in live),
            frozenset(member.name for member in known),
        )

    def _not_ready(self) -> str:
        if self._stopped.is_set():
            return "the process is being stopped"
        if self._directory.routes().version == 0:
            return "no configuration is known"
        if not self._engine_rows.read:
            return "no list of engines was read"
        return ""

    def _addresses(self, zone: str) -> tuple[str, ...]:
        """Return the addresses of live instances, those in the zone first."""
        port = self._site.front.port
        live = list(self._membership.live(PROGRAM))
        random.shuffle(live)
        live.sort(key=lambda member: member.zone != zone)
        return tuple(f"{member.address}:{port}" for member in live)

    def _address_of(self, name: str) -> tuple[str, int] | None:
        for member in self._membership.members(PROGRAM):
            if member.name == name:
                return member.address, self._site.peer_port
        return None


def main() -> None:
    """Serve the site until a stop signal arrives."""
    limit_arenas()
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.exit(f"mulberry-site: {SETTINGS_VARIABLE} is not set")
    try:
        site = read_site(Path(path))
        shares = read_repeat_shares(os.environ)
    except SiteError as exc:
        sys.exit(f"mulberry-site: {exc}")
    run(lambda: SiteProcess(site, settings=Path(path), shares=shares))


if __name__ == "__main__":
    main()

__all__ = ["SiteProcess", "main"]
