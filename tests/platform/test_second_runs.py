"""Second runs over connections, as the site's instances make them."""

from __future__ import annotations

from dataclasses import replace
import socket
import threading
import time
import unittest

from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID, RESPONSE_STAMP
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RawFaults
from mulberrypass.policy.online.repeats import SIDE_BY_SIDE_S, RepeatShares
from mulberrypass.relay.api import AnswerBody
from mulberrypass.relay.forward import Forwarder
from mulberrypass.relay.repeats import Repeats
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    make_dependencies,
    request,
    route,
)

HOST = "127.0.0.1"
EVENTS = 5
EVENT_S = 0.01
# Half of the target, 308 ms, or of the pause in time, 300 ms.
DELAY_S = 0.154
SLACK_S = 0.15
READ_BYTES = 65_536
REQUEST = "r1"


class StallingEngine:
    """Answers the first part of a stream, and then nothing.

    :param shown: number of events that it writes; ``None`` for not even a
        head
    :ivar closed_after_s: how long after its request its connection was
        closed
    """

    def __init__(self, shown: int | None) -> None:
        self._shown = shown
        self._server = socket.create_server((HOST, 0))
        self.closed_after_s: float | None = None
        self.done = threading.Event()
        host, port = self._server.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Listen no more."""
        self._server.close()

    def _serve(self) -> None:
        conn, _ = self._server.accept()
        with conn:
            conn.recv(READ_BYTES)
            start = time.monotonic()
            if self._shown is not None:
                head = (
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    f"{REQUEST_ID}: {REQUEST}\r\n{RESPONSE_STAMP}: s\r\n\r\n"
                )
                conn.sendall(head.encode())
                for number in range(1, self._shown + 1):
                    data = event(REQUEST, number)
                    conn.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            try:
                conn.recv(READ_BYTES)
            except OSError:
                pass
            self.closed_after_s = time.monotonic() - start
            self.done.set()


class SecondRunTest(unittest.TestCase):
    """A blocked read of a silent engine ended only by its time-out."""

    def test_stalled_engine_is_left_at_once(self) -> None:
        for shown in (None, 0, 2):
            with self.subTest(shown=shown):
                self.run_one(shown)

    def run_one(self, shown: int | None) -> None:
        stalling = StallingEngine(shown)
        self.addCleanup(stalling.close)
        sound = RawEngine(
            "e2", HostPort(HOST, 0), EVENTS, EVENT_S, RawFaults()
        )
        sound.start()
        self.addCleanup(sound.end)
        client = HttpEngineClient()
        self.addCleanup(client.retain, frozenset())
        permits = ScriptedPermits("e1", "e2")
        resumable = route(resumable=True, target_s=2 * DELAY_S, gap_s=0.3)
        deps = make_dependencies(client, permits, resumable)
        deps.directory.set_engines(
            [
                engine("e1", address=stalling.address),
                engine("e2", address=f"{sound.at.host}:{sound.at.port}"),
            ]
        )
        repeats = Repeats(RepeatShares(1.0))
        self.addCleanup(repeats.stop)
        deps = replace(deps, repeats=repeats)
        req = request(
            request_id=REQUEST, headers=((REQUEST_ID, REQUEST),), body=b""
        )
        start = time.monotonic()
        body = b""
        for each in Forwarder(deps).run(req, lambda: False):
            if isinstance(each, AnswerBody):
                body += each.data
        took_s = time.monotonic() - start
        whole = b"".join(event(REQUEST, n) for n in range(1, EVENTS + 1))
        self.assertEqual(whole, body)
        self.assertLess(took_s, DELAY_S + EVENTS * EVENT_S + SLACK_S)
        self.assertTrue(stalling.done.wait(1.0))
        assert stalling.closed_after_s is not None
        most_s = DELAY_S + SIDE_BY_SIDE_S + SLACK_S
        self.assertLess(stalling.closed_after_s, most_s)
        self.assertEqual([["cancelled"], ["done"]], permits.outcomes)
