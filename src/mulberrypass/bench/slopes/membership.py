"""Cost of the membership for each member, by the size of the fleet.

Run as ``python -m mulberrypass.bench.slopes.membership``. The members run in
one process, each with its own address, server and channels.
"""

from __future__ import annotations

from asyncio import selector_events
from dataclasses import asdict, dataclass
import json
import pathlib
import random
import sys
import threading
import time
from typing import TYPE_CHECKING, Any

import fire

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind, ListedMachine, ListedState
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.membership import GossipMembership
from mulberrypass.peer.membership_state import MembershipSettings
from mulberrypass.peer.peer_pb2 import FetchReply, FetchRequest
from mulberrypass.peer.server import ConfigurationHandler, PeerServer
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_memory import MemoryInstanceList
from mulberrypass.testing.platform_state import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_OUT = "bench/results/slope-membership.json"
DEFAULT_SIZES = (10, 25, 50, 100)
KEY = "bench"
NETWORK = "127.0.13"
WAIT_S = 120.0
START_SPACING_S = 0.05
SETTLE_S = 25.0


@dataclass(frozen=True, slots=True)
class Measured:
    """Figures of one size.

    :param cpu_share: share of a core that one member takes
    :param bytes_per_s: bytes that one member writes to its sockets
    :param spread_s: seconds until all members know, by kind of news
    """

    members: int
    window_s: float
    cpu_share: float
    bytes_per_s: float
    message_bytes_per_s: float
    calls_per_s: float
    handling_share: float
    false_suspicions: int
    join_s: float
    spread_s: dict[str, float]


class _NoConfiguration(ConfigurationHandler):
    async def fetch(self, req: FetchRequest) -> FetchReply:
        return FetchReply()


class _Fleet:
    """Members on one loop."""

    def __init__(self, size: int, seed: int) -> None:
        self.loop = LoopThread()
        self.loop.start()
        self.changed = threading.Condition()
        self.platform = FakePlatform()
        self.generations = [0] * size
        self.members: list[GossipMembership] = []
        self.servers: list[PeerServer] = []
        for number in range(size):
            self._add(number, seed)
        self.platform.set_listed(
            (_listed(number) for number in range(size)), at_once=True
        )

    def start(self) -> None:
        """Start all members, a little apart: they share one core."""
        for number, server in enumerate(self.servers):
            started = server.start(_address(number), 7102)
            self.loop.submit(started).result(WAIT_S)
        for member in self.members:
            member.start()
            time.sleep(START_SPACING_S)

    def stop(self) -> None:
        """Stop all members."""
        for member, server in zip(self.members, self.servers, strict=True):
            member.stop()
            self.loop.submit(server.stop()).result(WAIT_S)
        self.loop.stop()

    def seconds_until(
        self, holds: Callable[[GossipMembership], bool]
    ) -> float:
        """Wait until a condition holds for all members."""
        began = time.monotonic()
        with self.changed:
            all_hold = self.changed.wait_for(
                lambda: all(map(holds, self.members)), WAIT_S
            )
        if not all_hold:
            raise TimeoutError("the news did not reach all members")
        return time.monotonic() - began

    def settle(self) -> None:
        """Let the news of the start be sent out."""
        time.sleep(SETTLE_S)
        self.seconds_until(
            lambda member: len(member.live("entry")) == len(self.members)
        )

    def _add(self, number: int, seed: int) -> None:
        name = f"entry@bench-{number:04}"
        me = Member(name, "entry", "bench-zone", _address(number), 1)
        member = GossipMembership(
            me,
            self.loop,
            MemoryInstanceList(self.platform),
            KEY,
            MembershipSettings(),
            Metrics("entry"),
            lambda _from, found: self._take_generation(number, found),
            lambda: self.generations[number],
            rng=random.Random(seed * 10_000 + number),
            datagrams=True,
        )
        member.subscribe(self._notify)
        self.members.append(member)
        self.servers.append(PeerServer(KEY, member, _NoConfiguration()))

    def _take_generation(self, number: int, found: int) -> None:
        self.generations[number] = found
        self._notify()

    def _notify(self) -> None:
        with self.changed:
            self.changed.notify_all()


def _address(number: int) -> str:
    return f"{NETWORK}.{number + 1}"


def _listed(number: int) -> ListedMachine:
    return ListedMachine(
        f"bench-{number:04}",
        ListedKind.INSTANCE,
        "bench-zone",
        _address(number),
        ListedState.LIVE,
    )


def _count_written_bytes() -> list[int]:
    """Count bytes that transports of the event loop write from now on."""
    counted = [0]
    transport: Any = vars(selector_events)["_SelectorSocketTransport"]
    write = transport.write
    datagrams: Any = vars(selector_events)["_SelectorDatagramTransport"]
    sendto = datagrams.sendto

    def counting_write(self: Any, data: bytes) -> None:
        counted[0] += len(data)
        write(self, data)

    def counting_sendto(self: Any, data: bytes, addr: Any = None) -> None:
        counted[0] += len(data)
        sendto(self, data, addr)

    transport.write = counting_write
    datagrams.sendto = counting_sendto
    return counted


