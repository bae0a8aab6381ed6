"""A process that takes uploads and forwards them to an engine.

Run as ``python -m tests.platform.uploading ENGINE``, with the address of the
engine. Prints its port, waits for a line, and prints a ``Held`` as JSON.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
import json
import sys

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.ingress import FrontApp
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.memory import limit_arenas
from tests.platform.flooded import FLOODS, resident
from tests.quiet import quiet_logs
from tests.relay.fakes import ScriptedPermits, engine, route, table

MAX_BODY_BYTES = 8_388_608
WAIT_S = 4.0


@dataclass(frozen=True, slots=True)
class Held:
    """What the process held.

    :param idle_bytes: resident before the first request
    :param most_bytes: most that was resident at any time
    """

    idle_bytes: int
    most_bytes: int


def main() -> None:
    """Serve until a line arrives, and print what was held."""
    quiet_logs()
    limit_arenas()
    directory = Directory()
    to = route(kind=RouteKind.NON_IDEMPOTENT, timeout_s=WAIT_S)
    directory.apply_routes(table(to))
    directory.set_engines([engine("e1", address=sys.argv[1])])
    watch = CallWatch()
    watch.start()
    deps = RelayDependencies(
        directory,
        PermitAcquirer("entry@a", ScriptedPermits("e1"), directory),
        HttpEngineClient(),
        watch,
    )
    app = FrontApp(Forwarder(deps), lambda _req: None)
    server = HttpServer(app, "127.0.0.1", 0, FLOODS, MAX_BODY_BYTES)
    server.start()
    idle_bytes = resident("VmRSS")
    print(server.port, flush=True)
    sys.stdin.readline()
    held = Held(idle_bytes, resident("VmHWM"))
    print(json.dumps(asdict(held)), flush=True)
    sys.stdin.readline()
    server.stop(0.0)
    watch.stop()


if __name__ == "__main__":
    main()
