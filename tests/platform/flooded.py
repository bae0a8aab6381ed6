"""A process that forwards endless answers while others are served.

Run as ``python -m tests.platform.flooded ENDLESS SOUND KIND``, with the
addresses of two engines and the kind of the first one's route. Prints a
``Report`` as JSON.
"""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
import json
from pathlib import Path
import re
import sys
import threading

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.relay.api import AnswerBody, Failed, TruncatedAnswerError
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from mulberrypass.relay.whole_body import HeldBodies
from mulberrypass.runtime.memory import limit_arenas
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    request,
    route,
    table,
)

# As many requests as an instance answers at once.
FLOODS = 96
SOUND_THREADS = 4
WAIT_S = 20.0
BYTES_PER_KB = 1_024


@dataclass(frozen=True, slots=True)
class Report:
    """What the process held, and what its callers saw.

    :param idle_bytes: resident before the first request
    :param most_bytes: most that was resident at any time
    :param floods: number of requests to the endless engine, by their end:
        the reason of a failure, or the number of bytes of an answer
    :param others: the same of the requests to the sound engine
    """

    idle_bytes: int
    most_bytes: int
    floods: dict[str, int]
    others: dict[str, int]


def resident(field: str) -> int:
    """Return the bytes of a field of this process's status."""
    text = Path("/proc/self/status").read_text()
    found = re.search(rf"^{field}:\s+(\d+) kB$", text, re.M)
    assert found is not None
    return int(found[1]) * BYTES_PER_KB


class Flooded:
    """Forwards requests to both engines.

    :param endless: address of the engine that sends bytes without an end
    :param sound: address of the engine that answers
    :param kind: of the route to the endless engine
    """

    def __init__(self, endless: str, sound: str, kind: str) -> None:
        directory = Directory()
        directory.apply_routes(
            table(
                route(prefix="/e1/", kind=RouteKind(kind), timeout_s=WAIT_S),
                route(
                    prefix="/e2/",
                    kind=RouteKind.NON_IDEMPOTENT,
                    timeout_s=WAIT_S,
                ),
            )
        )
        directory.set_engines(
            [engine("e1", address=endless), engine("e2", address=sound)]
        )
        self._forwarders = {
            name: Forwarder(
                RelayDependencies(
                    directory,
                    PermitAcquirer(
                        "entry@a", ScriptedPermits(name), directory
                    ),
                    client,
                    watch,
                    bodies=bodies,
                )
            )
            for client, watch, bodies in [
                (HttpEngineClient(), CallWatch(), HeldBodies())
            ]
            for name in ("e1", "e2")
        }
        self._start = threading.Barrier(FLOODS + SOUND_THREADS)
        self._flooded = threading.Event()

    def flood(self) -> str:
        """Forward one request to the endless engine."""
        self._start.wait()
        return self._forward("e1")

    def others(self) -> list[str]:
        """Forward requests to the sound engine until the floods end."""
        self._start.wait()
        seen = []
        while not self._flooded.is_set():
            seen.append(self._forward("e2"))
        return seen

    def _forward(self, name: str) -> str:
        """Return the reason of a failure, or the number of bytes."""
        size = 0
        req = request(target=f"/{name}/", wait_s=WAIT_S)
        try:
            for each in self._forwarders[name].run(req, lambda: False):
                match each:
                    case AnswerBody(data=data):
                        size += len(data)
                    case Failed(reason=reason):
                        return reason
        except TruncatedAnswerError:
            return "truncated"
        return str(size)

    def run(self) -> Report:
        """Play all requests."""
        idle_bytes = resident("VmRSS")
        with ThreadPoolExecutor(FLOODS + SOUND_THREADS) as pool:
            others = [pool.submit(self.others) for _ in range(SOUND_THREADS)]
            floods = [pool.submit(self.flood) for _ in range(FLOODS)]
            ends = [fut.result() for fut in floods]
            self._flooded.set()
            answers = [end for fut in others for end in fut.result()]
        return Report(
            idle_bytes,
            resident("VmHWM"),
            dict(Counter(ends)),
            dict(Counter(answers)),
        )


def main() -> None:
    """Play, and print the report."""
    quiet_logs()
    limit_arenas()
    report = Flooded(*sys.argv[1:4]).run()
    print(json.dumps(asdict(report)))


if __name__ == "__main__":
    main()
