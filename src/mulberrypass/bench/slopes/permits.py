"""Cost of a permit for its holder and for the cell owner.

The command ``owner`` runs an owner. ``holder``, in another process, requests
permits from it at rising rates and writes the results.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import asdict, dataclass, field
import json
import os
from pathlib import Path
import threading
import time
from typing import TYPE_CHECKING, Any

import fire
from grpclib.client import Channel

from mulberrypass.model.member import Member
from mulberrypass.model.objects import (
    Backend,
    BackendKind,
    Configuration,
    Pool,
)
from mulberrypass.model.source import ConfigurationSource
from mulberrypass.model.value_class import value_class
from mulberrypass.peer.api import Membership
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.owner import CellOwner
from mulberrypass.peer.peer_grpc import PeerStub
import mulberrypass.peer.peer_pb2 as pb
from mulberrypass.peer.permit_client import PeerPermitClient
from mulberrypass.peer.permit_streams import PermitStreams
from mulberrypass.peer.server import (
    KEY_HEADER,
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
from mulberrypass.runtime.lifecycle import STOP_SIGNALS, SignalQueue
from mulberrypass.runtime.logs import configure
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.runtime.ports import ENTRY_PEER_PORT

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from mulberrypass.policy.messages import Refuse

RATES_PER_S = (0, 100, 500, 1_000, 2_000)
ENGINES = 16
SLOTS = 64
FIRST_TOKEN_S = 0.03
HOLD_S = 0.1
POLL_INTERVAL_S = 0.002
TIMEOUT_S = 10.0
SETTLE_S = 2.0
# HTTP/2 frame header (9) and gRPC message prefix (5).
FRAME_BYTES = 14
KEY = "slope-permits"
POOL = "rackmind"
ADDRESS = "127.0.0.1"
HOLDER = Member("entry@holder", "entry", "zone-b", ADDRESS, 1)
RESULTS = Path("bench/results/slope-permits.json")


@value_class
class PermitCost:
    """Measured cost at one rate of permits.

    :param owner_us: processor time of the owner for a permit
    :param holder_us: processor time of the holder's loop for a permit
    :param owner_share: processor time of the owner, as a share of a core
    :param batches: message batches on the wire for a permit, both ways
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


class _StaticMembership(Membership):
    def __init__(self, address: str) -> None:
        self._owner = Member("entry@owner", "entry", "zone-a", address, 1)

    def members(self, program: str) -> tuple[Member, ...]:
        return (self._owner,) if program == "entry" else ()

    def live(self, program: str) -> tuple[Member, ...]:
        return self.members(program)

    def leaving_backends(self) -> frozenset[str]:
        return frozenset()

    def report_leaving_backend(self, backend: str) -> None:
        raise NotImplementedError

    def subscribe(self, changed: Callable[[], None]) -> None:
        pass


class _StaticConfiguration(ConfigurationSource):
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


class _OwnerUsage(ConfigurationHandler):
    """Returns the owner's processor time and traffic so far."""

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts

    async def fetch(self, req: pb.FetchRequest) -> pb.FetchReply:
        figures = dict(self._counts) | {"cpu_s": time.process_time()}
        return pb.FetchReply(snapshot=json.dumps(figures).encode())


class _CountedStream:
    """Stream wrapper that counts batches, messages and bytes."""

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
class _PermitLoad:
    """Open-loop load of permit requests, first tokens and releases."""

    client: PeerPermitClient
    rate_per_s: int
    duration_s: float
    latencies_ms: list[float] = field(default_factory=list)
    refused: int = 0
    prefilling: deque[tuple[float, str]] = field(default_factory=deque)
    running: deque[tuple[float, str]] = field(default_factory=deque)

    def run(self) -> None:
        """Request permits at the rate and release each after its time."""
        start = time.monotonic()
        asked = 0
        while (now := time.monotonic()) < start + self.duration_s:
            due = int((now - start) * self.rate_per_s)
            for index in range(asked, due):
                self._ask(index, now)
            asked = max(asked, due)
            self._advance(now)
            time.sleep(POLL_INTERVAL_S)
        time.sleep(HOLD_S)
        self._advance(time.monotonic() + HOLD_S)

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
        answer = self.client.ask(ask, lambda: None)
        answer.add_done_callback(lambda fut: self._on_answer(fut, now))

    def _on_answer(self, fut: Future[Grant | Refuse], asked: float) -> None:
        now = time.monotonic()
        answer = fut.result()
        if not isinstance(answer, Grant):
            self.refused += 1
            return
        self.latencies_ms.append((now - asked) * 1_000)
        self.prefilling.append((now, answer.ask_id))

    def _advance(self, now: float) -> None:
        while self.prefilling and self.prefilling[0][0] + FIRST_TOKEN_S <= now:
            at, ask_id = self.prefilling.popleft()
            self.running.append((at, ask_id))
            self.client.tell(FirstToken(ask_id, FIRST_TOKEN_S))
        while self.running and self.running[0][0] + HOLD_S <= now:
            _, ask_id = self.running.popleft()
            outcome = ReleaseOutcome.DONE
            self.client.tell(Release(ask_id, outcome, HOLD_S, 128, 0.02))


