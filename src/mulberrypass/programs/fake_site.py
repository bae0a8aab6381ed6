"""``mulberry-fake-site``: simulated store and engines of a site."""

from __future__ import annotations

import json
import sys
import threading

import fire

from mulberrypass.platform.site import parse_host_port
from mulberrypass.platform.stand_in.engine import EngineApp
from mulberrypass.platform.stand_in.site import engine_document
from mulberrypass.platform.stand_in.store import StoreApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.storage.rows import RowKey, Transaction
from mulberrypass.testing.row_state import RowState

THREADS = 64
MAX_BODY_BYTES = 8_388_608
EVENTS_PER_ANSWER = 20
EVENT_INTERVAL_S = 0.02
SLOTS_PER_ENGINE = 8


def serve(store: str, engines: str, config: str) -> None:
    """Serve a store and engines until the process is killed.

    :param store: IP address and port of the store
    :param engines: comma-separated IP addresses and ports
    :param config: file with the desired state, written to the store
    """
    rows = RowState()
    with open(config, "rb") as file:
        _write(rows, "op", "config", file.read())
    _start(StoreApp(rows), store)
    for number, address in enumerate(str(engines).split(","), 1):
        app = EngineApp(f"i-{number}", EVENTS_PER_ANSWER, EVENT_INTERVAL_S)
        _start(app, address)
        entry = json.dumps(engine_document(address, SLOTS_PER_ENGINE))
        _write(rows, "servers", app.name, entry.encode())
    sys.stdout.write("serving\n")
    sys.stdout.flush()
    threading.Event().wait()


def _write(rows: RowState, table: str, name: str, value: bytes) -> None:
    put = (RowKey(table, "", name), value)
    rows.apply(Transaction(puts=(put,)))


def _start(app: StoreApp | EngineApp, address: str) -> None:
    at = parse_host_port(address)
    HttpServer(app, at.host, at.port, THREADS, MAX_BODY_BYTES).start()


def main() -> None:
    """Run the command line."""
    fire.Fire(serve, name="mulberry-fake-site")


if __name__ == "__main__":
    main()

__all__ = ["main", "serve"]
