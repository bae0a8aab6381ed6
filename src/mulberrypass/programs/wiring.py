"""Builds the components that every program on an instance has."""

from __future__ import annotations

import logging
import random
import sys
from typing import TYPE_CHECKING

from mulberrypass.configuration.follower import (
    ConfigurationFollower,
    FollowerDependencies,
)
from mulberrypass.configuration.store import ConfigurationStore
from mulberrypass.model.value_class import value_class
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

# Bounds how long threads that read tokens wait for the GIL.
SWITCH_INTERVAL_S = 0.0005


@value_class
class CommonComponents:
    """The components that every program on an instance has.

    :param retrying_table: resolves writes whose reply was lost
    :param table: commits writes in groups through ``retrying_table``
    :param peer_tls: context for connections to peers; ``None`` for plain TCP
    """

    cfg: DaemonSettings
    me: Member
    metrics: Metrics
    dump: StateDump
    loop: LoopThread
    platform: PlatformClients
    budget: PlatformBudget
    retrying_table: RetryingTable
    table: Committer
    objects: RetryingObjects
    store: ConfigurationStore
    membership: GossipMembership
    follower: ConfigurationFollower
    peers: ConfigurationPeers
    peer_tls: ssl.SSLContext | None

    def make_peer_server(
        self, permits: PermitsHandler | None = None
    ) -> PeerServer:
        """Create the server for requests from peers."""
        return PeerServer(
            self.cfg.peer_key.get_secret_value(),
            self.membership,
            self.peers,
            permits,
        )

    def not_ready(self) -> str:
        """Return why callers can't be served yet; empty if they can."""
        if not self.follower.ready:
            return "the configuration is not known"
        if self.follower.current().generation == 0:
            return "no configuration is published"
        return ""

    def start(self, server: PeerServer) -> None:
        """Start the common components, the peer server first."""
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
        """Stop the common components."""
        self.follower.stop()
        self.membership.stop()
        self.table.stop()
        self.retrying_table.remove_receipts()
        self.loop.submit(server.stop()).result()
        self.loop.stop()
        self.platform.close()


def open_common(program: str, cfg: DaemonSettings) -> CommonComponents:
    """Create the common components of a program without starting them.

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
    retrying_table = RetryingTable(
        metered,
        me.name,
        metrics=metrics,
    )
    table = Committer(retrying_table, metrics)
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
            store, peers.fetch_from, lambda: _member_names(membership)
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
        # Datagrams are signed but not encrypted, so they are off with TLS.
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
    return CommonComponents(
        cfg=cfg,
        me=me,
        metrics=metrics,
        dump=dump,
        loop=loop,
        platform=platform,
        budget=budget,
        retrying_table=retrying_table,
        table=table,
        objects=objects,
        store=store,
        membership=membership,
        follower=follower,
        peers=peers,
        peer_tls=peer_tls,
    )


def _all_members(membership: GossipMembership) -> list[Member]:
    return [
        member
        for program in PEER_PORTS
        for member in membership.members(program)
    ]


def _address_of(
    membership: GossipMembership, name: str
) -> tuple[str, int] | None:
    for member in _all_members(membership):
        if member.name == name:
            return member.address, PEER_PORTS[member.program]
    return None


def _member_names(membership: GossipMembership) -> tuple[str, ...]:
    return tuple(member.name for member in _all_members(membership))


__all__ = ["CommonComponents", "open_common"]
