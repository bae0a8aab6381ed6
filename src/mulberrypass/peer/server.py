"""The gRPC server of the peer protocol."""

from __future__ import annotations

from abc import ABC, abstractmethod
import hmac
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from mulberrypass.peer.peer_grpc import PeerBase

if TYPE_CHECKING:
    from collections.abc import Mapping
    import ssl
    from typing import Any

    from grpclib.server import Stream

    from mulberrypass.peer import peer_pb2 as pb

KEY_HEADER = "mulberry-peer-key"


class PermitsHandler(ABC):
    """Serves the permit streams of holders."""

    @abstractmethod
    async def permits(
        self, stream: Stream[pb.HolderBatch, pb.OwnerBatch]
    ) -> None:
        """Serve one holder's stream until it ends."""


class HeartbeatHandler(ABC):
    """Answers heartbeats."""

    @abstractmethod
    async def heartbeat(self, req: pb.HeartbeatRequest) -> pb.HeartbeatReply:
        """Merge a heartbeat, run the probe it requests, and reply."""


class ConfigurationHandler(ABC):
    """Answers requests for the configuration."""

    @abstractmethod
    async def fetch(self, req: pb.FetchRequest) -> pb.FetchReply:
        """Return the snapshot in force, or generation 0 if there is none."""


class PeerServer(PeerBase):
    """Checks the peer key of each call and dispatches it to a handler."""

    def __init__(
        self,
        key: str,
        heartbeats: HeartbeatHandler,
        configurations: ConfigurationHandler,
        permits: PermitsHandler | None = None,
    ) -> None:
        self._key = key
        self._heartbeats = heartbeats
        self._configurations = configurations
        self._permits = permits
        self._server: Server | None = None

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Start listening; must run on the peer loop."""
        self._server = Server([self])
        await self._server.start(host, port, ssl=tls)

    async def stop(self) -> None:
        """Stop listening and end all streams."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def Permits(  # noqa: N802
        self, stream: Stream[pb.HolderBatch, pb.OwnerBatch]
    ) -> None:
        """Serve one holder's permit stream."""
        self._authenticate(stream.metadata)
        if self._permits is None:
            raise GRPCError(Status.UNIMPLEMENTED, "owns no engines")
        await self._permits.permits(stream)

    async def Heartbeat(  # noqa: N802
        self, stream: Stream[pb.HeartbeatRequest, pb.HeartbeatReply]
    ) -> None:
        """Answer one heartbeat."""
        self._authenticate(stream.metadata)
        req = await stream.recv_message()
        if req is not None:
            await stream.send_message(await self._heartbeats.heartbeat(req))

    async def FetchConfiguration(  # noqa: N802
        self, stream: Stream[pb.FetchRequest, pb.FetchReply]
    ) -> None:
        """Answer one request for the configuration."""
        self._authenticate(stream.metadata)
        req = await stream.recv_message()
        if req is not None:
            await stream.send_message(await self._configurations.fetch(req))

    def _authenticate(self, metadata: Mapping[str, Any] | None) -> None:
        given = str((metadata or {}).get(KEY_HEADER, ""))
        if not hmac.compare_digest(given.encode(), self._key.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "unknown peer key")


__all__ = [
    "ConfigurationHandler",
    "HeartbeatHandler",
    "KEY_HEADER",
    "PeerServer",
    "PermitsHandler",
]
