"""Random delays and failures of engines, with second runs."""

from __future__ import annotations

from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from itertools import combinations
import random
import threading
import time
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.routes import RouteKind
from mulberrypass.policy.messages import Grant, Release
from mulberrypass.policy.online.repeats import RepeatShares
from mulberrypass.relay import due_times, race
from mulberrypass.relay.api import AnswerBody, TruncatedAnswerError
from mulberrypass.relay.forward import Forwarder
from mulberrypass.relay.repeats import MAX_THREADS, Repeats
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    event,
    make_dependencies,
    request,
    route,
)
from tests.relay.timed_engines import (
    NEVER_S,
    Timed,
    TimedAnswer,
    TimedCall,
    TimedEngines,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from concurrent.futures import Future

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RegisteredEngine
    from mulberrypass.policy.messages import Ask, Refuse
    from mulberrypass.relay.api import EngineAnswer, RelayRequest
    from mulberrypass.relay.forward import RelayDependencies

EVENTS = 6
MAX_ATTEMPTS = 3
NAMES = ("e1", "e2", "e3", "e4", "e5")
CRASH = EngineFailed("cut", Ran.MAYBE, closed=True)
NOT_RUN = EngineFailed("no connection", Ran.NO)
SIDE_BY_SIDE_S = 0.06
SILENCE_S = 0.25
# Threads of a busy machine.
SLACK_S = 0.15
REQUESTS = 60
CALLERS = 8


class RandomEngines(TimedEngines):
    """Engines with random delays; each call goes on after its last event."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._rng = random.Random(seed)

    def exchange(
        self,
        engine: RegisteredEngine,
        req: RelayRequest,
        _deadline: Deadline,
        on_open: Callable[[Callable[[], None]], None],
        head_deadline: Deadline,
    ) -> EngineAnswer:
        """Record the call, and answer it at random."""
        with self._lock:
            call = TimedCall(engine.name, req)
            self.calls.append(call)
            rng = random.Random(self._rng.random())
        on_open(call.close)
        if rng.random() < 0.05:
            call.ended_at = time.monotonic()
            failed = rng.choice((NOT_RUN, CRASH))
            call.ran = failed.ran is not Ran.NO
            raise WireError(failed)
        answer = TimedAnswer(self._draw(rng, req), call)
        try:
            call.wait(rng.choice((0.0, 0.0, 0.02, 0.1)), head_deadline)
        except WireError:
            answer.finish()
            raise
        return answer

    def _draw(self, rng: random.Random, req: RelayRequest) -> Timed:
        parts: list[tuple[float, bytes | EngineFailed]] = []
        data = b""
        for number in range((req.after_event or 0) + 1, EVENTS + 1):
            data += event(number)
            at = rng.randrange(len(data)) if rng.random() < 0.3 else len(data)
            delay_s = rng.choice((0.0, 0.0, 0.005, 0.02, 0.12))
            parts.append((delay_s, data[:at]))
            data = data[at:]
            if rng.random() < 0.04:
                parts.append((rng.choice((0.05, NEVER_S)), CRASH))
        parts.append((0.0, data))
        return Timed([part for part in parts if part[1]])


class RandomPermits(ScriptedPermits):
    """Grants at random; refuses some second runs."""

    def __init__(self, seed: int) -> None:
        super().__init__(*NAMES)
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self.granted: set[str] = set()

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Answer at once."""
        with self._lock:
            engines = list(NAMES)
            self._rng.shuffle(engines)
            if ask.repeat and self._rng.random() < 0.2:
                engines = []
            self._engines = tuple(engines)
            answer = super().ask(ask, on_revoke)
            if isinstance(answer.result(), Grant):
                self.granted.add(ask.ask_id)
            return answer


class RandomRaceTest(unittest.TestCase):
    """Events of two runs were mixed, or a run went on beside another."""

    def setUp(self) -> None:
        for module, name, value in (
            (race, "SIDE_BY_SIDE_S", SIDE_BY_SIDE_S),
            (due_times, "SILENCE_TIMEOUT_S", SILENCE_S),
        ):
            patched = patch.object(module, name, value)
            patched.start()
            self.addCleanup(patched.stop)

    def run_all(self, seed: int, kind: RouteKind) -> None:
        engines = RandomEngines(seed)
        permits = RandomPermits(seed)
        # Second runs start after 40 and 50 ms.
        deps = make_dependencies(
            engines,
            permits,
            route(
                kind=kind,
                resumable=True,
                target_s=0.08,
                gap_s=0.1,
                max_attempts=MAX_ATTEMPTS,
                timeout_s=2.0,
            ),
        )
        deps.directory.set_engines([engine(name) for name in NAMES])
        repeats = Repeats(RepeatShares(1.0))
        self.addCleanup(repeats.stop)
        deps = replace(deps, repeats=repeats)
        deps.watch.start()
        self.addCleanup(deps.watch.stop)
        rng = random.Random(seed)
        leave_after = [
            rng.choice((0.05, 0.2)) if rng.random() < 0.1 else None
            for _ in range(REQUESTS)
        ]

        def run(number: int) -> None:
            self.run_one(deps, number, leave_after[number])

        with ThreadPoolExecutor(CALLERS) as callers:
            list(callers.map(run, range(REQUESTS)))
        until = time.monotonic() + 3.0
        while len(_released(permits)) < len(permits.granted):
            self.assertLess(time.monotonic(), until, "permits are held")
            time.sleep(0.01)
        self.assertEqual(sorted(permits.granted), sorted(_released(permits)))
        self.check_calls(engines)
        self.assertGreater(sum(repeats.counts().values()), REQUESTS / 10)
        free = [repeats._busy.acquire(timeout=2) for _ in range(MAX_THREADS)]
        self.assertTrue(all(free))

    def run_one(
        self, deps: RelayDependencies, number: int, leave_after: float | None
    ) -> None:
        start = time.monotonic()

        def disconnected() -> bool:
            left = time.monotonic() - start
            return leave_after is not None and left > leave_after

        body = b""
        cut = False
        req = request(request_id=f"r{number}")
        relayed = Forwarder(deps).run(req, disconnected)
        refused = True
        try:
            for each in relayed:
                if isinstance(each, AnswerBody):
                    body += each.data
                refused = refused and not hasattr(each, "length")
        except TruncatedAnswerError:
            cut = True
        whole = b"".join(event(n) for n in range(1, EVENTS + 1))
        self.assertTrue(whole.startswith(body), body)
        if not cut and not refused:
            self.assertEqual(whole, body)
        ends = [0] + [
            len(b"".join(event(n) for n in range(1, last + 1)))
            for last in range(1, EVENTS + 1)
        ]
        self.assertIn(len(body), ends)

    def check_calls(self, engines: RandomEngines) -> None:
        """Check how many engines a request had, and for how long at once."""
        calls: dict[str, list[TimedCall]] = defaultdict(list)
        for call in engines.calls:
            calls[call.req.request_id].append(call)
        for each in calls.values():
            engines_asked = {c.engine for c in each if c.ran}
            self.assertLessEqual(len(engines_asked), MAX_ATTEMPTS)
            for pair in combinations(each, 2):
                self.assertLess(_together_s(pair), SIDE_BY_SIDE_S + SLACK_S)
            for three in combinations(each, 3):
                self.assertLess(_together_s(three), 0.05)

    def test_streams(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.run_all(seed, RouteKind.STREAM)

    def test_calls(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.run_all(seed, RouteKind.IDEMPOTENT)


def _together_s(calls: Collection[TimedCall]) -> float:
    """Return for how long all of some calls were open."""
    ends = [c.closed_at or c.ended_at or float("inf") for c in calls]
    return min(ends) - max(call.sent_at for call in calls)


def _released(permits: ScriptedPermits) -> list[str]:
    """Return the asks of all releases."""
    return [m.ask_id for m in tuple(permits.told) if isinstance(m, Release)]
