"""Tests of the bytes that a process holds for the answers of engines."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest

from mulberrypass.model.routes import RouteKind
from tests.engine.endless import (
    CHUNKED,
    NO_LENGTH,
    OK_HEAD,
    AnsweringServer,
    Bytes,
    EndlessServer,
)
from tests.platform.flooded import FLOODS, Report
from tests.relay.fakes import event

MB = 1_000_000
# The smallest instance of the pages, and what an idle one holds of it.
SMALLEST_BYTES = 200 * MB
IDLE_BYTES = 60 * MB
TIMEOUT_S = 60.0
# Larger than what a flooded process has for each request.
SOUND_BYTES = 2 * MB
SOUND = OK_HEAD + b"Content-Length: %d\r\n\r\n" % SOUND_BYTES
TOO_LARGE = 8 * MB
FLOODS_BY_FRAMING = {
    "no length": Bytes(NO_LENGTH, b"x"),
    "one-byte chunks": Bytes(CHUNKED, b"1\r\nx\r\n"),
    "a large length": Bytes(
        OK_HEAD + b"Content-Length: %d\r\n\r\n" % TOO_LARGE, b"x"
    ),
}

EVENTS = {
    "an event": Bytes(NO_LENGTH + b"data: ", b"x"),
    "an event after events": Bytes(NO_LENGTH + event(1) + b"data: ", b"x"),
}


class EndlessAnswersTest(unittest.TestCase):
    """Endless answers of one engine took all memory of the process.

    Each had its bound, and their sum had none.
    """

    def play(self, sent: Bytes, kind: RouteKind) -> Report:
        endless = EndlessServer(self, sent)
        sound = AnsweringServer(self, SOUND + b"y" * SOUND_BYTES)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "tests.platform.flooded",
                endless.address,
                sound.address,
                kind.value,
            ],
            capture_output=True,
            timeout=TIMEOUT_S,
            check=True,
        )
        return Report(**json.loads(done.stdout))

    def check(self, sent: Bytes, kind: RouteKind) -> None:
        report = self.play(sent, kind)
        growth = report.most_bytes - report.idle_bytes
        self.assertLess(growth, SMALLEST_BYTES - IDLE_BYTES)
        self.assertEqual({str(SOUND_BYTES)}, set(report.others))
        self.assertEqual(FLOODS, sum(report.floods.values()))

    def test_bodies_hold_their_bound_and_others_are_served(self) -> None:
        for name, sent in FLOODS_BY_FRAMING.items():
            with self.subTest(name):
                self.check(sent, RouteKind.NON_IDEMPOTENT)

    def test_events_hold_their_bound_and_others_are_served(self) -> None:
        for name, sent in EVENTS.items():
            with self.subTest(name):
                self.check(sent, RouteKind.STREAM)


if __name__ == "__main__":
    unittest.main()
