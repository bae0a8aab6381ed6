"""Fake membership and configuration, and entry processes on loopback."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.model.member import Member
from mulberrypass.model.objects import Configuration, Pool
from mulberrypass.model.source import ConfigurationSource
from mulberrypass.peer.api import Membership
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.owner import CellOwner
import mulberrypass.peer.peer_pb2 as pb
from mulberrypass.peer.permit_client import PeerPermitClient
from mulberrypass.peer.permit_streams import PermitStreams
from mulberrypass.peer.server import (
    ConfigurationHandler,
    HeartbeatHandler,
    PeerServer,
)
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.runtime.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypass.model.objects import Backend

KEY = "peer-test-key"
WAIT_S = 10.0
POLL_S = 0.005


def member(name: str, address: str = "127.0.30.1") -> Member:
    """Return a live member."""
    program = name.partition("@")[0]
    return Member(name, program, "zone-a", address, 1)


class FakeMembership(Membership):
    """A membership that the test sets."""

    def __init__(self, *members: Member) -> None:
        self._members = members
        self._leaving: frozenset[str] = frozenset()
        self._subscribers: list[Callable[[], None]] = []

    def set(self, *members: Member, leaving: Iterable[str] = ()) -> None:
        """Set the live members and leaving backend servers."""
        self._members = members
        self._leaving = frozenset(leaving)
        for changed in self._subscribers:
            changed()

    def members(self, program: str) -> tuple[Member, ...]:
        """Return the members of a program."""
        return tuple(m for m in self._members if m.program == program)

    def live(self, program: str) -> tuple[Member, ...]:
        """Return the members of a program."""
        return self.members(program)

    def leaving_backends(self) -> frozenset[str]:
        """Return the leaving backend servers that were set."""
        return self._leaving

    def report_leaving_backend(self, backend: str) -> None:
        """Add a leaving backend server."""
        self.set(*self._members, leaving=self._leaving | {backend})

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for changes."""
        self._subscribers.append(changed)


class FakeConfiguration(ConfigurationSource):
    """A configuration with one pool that the test sets."""

    def __init__(self, pool: str, backends: Iterable[Backend]) -> None:
        self._subscribers: list[Callable[[Configuration], None]] = []
        self._cfg = Configuration()
        self.set(pool, backends)

    def set(self, pool: str, backends: Iterable[Backend]) -> None:
        """Set the backend servers of the pool."""
        named = {backend.name: backend for backend in backends}
        self._cfg = Configuration(
            generation=self._cfg.generation + 1,
            pools={pool: Pool(pool, tuple(named))},
            backends=named,
        )
        for changed in self._subscribers:
            changed(self._cfg)

    def current(self) -> Configuration:
        """Return the configuration that was set last."""
        return self._cfg

    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        """Register a callback for changes."""
        self._subscribers.append(changed)


class _NoHeartbeats(HeartbeatHandler):
    async def heartbeat(self, req: pb.HeartbeatRequest) -> pb.HeartbeatReply:
        return pb.HeartbeatReply()


class _NoConfiguration(ConfigurationHandler):
    async def fetch(self, req: pb.FetchRequest) -> pb.FetchReply:
        return pb.FetchReply()


class Entry:
    """An entry process: a cell owner with a server, and a permit client."""

    def __init__(
        self,
        me: Member,
        membership: Membership,
        configuration: ConfigurationSource,
        ports: dict[str, int],
    ) -> None:
        self.me = me
        self.metrics = Metrics("entry")
        self.loop = LoopThread()
        self.loop.start()
        self.owner = CellOwner(
            me,
            membership,
            configuration,
            self.metrics,
            settings=CellSettings(settle_s=0.0),
        )
        self.owner.start()
        self.server = PeerServer(
            KEY, _NoHeartbeats(), _NoConfiguration(), PermitStreams(self.owner)
        )
        self.start_server(ports)
        self.client = start_client(
            me, self.loop, membership, configuration, ports, self.owner
        )

    def start_server(self, ports: dict[str, int], port: int = 0) -> None:
        """Listen on a port, by default a free one, and record it."""
        starting = self.server.start(self.me.address, port)
        self.loop.submit(starting).result(WAIT_S)
        inner: Any = self.server._server
        ports[self.me.name] = inner._server.sockets[0].getsockname()[1]

    def stop_server(self) -> None:
        """Close all streams and stop listening."""
        self.loop.submit(self.server.stop()).result(WAIT_S)

    def pause(self, resume: threading.Event) -> None:
        """Block the event loop until the event is set."""
        self.loop.call(resume.wait)

    def stop(self) -> None:
        """Stop all parts."""
        self.client.stop()
        self.owner.stop()
        self.stop_server()
        self.loop.stop()


def start_client(
    me: Member,
    loop: LoopThread,
    membership: Membership,
    configuration: ConfigurationSource,
    ports: dict[str, int],
    owner: CellOwner | None = None,
) -> PeerPermitClient:
    """Return a started client that finds owners by their recorded ports."""
    client = PeerPermitClient(
        me,
        loop,
        membership,
        configuration,
        owner,
        KEY,
        metrics=Metrics("test"),
        port=lambda peer: ports[peer.name],
    )
    client.start()
    return client


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the timeout only ends a hang."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("the state was not reached")
        time.sleep(POLL_S)
