"""Exchange of configuration snapshots between peers."""

from __future__ import annotations

from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from mulberrypass.model.published import Snapshot, SnapshotUnavailable
from mulberrypass.peer.peer_grpc import PeerStub
from mulberrypass.peer.peer_pb2 import FetchReply, FetchRequest
from mulberrypass.peer.server import KEY_HEADER, ConfigurationHandler

if TYPE_CHECKING:
    from collections.abc import Callable
    import ssl

    from mulberrypass.peer.loop import LoopThread

FETCH_TIMEOUT_S = 2.0
LOOP_MARGIN_S = 0.5

Address = tuple[str, int]


class ConfigurationPeers(ConfigurationHandler):
    """Serves the snapshot on the peer loop; fetches from other threads.

    :param address_of: returns the address of a member's peer port, or
        ``None`` if unknown
    :param in_force: returns the snapshot in force in this process
    """

    def __init__(
        self,
        loop: LoopThread,
        key: str,
        address_of: Callable[[str], Address | None],
        in_force: Callable[[], Snapshot | None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._loop = loop
        self._key = key
        self._address_of = address_of
        self._in_force = in_force
        self._tls = tls

    async def fetch(self, req: FetchRequest) -> FetchReply:
        """Return the snapshot in force, with data only if new enough."""
        snapshot = self._in_force()
        if snapshot is None:
            return FetchReply()
        if snapshot.generation < req.at_least_generation:
            return FetchReply(generation=snapshot.generation)
        return FetchReply(
            generation=snapshot.generation,
            digest=snapshot.digest,
            snapshot=snapshot.data,
        )

    def fetch_from(
        self, member: str, at_least: int
    ) -> Result[Snapshot, SnapshotUnavailable]:
        """Fetch a member's snapshot; must not be called on the peer loop."""
        address = self._address_of(member)
        if address is None:
            return Error(SnapshotUnavailable("its address is not known"))
        fut = self._loop.submit(self._fetch(address, at_least))
        try:
            return fut.result(FETCH_TIMEOUT_S + LOOP_MARGIN_S)
        except FutureTimeoutError:
            fut.cancel()
            return Error(SnapshotUnavailable("no answer in time"))

    async def _fetch(
        self, address: Address, at_least: int
    ) -> Result[Snapshot, SnapshotUnavailable]:
        host, port = address
        channel = Channel(host, port, ssl=self._tls)
        try:
            reply = await PeerStub(channel).FetchConfiguration(
                FetchRequest(at_least_generation=at_least),
                timeout=FETCH_TIMEOUT_S,
                metadata={KEY_HEADER: self._key},
            )
        except (
            TimeoutError,
            GRPCError,
            StreamTerminatedError,
            OSError,
        ) as exc:
            return Error(SnapshotUnavailable(repr(exc)))
        finally:
            channel.close()
        if reply.generation < at_least or not reply.snapshot:
            reason = f"it holds generation {reply.generation}"
            return Error(SnapshotUnavailable(reason))
        return Ok(Snapshot(reply.generation, reply.digest, reply.snapshot))


__all__ = ["ConfigurationPeers"]
