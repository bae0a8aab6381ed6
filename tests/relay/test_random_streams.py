"""Streams and bodies from engines that misbehave at random."""

from __future__ import annotations

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import random
import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import (
    ERROR_TEXT,
    RawEngine,
    RawFaults,
    RunEnd,
)
from mulberrypass.relay.api import (
    AnswerBody,
    AnswerHead,
    TruncatedAnswerError,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.engine.endless import HOST
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    request,
    route,
    table,
)

if TYPE_CHECKING:
    from mulberrypass.model.routes import RelayRoute

SEEDS = range(6)
REQUESTS = 24
# More than one engine gets of the runs of all requests of a seed.
RUNS = 100
AT_ONCE = 8
ENGINES = 3
EVENTS = 6
EVENT_S = 0.003
WAIT_S = 3.0
LEAVES_S = (0.005, 0.01, 9.0, 9.0, 9.0)
ROUTES = (
    route(resumable=True, max_attempts=1),
    route(resumable=True, max_attempts=2),
    route(resumable=True, max_attempts=4),
    route(),
    route(kind=RouteKind.IDEMPOTENT, max_attempts=3),
    route(kind=RouteKind.NON_IDEMPOTENT),
)


@dataclass(slots=True)
class Got:
    """What a caller got.

    :ivar looks_whole: whether the answer is a success with a certain end
    :ivar in_doubt: whether only its connection ends it
    """

    body: bytes = b""
    looks_whole: bool = False
    in_doubt: bool = False


class RandomStreamsTest(unittest.TestCase):
    """Answers that looked whole and were not."""

    def setUp(self) -> None:
        quiet_logs()
        self.faults = [RawFaults(unframed=True) for _ in range(ENGINES)]
        self.engines = [
            RawEngine(f"e{n}", HostPort(HOST, 0), EVENTS, EVENT_S, faults)
            for n, faults in enumerate(self.faults)
        ]
        for each in self.engines:
            each.start()
            self.addCleanup(each.end)
        self.client = HttpEngineClient()
        self.addCleanup(self.client.retain, frozenset())
        self.watch = CallWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)

    def forward(
        self,
        to: RelayRoute,
        request_id: str,
        names: list[str],
        leaves_s: float,
    ) -> Got:
        directory = Directory()
        directory.apply_routes(table(to))
        directory.set_engines(
            engine(each.name, address=f"{each.at.host}:{each.at.port}")
            for each in self.engines
        )
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", ScriptedPermits(*names), directory),
            self.client,
            self.watch,
        )
        req = request(
            request_id=request_id,
            headers=((REQUEST_ID, request_id),),
            wait_s=WAIT_S,
        )
        ends_at = time.monotonic() + leaves_s
        got = Got()
        certain = False
        try:
            for each in Forwarder(deps).run(
                req, lambda: time.monotonic() > ends_at
            ):
                match each:
                    case AnswerHead(status=200, ends_with_connection=doubt):
                        certain = not doubt
                        got.in_doubt = doubt
                    case AnswerBody(data):
                        got.body += data
        except TruncatedAnswerError:
            got.in_doubt = False
            return got
        got.looks_whole = certain
        return got

    def misbehave(self, rng: random.Random, ended: threading.Event) -> None:
        """Let engines refuse, fail and repeat until all requests are done."""
        while not ended.wait(rng.random() * 0.01):
            faults = rng.choice(self.faults)
            faults.repeated = rng.random() < 0.3
            faults.failures = rng.choice((0, 0, 0, 1))
            faults.unstamped = rng.choice((0, 0, 0, 1))
            faults.refusals = rng.choice((0, 0, 1))
            faults.ids_in_refusals = rng.random() < 0.5

    def play(self, seed: int) -> list[tuple[RelayRoute, str, Got]]:
        """Forward all requests of a seed."""
        rng = random.Random(seed)
        for faults in self.faults:
            faults.ends = deque(random_end(rng) for _ in range(RUNS))
        ended = threading.Event()
        other = threading.Thread(target=self.misbehave, args=(rng, ended))
        other.start()
        asked = []
        with ThreadPoolExecutor(AT_ONCE) as pool:
            for number in range(REQUESTS):
                to = ROUTES[number % len(ROUTES)]
                request_id = f"r{seed:02d}-{number:02d}"
                names = rng.sample([e.name for e in self.engines], ENGINES)
                leaves_s = rng.choice(LEAVES_S)
                fut = pool.submit(
                    self.forward, to, request_id, names, leaves_s
                )
                asked.append((to, request_id, fut))
        ended.set()
        other.join()
        return [(to, name, fut.result()) for to, name, fut in asked]

    def test_what_looks_whole_is_whole(self) -> None:
        for seed in SEEDS:
            for to, request_id, got in self.play(seed):
                with self.subTest(request_id, kind=to.kind):
                    wanted = whole(request_id)
                    if got.looks_whole:
                        self.assertEqual(wanted, got.body)
                    elif got.body != ERROR_TEXT.encode():
                        self.assertTrue(wanted.startswith(got.body))


def random_end(rng: random.Random) -> RunEnd:
    """Return how a run ends: whole, between two events, or inside one.

    None ends right after one event: two such runs can't be told from two
    whole ones.
    """
    return RunEnd(
        events=rng.choice((None, None, 0, 2, 3, 4, 5)),
        more=rng.choice((0, 0, 0, 9)),
        reset=rng.random() < 0.1,
        unframed=rng.random() < 0.7,
    )


def whole(request_id: str) -> bytes:
    """Return the whole answer to a request."""
    return b"".join(event(request_id, n) for n in range(1, EVENTS + 1))


if __name__ == "__main__":
    unittest.main()
