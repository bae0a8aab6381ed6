"""A fleet of members over real sockets within one process."""

from __future__ import annotations

import asyncio
import random
import socket
import threading
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind, ListedMachine, ListedState
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.membership import GossipMembership
from mulberrypass.peer.membership_state import MembershipSettings
import mulberrypass.peer.peer_pb2 as pb
from mulberrypass.peer.server import ConfigurationHandler, PeerServer
from mulberrypass.policy.membership.messages import ViewSettings
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_memory import MemoryInstanceList
from mulberrypass.testing.platform_state import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Callable
    import unittest

KEY = "peer-key"
DEADLINE_S = 60.0
CLOSE_S = 0.05
FREE_PORT_ADDRESS = "127.0.11.1"
SETTINGS = MembershipSettings(
    view=ViewSettings(heartbeat_s=0.05, suspect_s=0.5, programs=("entry",)),
    timeout_s=0.5,
    min_round_gap_s=0.02,
    list_interval_s=0.05,
)


class NoConfiguration(ConfigurationHandler):
    """Holds no configuration."""

    async def fetch(self, req: pb.FetchRequest) -> pb.FetchReply:
        """Return an empty reply."""
        return pb.FetchReply()


class Peer:
    """One member with its peer server."""

    def __init__(
        self,
        fleet: PeerFleet,
        address: str,
        incarnation: int,
        key: str,
        settings: MembershipSettings,
    ) -> None:
        name = f"entry@{address}"
        me = Member(name, "entry", "z", address, incarnation)
        self.address = address
        self.name = name
        self.generation = 0
        self.generations_seen: list[tuple[str, int]] = []
        self.metrics = Metrics("entry")
        self.running = True
        self._loop = fleet.loop
        self._fleet = fleet
        self.membership = GossipMembership(
            me,
            fleet.loop,
            MemoryInstanceList(fleet.platform),
            key,
            settings,
            self.metrics,
            self._on_generation,
            lambda: self.generation,
            lambda _program: fleet.port,
            rng=random.Random(incarnation),
            datagrams=fleet.datagrams,
        )
        self.server = PeerServer(key, self.membership, NoConfiguration())

    def _on_generation(self, member: Member, generation: int) -> None:
        self.generations_seen.append((member.name, generation))
        self._fleet.notify()

    def start(self) -> None:
        """Serve and send heartbeats."""
        served = self.server.start(self.address, self._fleet.port)
        self._loop.submit(served).result(DEADLINE_S)
        self.membership.start()

    def stop(self) -> None:
        """Stop without notifying other members, like a killed process."""
        if self.running:
            self.running = False
            self.membership.stop()
            self._loop.submit(self.server.stop()).result(DEADLINE_S)

    def known_states(self) -> dict[str, MemberState]:
        """Return the state of each member that is not dead to this one."""
        return {m.name: m.state for m in self.membership.members("entry")}


class PeerFleet:
    """Members that share one event loop and one fake platform."""

    def __init__(
        self, case: unittest.TestCase, datagrams: bool = False
    ) -> None:
        self.case = case
        self.datagrams = datagrams
        self.loop = LoopThread()
        self.loop.start()
        case.addCleanup(self._stop_loop)
        self.platform = FakePlatform()
        with socket.create_server((FREE_PORT_ADDRESS, 0)) as free:
            self.port = free.getsockname()[1]
        self.changed = threading.Condition()

    def start(
        self,
        address: str,
        incarnation: int = 1,
        key: str = KEY,
        settings: MembershipSettings = SETTINGS,
    ) -> Peer:
        """Start a member."""
        peer = Peer(self, address, incarnation, key, settings)
        self.case.addCleanup(peer.stop)
        peer.membership.subscribe(self.notify)
        peer.start()
        return peer

    def list_live(self, *addresses: str) -> None:
        """Make the platform list instances as live."""
        self.platform.set_listed(
            ListedMachine(
                address,
                ListedKind.INSTANCE,
                "z",
                address,
                ListedState.LIVE,
            )
            for address in addresses
        )

    def wait_for(self, holds: Callable[[], bool]) -> None:
        """Wait for a condition, evaluated after each change of a member."""
        with self.changed:
            self.case.assertTrue(self.changed.wait_for(holds, DEADLINE_S))

    def _stop_loop(self) -> None:
        """Stop the loop after it has handled closed connections."""
        self.loop.submit(asyncio.sleep(CLOSE_S)).result(DEADLINE_S)
        self.loop.stop()
        self.loop.loop.close()

    def notify(self) -> None:
        """Wake ``wait_for`` after a change."""
        with self.changed:
            self.changed.notify_all()


__all__ = ["DEADLINE_S", "KEY", "Peer", "PeerFleet", "SETTINGS"]
