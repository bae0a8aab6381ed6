"""Tests of TLS between peers and of its settings."""

from __future__ import annotations

import asyncio
import contextlib
import io
from pathlib import Path
import ssl
import tempfile
from typing import TYPE_CHECKING, Any, TypeVar
import unittest

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
import trustme

from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.peer_grpc import PeerStub
from mulberrypass.peer.peer_pb2 import (
    FetchReply,
    FetchRequest,
    HeartbeatReply,
    HeartbeatRequest,
)
from mulberrypass.peer.server import (
    KEY_HEADER,
    ConfigurationHandler,
    HeartbeatHandler,
    PeerServer,
)
from mulberrypass.programs.daemon import DaemonSettings
from mulberrypass.runtime.settings import load
from mulberrypass.runtime.tls import TlsFiles, peer_client, peer_server

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")
HOST = "127.0.9.1"
PORT = 7_312
TIMEOUT_S = 10.0


class EmptyHandler(HeartbeatHandler, ConfigurationHandler):
    """Answers with empty messages."""

    async def heartbeat(self, req: HeartbeatRequest) -> HeartbeatReply:
        return HeartbeatReply()

    async def fetch(self, req: FetchRequest) -> FetchReply:
        return FetchReply(generation=7)


class Identity:
    """The files of a certificate, in a temporary directory."""

    def __init__(self, test: unittest.TestCase, ca: trustme.CA) -> None:
        directory = tempfile.TemporaryDirectory()
        test.addCleanup(directory.cleanup)
        root = Path(directory.name)
        cert = ca.issue_cert(HOST)
        cert.private_key_pem.write_to_path(root / "key.pem")
        cert.cert_chain_pems[0].write_to_path(root / "cert.pem")
        ca.cert_pem.write_to_path(root / "ca.pem")
        self.files = TlsFiles(
            root / "cert.pem", root / "key.pem", root / "ca.pem"
        )


class PeerTlsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ca = trustme.CA()
        self.identity = Identity(self, self.ca)
        self.loop = LoopThread()
        # Else the warning of its destructor may end up in another test's
        # standard error.
        self.addCleanup(self.loop.loop.close)
        self.loop.start()
        self.addCleanup(self.loop.stop)
        handler = EmptyHandler()
        self.server = PeerServer("key", handler, handler)
        context = peer_server(self.identity.files)
        self.run_on_loop(self.server.start(HOST, PORT, context))
        self.addCleanup(lambda: self.run_on_loop(self.server.stop()))

    def run_on_loop(self, work: Coroutine[Any, Any, T]) -> T:
        return self.loop.submit(work).result(TIMEOUT_S)

    async def fetch(self, context: ssl.SSLContext | None) -> int:
        channel = Channel(HOST, PORT, ssl=context)
        try:
            reply = await asyncio.wait_for(
                PeerStub(channel).FetchConfiguration(
                    FetchRequest(), metadata={KEY_HEADER: "key"}
                ),
                TIMEOUT_S / 2,
            )
            return int(reply.generation)
        finally:
            channel.close()

    def test_peers_of_the_same_authority_are_accepted(self) -> None:
        other = Identity(self, self.ca)
        context = peer_client(other.files)
        self.assertEqual(7, self.run_on_loop(self.fetch(context)))

    def test_other_peers_are_rejected(self) -> None:
        untrusted = Identity(self, trustme.CA())
        rows = {
            "another authority": peer_client(untrusted.files),
            "no TLS": None,
        }
        for name, context in rows.items():
            with (
                self.subTest(name=name),
                self.assertRaises((OSError, StreamTerminatedError)),
            ):
                self.run_on_loop(self.fetch(context))


class TlsSettingsTest(unittest.TestCase):
    """Wrong settings end the program with a one-line message and status 2."""

    FLAGS = (
        "--instance=i-1",
        "--zone=z",
        "--address=127.0.0.1",
        "--platform-address=127.0.0.1",
        "--peer-key=a-long-key",
    )

    def refused(self, *flags: str) -> str:
        err = io.StringIO()
        with (
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as ended,
        ):
            names = tuple(flag.partition("=")[0] for flag in flags)
            rest = [f for f in self.FLAGS if not f.startswith(names)]
            load("mulberry-x", DaemonSettings, (*rest, *flags), {})
        self.assertEqual(2, ended.exception.code)
        return err.getvalue().strip()

    def test_wrong_settings_print_one_line(self) -> None:
        identity = Identity(self, trustme.CA()).files
        cert = f"--tls-cert={identity.cert}"
        whole = (cert, f"--tls-key={identity.ca}", f"--tls-ca={identity.ca}")
        rows: tuple[tuple[str, tuple[str, ...]], ...] = (
            ("go together", (cert,)),
            ("TLS needs", ("--tls-platform=true",)),
            ("--tls-cert", ("--tls-cert=/none",)),
            ("can't be used", whole),
            ("--grace-s", ("--grace-s=-1",)),
            ("--instance", ("--instance=No Name",)),
            ("--peer-key", ("--peer-key=short",)),
        )
        for expected, flags in rows:
            with self.subTest(flags=flags):
                line = self.refused(*flags)
                self.assertIn(expected, line)
                self.assertEqual(1, len(line.splitlines()))
                self.assertNotIn("Traceback", line)

    def test_complete_settings_are_accepted(self) -> None:
        identity = Identity(self, trustme.CA()).files
        flags = (
            f"--tls-cert={identity.cert}",
            f"--tls-key={identity.key}",
            f"--tls-ca={identity.ca}",
            "--tls-engines=true",
        )
        cfg = load("mulberry-x", DaemonSettings, (*self.FLAGS, *flags), {})
        self.assertEqual(identity, cfg.tls_files())
        self.assertIsNotNone(cfg.engine_tls())
