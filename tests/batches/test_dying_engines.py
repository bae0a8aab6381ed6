"""Items at engines whose processes end between two events."""

from __future__ import annotations

import contextlib
import socket
import unittest

from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RunEnd
from tests.batches.test_partial_output import EVENT_S, EVENTS
from tests.batches.test_unproven_ends import UnprovenEndTest
from tests.engine.endless import HOST
from tests.relay.fakes import ScriptedPermits


class DyingEngine(RawEngine):
    """Ends with the run that it ends early, without a reset."""

    def _end_early(self, _answer: object, _data: bytes, _end: RunEnd) -> bool:
        self.ended.set()
        assert self._listening is not None
        with contextlib.suppress(OSError):
            self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        return False


class ItemThatEndsEnginesTest(UnprovenEndTest):
    """An item that ends each engine at the same event was done with a part."""

    def setUp(self) -> None:
        super().setUp()
        for name in ("e2", "e3"):
            self.engines.append(self.start_engine(name))
        self.permits = ScriptedPermits(*(e.name for e in self.engines))

    def start_engine(self, name: str) -> RawEngine:
        at = HostPort(HOST, 0)
        app = DyingEngine(name, at, EVENTS, EVENT_S, self.faults)
        app.start()
        self.addCleanup(app.end)
        return app

    def test_two_engines_end_at_the_same_event(self) -> None:
        # The second run brings the third event again, and ends there too.
        self.play(RunEnd(3), RunEnd(1))


if __name__ == "__main__":
    unittest.main()