def _state_of(member: GossipMembership, name: str) -> MemberState:
    for other in member.members("entry"):
        if other.name == name:
            return other.state
    return MemberState.DEAD


def _spread(fleet: _Fleet) -> dict[str, float]:
    """Give the seconds that each kind of news takes to reach all."""
    spread = {}
    fleet.generations[0] = 1
    spread["generation"] = fleet.seconds_until(
        lambda _member: min(fleet.generations) == 1
    )
    fleet.members[0].report_leaving_backend("engine-0")
    spread["leaving_backend"] = fleet.seconds_until(
        lambda member: "engine-0" in member.leaving_backends()
    )
    leaver = "entry@bench-0001"
    fleet.members[1].leave()
    spread["leaving"] = fleet.seconds_until(
        lambda member: _state_of(member, leaver) is MemberState.LEAVING
    )
    spread |= _death(fleet)
    return spread


def _death(fleet: _Fleet) -> dict[str, float]:
    """Kill the last member, and see when the others know."""
    name = f"entry@bench-{len(fleet.members) - 1:04}"
    began = time.monotonic()
    fleet.members.pop().stop()
    server = fleet.servers.pop()
    fleet.loop.submit(server.stop()).result(WAIT_S)
    fleet.seconds_until(
        lambda member: _state_of(member, name) is not MemberState.ALIVE
    )
    suspected_s = time.monotonic() - began
    fleet.seconds_until(
        lambda member: _state_of(member, name) is MemberState.DEAD
    )
    return {
        "death_suspected": suspected_s,
        "death_certain": time.monotonic() - began,
    }


def measure(
    size: int, window_s: float, seed: int, written: list[int]
) -> Measured:
    """Measure one size of the fleet.

    :param window_s: seconds without any event over which cost is measured
    :param written: bytes written to sockets so far
    """
    fleet = _Fleet(size, seed)
    try:
        return _measure(fleet, size, window_s, written)
    finally:
        fleet.stop()


def _measure(
    fleet: _Fleet, size: int, window_s: float, written: list[int]
) -> Measured:
    fleet.start()
    join_s = fleet.seconds_until(
        lambda member: len(member.live("entry")) == size
    )
    fleet.settle()
    states = [member.state() for member in fleet.members]
    bytes_before, cpu_before = written[0], time.process_time()
    began = time.monotonic()
    time.sleep(window_s)
    took_s = time.monotonic() - began
    cpu_s = time.process_time() - cpu_before
    bytes_sent = written[0] - bytes_before
    after = [member.state() for member in fleet.members]
    pairs = list(zip(states, after, strict=True))
    calls = sum(b.calls - a.calls for a, b in pairs)
    message_bytes = sum(b.bytes_sent - a.bytes_sent for a, b in pairs)
    handling_s = sum(b.handling_s - a.handling_s for a, b in pairs)
    suspicions = max(b.suspicions - a.suspicions for a, b in pairs)
    spread_s = _spread(fleet)
    each = size * took_s
    return Measured(
        members=size,
        window_s=round(took_s, 3),
        cpu_share=round(cpu_s / each, 5),
        bytes_per_s=round(bytes_sent / each, 1),
        message_bytes_per_s=round(message_bytes / each, 1),
        calls_per_s=round(calls / each, 3),
        handling_share=round(handling_s / each, 6),
        false_suspicions=suspicions,
        join_s=round(join_s, 3),
        spread_s={kind: round(s, 3) for kind, s in spread_s.items()},
    )


def run(
    members: tuple[int, ...] | int = DEFAULT_SIZES,
    window_s: float = 20.0,
    seed: int = 1,
    out: str = DEFAULT_OUT,
) -> None:
    """Measure several sizes and write the figures as JSON.

    :param members: sizes of the fleet, separated by commas
    :param window_s: seconds over which each size's cost is measured
    :param out: file that is written; empty for none
    """
    sizes = (members,) if isinstance(members, int) else members
    written = _count_written_bytes()
    measured: list[dict[str, Any]] = []
    for size in sizes:
        measured.append(_measure_or_fail(size, window_s, seed, written))
        _write(measured, seed, out)


def _measure_or_fail(
    size: int, window_s: float, seed: int, written: list[int]
) -> dict[str, Any]:
    """Measure one size; a fleet that one loop can't carry is said so."""
    try:
        return asdict(measure(size, window_s, seed, written))
    except TimeoutError as exc:
        return {"members": size, "failed": str(exc)}


def _write(measured: list[dict[str, Any]], seed: int, out: str) -> None:
    doc = {
        "command": "python -m mulberrypass.bench.slopes.membership",
        "seed": seed,
        "heartbeat_s": MembershipSettings().view.heartbeat_s,
        "neighbours": MembershipSettings().view.neighbours,
        "sizes": measured,
    }
    text = json.dumps(doc, indent=1) + "\n"
    sys.stdout.write(text)
    if out:
        pathlib.Path(out).write_text(text)


if __name__ == "__main__":
    fire.Fire(run)

__all__ = ["Measured", "measure", "run"]
