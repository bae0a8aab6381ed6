"""Measures what a permit costs its holder and its owner.

Owner and holder run in one process with a loop each, so that the processor
time of each side is that of its own threads.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import asdict, dataclass, field
import json
from pathlib import Path
import threading
import time
from typing import TYPE_CHECKING, Any

import fire

from mulberrypass.model.objects import (
    Backend,
    BackendKind,
    Configuration,
    Pool,
)
from mulberrypass.model.source import ConfigurationSource
from mulberrypass.peer.api import Member, Membership
from mulberrypass.peer.holder import PermitLink
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.owner import OwnerTask, PermitStreams
import mulberrypass.peer.peer_pb2 as pb
from mulberrypass.peer.server import (
    ConfigurationHandler,
    HeartbeatHandler,
    PeerServer,
    PermitsHandler,
)
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    Release,
    ReleaseOutcome,
    WorkClass,
)
from mulberrypass.runtime.logs import configure
from mulberrypass.runtime.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from mulberrypass.policy.messages import Refuse

RATES_PER_S = (0, 100, 500, 1_000, 2_000)
ENGINES = 16
SLOTS = 64
HOLD_S = 0.1
STEP_S = 0.002
WAIT_S = 10.0
FRAME_BYTES = 14
KEY = "slope-permits"
POOL = "rackmind"
OWNER = Member("entry@owner", "entry", "zone-a", "127.0.0.1", 1)
HOLDER = Member("entry@holder", "entry", "zone-b", "127.0.0.1", 1)
RESULTS = Path("bench/results/slope-permits.json")


@dataclass(frozen=True, slots=True)
class Slope:
    """What was measured at one rate.

    :param owner_us: processor time at the owner for a permit
    :param holder_us: processor time on the holder's loop for a permit
    :param owner_share: processor time at the owner, share of a core
    :param batches: messages on the wire for a permit, both ways
    :param wire_bytes: bytes for a permit, both ways
    """

    rate_per_s: int
    permits: int
    refused: int
    owner_us: float
    holder_us: float
    owner_share: float
    holder_share: float
    batches: float
    messages_in_batch: float
    wire_bytes: float
    grant_p50_ms: float
    grant_p99_ms: float


class _Members(Membership):
    def members(self, program: str) -> tuple[Member, ...]:
        return (OWNER,) if program == OWNER.program else ()

    def live(self, program: str) -> tuple[Member, ...]:
        return self.members(program)

    def leaving_backends(self) -> frozenset[str]:
        return frozenset()

    def report_leaving_backend(self, backend: str) -> None:
        raise NotImplementedError

    def subscribe(self, changed: Callable[[], None]) -> None:
        pass


class _Objects(ConfigurationSource):
    def __init__(self) -> None:
        names = [f"core-{index:02}" for index in range(ENGINES)]
        self._cfg = Configuration(
            generation=1,
            pools={POOL: Pool(POOL, tuple(names))},
            backends={
                name: Backend(
                    name, BackendKind.ENGINE, "zone-a", "127.0.0.1:1", SLOTS
                )
                for name in names
            },
        )

    def current(self) -> Configuration:
        return self._cfg

    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        pass


class _NoHeartbeats(HeartbeatHandler):
    async def heartbeat(self, req: pb.HeartbeatRequest) -> pb.HeartbeatReply:
        return pb.HeartbeatReply()


class _NoConfigurations(ConfigurationHandler):
    async def fetch(self, req: pb.FetchRequest) -> pb.FetchReply:
        return pb.FetchReply()


class _CountedStream:
    """Counts what passes over one stream."""

    def __init__(self, stream: Any, counts: Counter[str]) -> None:
        self._stream = stream
        self._counts = counts

    async def recv_message(self) -> Any:
        batch = await self._stream.recv_message()
        self._count(batch)
        return batch

    async def send_message(self, batch: Any) -> None:
        self._count(batch)
        await self._stream.send_message(batch)

    def _count(self, batch: Any) -> None:
        if batch is not None:
            self._counts["batches"] += 1
            self._counts["messages"] += len(batch.messages)
            self._counts["bytes"] += batch.ByteSize() + FRAME_BYTES


class _CountedStreams(PermitsHandler):
    def __init__(self, inner: PermitStreams) -> None:
        self._inner = inner
        self.counts: Counter[str] = Counter()

    async def permits(self, stream: Any) -> None:
        counted: Any = _CountedStream(stream, self.counts)
        await self._inner.permits(counted)


@dataclass(slots=True)
class _Run:
    """One open-loop run: asks at a rate, first tokens and releases."""

    link: PermitLink
    rate_per_s: int
    duration_s: float
    latencies_ms: list[float] = field(default_factory=list)
    refused: int = 0
    running: deque[tuple[float, str]] = field(default_factory=deque)

    def go(self) -> None:
        """Ask at the rate, and release what has been held long enough."""
        start = time.monotonic()
        asked = 0
        while (now := time.monotonic()) < start + self.duration_s:
            due = int((now - start) * self.rate_per_s)
            for index in range(asked, due):
                self._ask(index, now)
            asked = max(asked, due)
            self._release(now)
            time.sleep(STEP_S)
        time.sleep(HOLD_S)
        self._release(time.monotonic() + HOLD_S)

    def _ask(self, index: int, now: float) -> None:
        online = index % 2 == 0
        ask = Ask(
            ask_id=f"{HOLDER.name}/{self.rate_per_s}/{index}",
            holder=HOLDER.name,
            pool=POOL,
            customer=f"customer-{index % 30}",
            work_class=WorkClass.ONLINE if online else WorkClass.BATCH,
            budget_s=30.0,
            prompt_tokens=128 if online else 0,
            output_tokens=128,
            prefix=tuple(range(index % 50, index % 50 + 8)),
            revocable=not online,
        )
        answer = self.link.ask(ask, lambda: None)
        answer.add_done_callback(lambda fut: self._answered(fut, now))

    def _answered(self, fut: Future[Grant | Refuse], asked: float) -> None:
        now = time.monotonic()
        answer = fut.result()
        if not isinstance(answer, Grant):
            self.refused += 1
            return
        self.latencies_ms.append((now - asked) * 1_000)
        self.running.append((now, answer.ask_id))

    def _release(self, now: float) -> None:
        while self.running and self.running[0][0] + HOLD_S <= now:
            _, ask_id = self.running.popleft()
            self.link.tell(FirstToken(ask_id, 0.03))
            outcome = ReleaseOutcome.DONE
            self.link.tell(Release(ask_id, outcome, HOLD_S, 128, 0.02))


class _Bench:
    """An owner and a holder that are connected by a socket."""

    def __init__(self) -> None:
        members, objects = _Members(), _Objects()
        self.owner_loop = LoopThread("owner-loop")
        self.holder_loop = LoopThread("holder-loop")
        self.owner_loop.start()
        self.holder_loop.start()
        self.owner = OwnerTask(OWNER, members, objects, Metrics("owner"))
        self.owner.start()
        self.streams = _CountedStreams(PermitStreams(self.owner))
        self.server = PeerServer(
            KEY, _NoHeartbeats(), _NoConfigurations(), self.streams
        )
        starting = self.server.start(OWNER.address, 0)
        self.owner_loop.submit(starting).result(WAIT_S)
        inner: Any = self.server._server
        port = inner._server.sockets[0].getsockname()[1]
        self.link = PermitLink(
            HOLDER,
            self.holder_loop,
            members,
            objects,
            None,
            KEY,
            metrics=Metrics("holder"),
            port=lambda _member: port,
        )
        self.link.start()

    def measure(self, rate_per_s: int, duration_s: float) -> Slope:
        """Run at a rate, and give what it cost."""
        self.streams.counts.clear()
        owner, holder = self._owner_s(), self._holder_s()
        run = _Run(self.link, rate_per_s, duration_s)
        run.go()
        owner, holder = self._owner_s() - owner, self._holder_s() - holder
        permits = len(run.latencies_ms)
        each = max(1, permits)
        counts = self.streams.counts
        latencies = sorted(run.latencies_ms) or [0.0]
        return Slope(
            rate_per_s=rate_per_s,
            permits=permits,
            refused=run.refused,
            owner_us=round(owner / each * 1e6, 1) if permits else 0.0,
            holder_us=round(holder / each * 1e6, 1) if permits else 0.0,
            owner_share=round(owner / duration_s, 4),
            holder_share=round(holder / duration_s, 4),
            batches=round(counts["batches"] / each, 3),
            messages_in_batch=round(
                counts["messages"] / max(1, counts["batches"]), 2
            ),
            wire_bytes=round(counts["bytes"] / each, 1),
            grant_p50_ms=round(latencies[len(latencies) // 2], 2),
            grant_p99_ms=round(latencies[len(latencies) * 99 // 100], 2),
        )

    def stop(self) -> None:
        """End all parts."""
        self.link.stop()
        self.owner.stop()
        self.owner_loop.submit(self.server.stop()).result(WAIT_S)
        self.owner_loop.stop()
        self.holder_loop.stop()

    def _owner_s(self) -> float:
        return _thread_s("cell-owner") + _thread_s("owner-loop")

    def _holder_s(self) -> float:
        return _thread_s("holder-loop")


def _thread_s(name: str) -> float:
    """Give the processor time that threads of a name have used."""
    return sum(
        time.clock_gettime(time.pthread_getcpuclockid(thread.ident))
        for thread in threading.enumerate()
        if thread.name == name and thread.ident is not None
    )


def run(duration_s: float = 8.0, results: str = str(RESULTS)) -> None:
    """Measure at each rate, print a table and write the results.

    :param duration_s: seconds for each rate
    :param results: path of the file that is written
    """
    configure("bench", HOLDER.name, "console", "warning")
    bench = _Bench()
    bench.measure(RATES_PER_S[-1], 1.0)
    slopes = [bench.measure(rate, duration_s) for rate in RATES_PER_S]
    bench.stop()
    for slope in slopes:
        print(json.dumps(asdict(slope)))
    document = {
        "command": "python -m mulberrypass.bench.slope_permits",
        "duration_s": duration_s,
        "engines": ENGINES,
        "slots": SLOTS,
        "hold_s": HOLD_S,
        "slopes": [asdict(slope) for slope in slopes],
    }
    path = Path(results)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(run)

__all__ = ["Slope", "run"]
