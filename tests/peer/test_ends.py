"""Tests of peers' answers that end early."""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest

from mulberrypass.model.objects import Configuration, Model
from mulberrypass.model.snapshot import encode
from mulberrypass.peer.configuration import ConfigurationPeers
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.membership_calls import HeartbeatCalls
from mulberrypass.peer.peer_pb2 import HeartbeatRequest
from mulberrypass.peer.server import PeerServer
from mulberrypass.policy.membership.messages import Contact
from mulberrypass.runtime.ports import CONTROL_PEER_PORT
from tests.peer.test_configuration import EmptyHeartbeats

HOST = "127.0.50.2"
KEY = "peer-key"
SNAPSHOT = encode(Configuration(models={"a": Model("a")}), 4)
TIMEOUT_S = 2.0


class CuttingProxy:
    """Passes on calls, and the first bytes of their answers.

    :param count: number of bytes; ``None`` for all
    :ivar passed: number of bytes that were passed on
    """

    def __init__(self, test: unittest.TestCase, count: int | None) -> None:
        self._count = count
        self._listener = socket.create_server((HOST, 0))
        self.address = (HOST, int(self._listener.getsockname()[1]))
        self.passed = 0
        self._threads = [threading.Thread(target=self._accept)]
        self._threads[0].start()
        test.addCleanup(self._stop)

    def _stop(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for thread in self._threads:
            thread.join()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self._listener.accept()
                peer = socket.create_connection((HOST, CONTROL_PEER_PORT))
                for run in (self._pass_call, self._pass_answer):
                    thread = threading.Thread(target=run, args=(caller, peer))
                    self._threads.append(thread)
                    thread.start()

    def _pass_call(self, caller: socket.socket, peer: socket.socket) -> None:
        with peer, contextlib.suppress(OSError):
            while data := caller.recv(65_536):
                peer.sendall(data)
            peer.shutdown(socket.SHUT_RDWR)

    def _pass_answer(self, caller: socket.socket, peer: socket.socket) -> None:
        left = 1_000_000 if self._count is None else self._count
        with caller, contextlib.suppress(OSError):
            while left and (data := peer.recv(left)):
                caller.sendall(data)
                left -= len(data)
                self.passed += len(data)
            caller.shutdown(socket.SHUT_RDWR)


class CutAnswerTest(unittest.TestCase):
    """The length of a message and the status after it prove its end."""

    def setUp(self) -> None:
        self.loop = LoopThread()
        self.loop.start()
        self.addCleanup(self.loop.stop)
        handler = self.peers(None)
        server = PeerServer(KEY, EmptyHeartbeats(), handler)
        self.loop.submit(server.start(HOST, CONTROL_PEER_PORT)).result(5)
        self.addCleanup(lambda: self.loop.submit(server.stop()).result(5))

    def peers(self, proxy: CuttingProxy | None) -> ConfigurationPeers:
        """Return one end of the exchange."""
        address = None if proxy is None else proxy.address
        return ConfigurationPeers(
            self.loop, KEY, lambda _: address, lambda: SNAPSHOT
        )

    def test_configuration(self) -> None:
        proxy = CuttingProxy(self, None)
        fetched = self.peers(proxy).fetch_from("entry@1", 4)
        self.assertEqual(SNAPSHOT, fetched.ok)
        for count in range(proxy.passed):
            with self.subTest(count):
                proxy = CuttingProxy(self, count)
                fetched = self.peers(proxy).fetch_from("entry@1", 4)
                self.assertTrue(fetched.is_error())

    def test_heartbeat(self) -> None:
        proxy = CuttingProxy(self, None)
        self.assertTrue(self.answers(proxy))
        for count in range(proxy.passed):
            with self.subTest(count):
                self.assertFalse(self.answers(CuttingProxy(self, count)))

    def answers(self, proxy: CuttingProxy) -> bool:
        """Return whether a heartbeat is answered."""
        calls = HeartbeatCalls(KEY, lambda _: proxy.address[1], TIMEOUT_S)
        contact = Contact("entry@1", "entry", HOST)
        called = calls.call(contact, HeartbeatRequest())
        try:
            return self.loop.submit(called).result(5) is not None
        finally:
            self.loop.call(calls.close)


if __name__ == "__main__":
    unittest.main()
