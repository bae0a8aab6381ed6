"""Load on engines of which some are silent, with and without second runs."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
import itertools
import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.policy.online.repeats import (
    FIRST_SAVED_RUNS,
    SAVED_RUNS,
    RepeatShares,
)
from mulberrypass.relay.api import AnswerBody
from mulberrypass.relay.forward import Forwarder
from mulberrypass.relay.repeats import Repeats
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    event,
    make_dependencies,
    request,
    route,
)
from tests.relay.timed_engines import NEVER_S, Timed, TimedEngines

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from mulberrypass.policy.messages import Ask, Grant, Refuse

TARGET_S = 0.308
SHARE = 0.05
REQUESTS = 600
CALLERS = 12
ENGINES = tuple(f"e{number}" for number in range(30))
QUICK = Timed([(0.05, event(1)), (0.01, event(2) + event(3))])
SILENT = Timed([(NEVER_S, b"")])
WHOLE = b"".join(event(number) for number in (1, 2, 3))


class RotatingPermits(ScriptedPermits):
    """Grants the engines in turn, as if none were known to be slow."""

    def __init__(self) -> None:
        super().__init__(*ENGINES)
        self._turn = itertools.count()
        self._lock = threading.Lock()

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Grant the next engine that the request doesn't avoid."""
        with self._lock:
            first = next(self._turn) % len(ENGINES)
            self._engines = (*ENGINES[first:], *ENGINES[:first])
            return super().ask(ask, on_revoke)


class SilentEngineTest(unittest.TestCase):
    """One engine of 30 is silent: the 99th percentile was over a second."""

    def first_events_s(self, share: float) -> tuple[list[float], Repeats]:
        """Return the sorted times to the first event of all requests."""
        answers = {name: [QUICK] for name in ENGINES}
        answers["e7"] = [SILENT]
        engines = TimedEngines(**answers)  # type: ignore[arg-type]
        resumable = route(
            resumable=True, target_s=TARGET_S, gap_s=0.3, max_attempts=3
        )
        deps = make_dependencies(engines, RotatingPermits(), resumable)
        deps.directory.set_engines([engine(name) for name in ENGINES])
        repeats = Repeats(RepeatShares(share))
        self.addCleanup(repeats.stop)
        deps = replace(deps, repeats=repeats)

        def run(number: int) -> float:
            start = time.monotonic()
            first_s = None
            body = b""
            req = request(request_id=f"r{number}")
            for each in Forwarder(deps).run(req, lambda: False):
                if isinstance(each, AnswerBody):
                    first_s = first_s or time.monotonic() - start
                    body += each.data
            self.assertEqual(WHOLE, body)
            assert first_s is not None
            return first_s

        with ThreadPoolExecutor(CALLERS) as callers:
            times = sorted(callers.map(run, range(REQUESTS)))
        return times, repeats

    def test_99th_percentile(self) -> None:
        without, _ = self.first_events_s(0.0)
        times, repeats = self.first_events_s(SHARE)
        at = int(0.99 * REQUESTS)
        self.assertGreater(without[at], 3 * TARGET_S)
        self.assertLess(times[at], TARGET_S)
        # Nor do they cost more than their share.
        counts = {name: n for (_, name), n in repeats.counts().items()}
        most = SHARE * REQUESTS * 1.1 + FIRST_SAVED_RUNS + SAVED_RUNS
        self.assertLessEqual(counts["started"], most)