class _Holder:
    """Permit holder connected to an owner in another process."""

    def __init__(self, address: str, port: int) -> None:
        members = _StaticMembership(address)
        self._peer = members.members("entry")[0]
        self._port = port
        self.loop = LoopThread("holder-loop")
        self.loop.start()
        self.client = PeerPermitClient(
            HOLDER,
            self.loop,
            members,
            _StaticConfiguration(),
            None,
            KEY,
            metrics=Metrics("holder"),
            port=lambda _member: port,
        )
        self.client.start()

    def measure(self, rate_per_s: int, duration_s: float) -> PermitCost:
        """Measure the cost at one rate."""
        before, holder_s = self._owner_usage(), _thread_cpu_s("holder-loop")
        run = _PermitLoad(self.client, rate_per_s, duration_s)
        run.run()
        holder_s = _thread_cpu_s("holder-loop") - holder_s
        after = self._owner_usage()
        used = {name: after[name] - before.get(name, 0) for name in after}
        permits = len(run.latencies_ms)
        count = max(1, permits)
        messages = used["messages"] / max(1, used["batches"])
        latencies = sorted(run.latencies_ms) or [0.0]
        return PermitCost(
            rate_per_s=rate_per_s,
            permits=permits,
            refused=run.refused,
            owner_us=round(used["cpu_s"] / count * 1e6, 1) if permits else 0.0,
            holder_us=round(holder_s / count * 1e6, 1) if permits else 0.0,
            owner_share=round(used["cpu_s"] / duration_s, 4),
            holder_share=round(holder_s / duration_s, 4),
            batches=round(used["batches"] / count, 3),
            messages_in_batch=round(messages, 2),
            wire_bytes=round(used["bytes"] / count, 1),
            grant_p50_ms=round(latencies[len(latencies) // 2], 2),
            grant_p99_ms=round(latencies[len(latencies) * 99 // 100], 2),
        )

    def stop(self) -> None:
        """Stop the client and the loop."""
        self.client.stop()
        self.loop.stop()

    def _owner_usage(self) -> dict[str, float]:
        fut = self.loop.submit(self._fetch())
        figures: dict[str, float] = json.loads(fut.result(TIMEOUT_S))
        return figures

    async def _fetch(self) -> bytes:
        channel = Channel(self._peer.address, self._port)
        try:
            reply = await PeerStub(channel).FetchConfiguration(
                pb.FetchRequest(), metadata={KEY_HEADER: KEY}
            )
            return bytes(reply.snapshot)
        finally:
            channel.close()


def _thread_cpu_s(name: str) -> float:
    """Return the processor time of the threads with a name."""
    return sum(
        time.clock_gettime(time.pthread_getcpuclockid(thread.ident))
        for thread in threading.enumerate()
        if thread.name == name and thread.ident is not None
    )


def run_owner(address: str = ADDRESS, port: int = ENTRY_PEER_PORT) -> None:
    """Own all cells until a stop signal arrives."""
    configure("bench", "entry@owner", "console", "warning")
    stop = SignalQueue(*STOP_SIGNALS)
    stop.install()
    members = _StaticMembership(address)
    loop = LoopThread("owner-loop")
    loop.start()
    owner = CellOwner(
        members.members("entry")[0],
        members,
        _StaticConfiguration(),
        Metrics("owner"),
    )
    owner.start()
    streams = _CountedStreams(PermitStreams(owner))
    figures = _OwnerUsage(streams.counts)
    server = PeerServer(KEY, _NoHeartbeats(), figures, streams)
    loop.submit(server.start(address, port)).result(TIMEOUT_S)
    stop.get()
    owner.stop()
    loop.submit(server.stop()).result(TIMEOUT_S)
    loop.stop()


def run_holder(
    address: str = ADDRESS,
    port: int = ENTRY_PEER_PORT,
    duration_s: float = 8.0,
    results: str = str(RESULTS),
) -> None:
    """Measure each rate, print the figures and write the results.

    :param address: IP address of the owner
    :param duration_s: seconds for each rate
    :param results: path of the output file
    """
    configure("bench", HOLDER.name, "console", "warning")
    holder = _Holder(address, port)
    holder.measure(RATES_PER_S[-1], SETTLE_S)
    slopes = []
    for rate in RATES_PER_S:
        time.sleep(SETTLE_S)
        slopes.append(holder.measure(rate, duration_s))
        print(json.dumps(asdict(slopes[-1])), flush=True)
    holder.stop()
    document = {
        "command": "python -m mulberrypass.bench.slopes.permits holder",
        "duration_s": duration_s,
        "engines": ENGINES,
        "slots": SLOTS,
        "hold_s": HOLD_S,
        "load_average": os.getloadavg()[0],
        "slopes": [asdict(slope) for slope in slopes],
    }
    path = Path(results)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire({"owner": run_owner, "holder": run_holder})

__all__ = ["PermitCost", "run_holder", "run_owner"]
