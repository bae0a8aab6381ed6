"""Tests of configuration exchange between peers over real sockets."""

from __future__ import annotations

import unittest

from expression import Result

from mulberrypass.model.objects import Configuration, Model
from mulberrypass.model.published import Snapshot
from mulberrypass.model.snapshot import encode
from mulberrypass.peer.configuration import ConfigurationPeers
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.peer_pb2 import HeartbeatReply, HeartbeatRequest
from mulberrypass.peer.server import HeartbeatHandler, PeerServer
from mulberrypass.runtime.ports import CONTROL_PEER_PORT

HOST = "127.0.50.1"
KEY = "peer-key"
SNAPSHOT = encode(Configuration(models={"a": Model("a")}), 4)


class EmptyHeartbeats(HeartbeatHandler):
    """Answers with empty replies."""

    async def heartbeat(self, req: HeartbeatRequest) -> HeartbeatReply:
        """Return an empty reply."""
        return HeartbeatReply()


class ConfigurationPeersTest(unittest.TestCase):
    """A fetch returns the whole snapshot or the reason of the failure."""

    def setUp(self) -> None:
        self.in_force: Snapshot | None = SNAPSHOT
        self.address: tuple[str, int] | None = None
        self.loop = LoopThread()
        self.loop.start()
        self.addCleanup(self.loop.stop)
        handler = self.make_exchange(KEY)
        server = PeerServer(KEY, EmptyHeartbeats(), handler)
        self.loop.submit(server.start(HOST, CONTROL_PEER_PORT)).result(5)
        self.addCleanup(lambda: self.loop.submit(server.stop()).result(5))
        self.address = (HOST, CONTROL_PEER_PORT)

    def make_exchange(self, key: str) -> ConfigurationPeers:
        """Return one end of the exchange."""
        return ConfigurationPeers(
            self.loop, key, lambda _: self.address, lambda: self.in_force
        )

    def test_fetch(self) -> None:
        result = self.make_exchange(KEY).fetch_from("entry@1", 4)
        self.assertEqual(SNAPSHOT, result.ok)

    def test_failed_fetch(self) -> None:
        cases = (
            ("too old", KEY, SNAPSHOT, self.address, 5, "generation 4"),
            ("no snapshot", KEY, None, self.address, 1, "generation 0"),
            ("wrong key", "x", SNAPSHOT, self.address, 1, "unknown peer key"),
            ("no address", KEY, SNAPSHOT, None, 1, "address is not known"),
            ("no listener", KEY, SNAPSHOT, (HOST, 9), 1, "ConnectionRefused"),
        )
        for name, key, in_force, address, at_least, reason in cases:
            with self.subTest(name):
                self.in_force, self.address = in_force, address
                peers = self.make_exchange(key)
                match peers.fetch_from("entry@1", at_least):
                    case Result(tag="ok"):
                        self.fail("the fetch returned a snapshot")
                    case Result(error=silent):
                        self.assertIn(reason, silent.reason)


if __name__ == "__main__":
    unittest.main()
