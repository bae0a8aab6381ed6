"""Wires the parts that every program on an instance has."""

from __future__ import annotations

from dataclasses import dataclass
import logging
import random
import sys
from typing import TYPE_CHECKING

from mulberrypass.configuration.follower import (
    ConfigurationFollower,
    FollowerDependencies,
)
from mulberrypass.configuration.store import ConfigurationStore
from mulberrypass.peer.configuration import ConfigurationPeers
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.membership import GossipMembership, MembershipSettings
from mulberrypass.peer.server import PeerServer
from mulberrypass.policy.storage.budget import FleetBudget
from mulberrypass.runtime.dump import StateDump
from mulberrypass.runtime.logs import configure
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.runtime.ports import PEER_PORTS
from mulberrypass.runtime.tls import peer_client, peer_server
from mulberrypass.storage.committer import Committer
from mulberrypass.storage.metered import (
    MeteredObjects,
    MeteredTable,
    PlatformBudget,
)
from mulberrypass.storage.retrying_objects import RetryingObjects
from mulberrypass.storage.retrying_table import RetryingTable

if TYPE_CHECKING:
    import ssl

    from mulberrypass.model.member import Member
    from mulberrypass.peer.server import PermitsHandler
    from mulberrypass.platform.client import PlatformClients
    from mulberrypass.programs.daemon import DaemonSettings

# Threads that read a token wait for those that compute at most so long.
SWITCH_INTERVAL_S = 0.0005


@dataclass(frozen=True, slots=True)
class Common:
    """The parts that every program on an instance has.

    :param table: settles lost replies, and commits writes in groups
    :param peer_tls: makes connections to peers TLS
    """

    cfg: DaemonSettings
    me: Member
    metrics: Metrics
    dump: StateDump
    loop: LoopThread
    platform: PlatformClients
    budget: PlatformBudget
    settled: RetryingTable
    table: Committer
    objects: RetryingObjects
    store: ConfigurationStore
    membership: GossipMembership
    follower: ConfigurationFollower
    peers: ConfigurationPeers
    peer_tls: ssl.SSLContext | None

    def serve(self, permits: PermitsHandler | None = None) -> PeerServer:
        """Make the server towards peers."""
        return PeerServer(
            self.cfg.peer_key.get_secret_value(),
            self.membership,
            self.peers,
            permits,
        )

    def not_ready(self) -> str:
        """Say why callers can't be served yet; empty where they can."""
        if not self.follower.ready:
            return "the configuration is not known"
        if self.follower.current().generation == 0:
            return "no configuration is published"
        return ""

    def start(self, server: PeerServer) -> None:
        """Start the common parts, the server towards peers first."""
        port = PEER_PORTS[self.me.program]
        self.loop.start()
        files = self.cfg.tls_files()
        tls = peer_server(files) if files else None
        listening = server.start(str(self.cfg.address), port, tls)
        self.loop.submit(listening).result()
        self.table.start()
        self.membership.start()
        self.follower.start()

    def stop(self, server: PeerServer) -> None:
        """Stop the common parts."""
        self.follower.stop()
        self.membership.stop()
        self.table.stop()
        self.settled.remove_receipts()
        self.loop.submit(server.stop()).result()
        self.loop.stop()
        self.platform.close()


def open_common(program: str, cfg: DaemonSettings) -> Common:
    """Make the common parts of a program; none is started.

    :param program: ``entry``, ``batch`` or ``control``
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    me = cfg.member(program)
    configure(f"mulberry-{program}", me.name, cfg.log_format, cfg.log_level)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    metrics = Metrics(program, cfg.statsd_address, cfg.statsd_port)
    key = cfg.peer_key.get_secret_value()
    files = cfg.tls_files()
    peer_tls = peer_client(files) if files else None
    loop = LoopThread()
    platform = cfg.open_platform()
    fleet = FleetBudget(cfg.fleet_writes_per_s, cfg.fleet_reads_per_s)
    budget = PlatformBudget(program, fleet)
    metered = MeteredTable(platform.table, budget)
    metered_objects = MeteredObjects(platform.objects, budget)
    settled = RetryingTable(
        metered,
        me.name,
        metrics=metrics,
    )
    table = Committer(settled, metrics)
    objects = RetryingObjects(metered_objects, metrics=metrics)
    store = ConfigurationStore(metered, metered_objects)
    peers = ConfigurationPeers(
        loop,
        key,
        lambda name: _address_of(membership, name),
        lambda: follower.snapshot(),
        peer_tls,
    )
    follower = ConfigurationFollower(
        FollowerDependencies(
            store, peers.fetch_from, lambda: _names(membership)
        ),
        metrics,
        random.Random(),
    )
    membership = GossipMembership(
        me,
        loop,
        platform.instances,
        key,
        MembershipSettings(seeds=tuple(str(seed) for seed in cfg.seeds)),
        metrics,
        lambda member, generation: follower.hint(member.name, generation),
        lambda: follower.current().generation,
        tls=peer_tls,
        # A datagram is signed, but anyone on the way can read it.
        datagrams=peer_tls is None,
    )
    membership.subscribe(
        lambda: budget.set_live(len(membership.live(program)))
    )
    dump = StateDump()
    dump.install_signal()
    dump.register("member", lambda: me)
    dump.register("metrics", metrics.snapshot)
    dump.register("configuration", follower.state)
    dump.register("membership", membership.state)
    dump.register("budget", budget.state)
    dump.register("committer", table.state)
    return Common(
        cfg=cfg,
        me=me,
        metrics=metrics,
        dump=dump,
        loop=loop,
        platform=platform,
        budget=budget,
        settled=settled,
        table=table,
        objects=objects,
        store=store,
        membership=membership,
        follower=follower,
        peers=peers,
        peer_tls=peer_tls,
    )


def _all(membership: GossipMembership) -> list[Member]:
    return [
        member
        for program in PEER_PORTS
        for member in membership.members(program)
    ]


def _address_of(
    membership: GossipMembership, name: str
) -> tuple[str, int] | None:
    for member in _all(membership):
        if member.name == name:
            return member.address, PEER_PORTS[member.program]
    return None


def _names(membership: GossipMembership) -> tuple[str, ...]:
    return tuple(member.name for member in _all(membership))


__all__ = ["Common", "open_common"]
