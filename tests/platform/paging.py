"""A process that answers calls for the results of a job.

Run as ``python -m tests.platform.paging SIZE``, with the bytes of each result.
Prints its port, waits for a line, and prints a ``Held`` as JSON.
"""

from __future__ import annotations

from dataclasses import asdict
import json
import sys

from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.manager import BatchJobManager
from mulberrypass.batches.store import BatchStore
from mulberrypass.platform.ingress import FrontApp
from mulberrypass.platform.lots import BatchJobApi, item_request
from mulberrypass.relay.forward import Forwarder
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.memory import limit_arenas
from mulberrypass.testing.row_state import RowState
from tests.batches import cases
from tests.platform.flooded import FLOODS, resident
from tests.platform.uploading import MAX_BODY_BYTES, Held
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    ScriptedEngines,
    ScriptedPermits,
    make_dependencies,
)

ITEMS = 8


def main() -> None:
    """Serve until a line arrives, and print what was held."""
    quiet_logs()
    output = "x" * int(sys.argv[1])
    limit_arenas()
    store = BatchStore(RowState(), sleep=lambda _s: None)
    deps = make_dependencies(
        ScriptedEngines(), ScriptedPermits("e1"), cases.route()
    )
    members = Members(frozenset({"entry@a"}), frozenset({"entry@a"}))
    holder = JobHolder("entry@a", store, deps, lambda: members, item_request)
    manager = BatchJobManager("entry@a", store, holder, deps.directory)
    api = BatchJobApi(manager, deps.directory)
    store.accept(cases.job(items=ITEMS), cases.route(), "entry@a")
    outcomes = tuple(cases.outcome(i, output) for i in range(ITEMS))
    store.record_outcomes(None, cases.HOST, "job-1", outcomes)
    app = FrontApp(Forwarder(deps), api.handle)
    server = HttpServer(app, "127.0.0.1", 0, FLOODS, MAX_BODY_BYTES)
    server.start()
    idle_bytes = resident("VmRSS")
    print(server.port, flush=True)
    sys.stdin.readline()
    held = Held(idle_bytes, resident("VmHWM"))
    print(json.dumps(asdict(held)), flush=True)
    sys.stdin.readline()
    server.stop(0.0)


if __name__ == "__main__":
    main()
