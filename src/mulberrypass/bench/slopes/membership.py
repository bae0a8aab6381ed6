"""Cost of membership for each member, by the size of the fleet.

Run as ``python -m mulberrypass.bench.slopes.membership``. All members run in
one process, each with its own address, server and channels.
"""

from __future__ import annotations

from asyncio import selector_events
from dataclasses import asdict
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
from mulberrypass.model.value_class import value_class
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
TIMEOUT_S = 120.0
START_INTERVAL_S = 0.05
SETTLE_S = 25.0


@value_class
class MembershipCost:
    """Measured cost at one fleet size.

    :param cpu_share: share of a core that one member uses
    :param bytes_per_s: bytes that one member writes to its sockets
    :param spread_s: seconds until all members know of a change, by its kind
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
    """Members that share one event loop."""

    def __init__(self, size: int, seed: int) -> None:
        self.loop = LoopThread()
        self.loop.start()
        self.state_changed = threading.Condition()
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
        """Start the members one after another, as they share one core."""
        for number, server in enumerate(self.servers):
            started = server.start(_address(number), 7102)
            self.loop.submit(started).result(TIMEOUT_S)
        for member in self.members:
            member.start()
            time.sleep(START_INTERVAL_S)

    def stop(self) -> None:
        """Stop all members."""
        for member, server in zip(self.members, self.servers, strict=True):
            member.stop()
            self.loop.submit(server.stop()).result(TIMEOUT_S)
        self.loop.stop()

    def seconds_until(
        self, holds: Callable[[GossipMembership], bool]
    ) -> float:
        """Wait until a condition holds for all members.

        :returns: the seconds waited
        :raises TimeoutError: if the condition does not hold in time
        """
        started_at = time.monotonic()
        with self.state_changed:
            all_hold = self.state_changed.wait_for(
                lambda: all(map(holds, self.members)), TIMEOUT_S
            )
        if not all_hold:
            raise TimeoutError("the news did not reach all members")
        return time.monotonic() - started_at

    def settle(self) -> None:
        """Wait until the changes of the start have spread."""
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
            lambda _from, generation: self._set_generation(number, generation),
            lambda: self.generations[number],
            rng=random.Random(seed * 10_000 + number),
            datagrams=True,
        )
        member.subscribe(self._notify)
        self.members.append(member)
        self.servers.append(PeerServer(KEY, member, _NoConfiguration()))

    def _set_generation(self, number: int, generation: int) -> None:
        self.generations[number] = generation
        self._notify()

    def _notify(self) -> None:
        with self.state_changed:
            self.state_changed.notify_all()


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
    """Patch the event loop's transports to count the bytes they write."""
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


def _measure_spread(fleet: _Fleet) -> dict[str, float]:
    """Return the seconds that each kind of change takes to reach all."""
    spread = {}
    fleet.generations[0] = 1
    spread["generation"] = fleet.seconds_until(
        lambda _member: min(fleet.generations) == 1
    )
    fleet.members[0].report_leaving_backend("engine-0")
    spread["leaving_backend"] = fleet.seconds_until(
        lambda member: "engine-0" in member.leaving_backends()
    )
    leaving_name = "entry@bench-0001"
    fleet.members[1].leave()
    spread["leaving"] = fleet.seconds_until(
        lambda member: _state_of(member, leaving_name) is MemberState.LEAVING
    )
    spread |= _measure_death(fleet)
    return spread


def _measure_death(fleet: _Fleet) -> dict[str, float]:
    """Stop the last member and measure until the others detect it."""
    name = f"entry@bench-{len(fleet.members) - 1:04}"
    started_at = time.monotonic()
    fleet.members.pop().stop()
    server = fleet.servers.pop()
    fleet.loop.submit(server.stop()).result(TIMEOUT_S)
    fleet.seconds_until(
        lambda member: _state_of(member, name) is not MemberState.ALIVE
    )
    suspected_s = time.monotonic() - started_at
    fleet.seconds_until(
        lambda member: _state_of(member, name) is MemberState.DEAD
    )
    return {
        "death_suspected": suspected_s,
        "death_certain": time.monotonic() - started_at,
    }


def measure(
    size: int, window_s: float, seed: int, written: list[int]
) -> MembershipCost:
    """Measure the cost at one fleet size.

    :param window_s: seconds without changes over which cost is measured
    :param written: counter of the bytes written to sockets
    """
    fleet = _Fleet(size, seed)
    try:
        return _measure(fleet, size, window_s, written)
    finally:
        fleet.stop()


def _measure(
    fleet: _Fleet, size: int, window_s: float, written: list[int]
) -> MembershipCost:
    fleet.start()
    join_s = fleet.seconds_until(
        lambda member: len(member.live("entry")) == size
    )
    fleet.settle()
    before = [member.state() for member in fleet.members]
    bytes_before, cpu_before = written[0], time.process_time()
    started_at = time.monotonic()
    time.sleep(window_s)
    duration_s = time.monotonic() - started_at
    cpu_s = time.process_time() - cpu_before
    bytes_sent = written[0] - bytes_before
    after = [member.state() for member in fleet.members]
    pairs = list(zip(before, after, strict=True))
    calls = sum(b.calls - a.calls for a, b in pairs)
    message_bytes = sum(b.bytes_sent - a.bytes_sent for a, b in pairs)
    handling_s = sum(b.handling_s - a.handling_s for a, b in pairs)
    suspicions = max(b.suspicions - a.suspicions for a, b in pairs)
    spread_s = _measure_spread(fleet)
    member_seconds = size * duration_s
    return MembershipCost(
        members=size,
        window_s=round(duration_s, 3),
        cpu_share=round(cpu_s / member_seconds, 5),
        bytes_per_s=round(bytes_sent / member_seconds, 1),
        message_bytes_per_s=round(message_bytes / member_seconds, 1),
        calls_per_s=round(calls / member_seconds, 3),
        handling_share=round(handling_s / member_seconds, 6),
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
    """Measure several fleet sizes and write the results as JSON.

    :param members: sizes of the fleet, separated by commas
    :param window_s: seconds over which each size's cost is measured
    :param out: output file; empty for none
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
    """Measure one size; record a failure if one loop can't run the fleet."""
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

__all__ = ["MembershipCost", "measure", "run"]
