"""Stand-in for the platform's store, with an admin port for the test.

The store's own API is the project's stand-in (``StoreApp`` on ``RowState``).
The admin port takes what the operator and the engines write, and removes the
entries of engines that have been silent for three heartbeats.

    python3 store3.py STORE_ADDRESS ADMIN_ADDRESS
"""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
import sys
import threading
import time
from urllib.parse import parse_qs, urlsplit

from expression import Ok

from mulberrypass.platform.site import parse_host_port
from mulberrypass.platform.stand_in.store import StoreApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.storage.rows import RowKey, RowPage, Transaction
from mulberrypass.testing.row_state import RowState

THREADS = 96
# The store answers with 500 rows or 1 MB at most; base64 adds a third.
PAGE_BYTES = 700_000
MAX_BODY_BYTES = 8_388_608
SILENT_S = 3.6


class Rows(RowState):
    """The project's store, with pages of 1 MB at most."""

    def scan(self, table, part, first="", end=""):
        """Read rows whose key is in ``[first, end)``."""
        found = super().scan(table, part, first, end)
        if found.is_error():
            return found
        page = found.ok
        size = 0
        for count, row in enumerate(page.rows):
            size += len(row.value)
            if size > PAGE_BYTES and count:
                return Ok(RowPage(page.rows[:count], True, page.version))
        return found


def main() -> None:
    """Serve until killed."""
    rows = Rows()
    store, admin = map(parse_host_port, sys.argv[1:3])
    beats: dict[str, float] = {}

    class Admin(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_PUT(self) -> None:
            size = int(self.headers.get("Content-Length", 0))
            value = self.rfile.read(size)
            table, key = self.path.strip("/").split("/", 1)
            if table == "servers":
                beats[key] = time.monotonic()
            put = (RowKey(table, "", key), value)
            rows.apply(Transaction(puts=(put,)))
            self._reply()

        def do_DELETE(self) -> None:
            table, key = self.path.strip("/").split("/", 1)
            beats.pop(key, None)
            rows.apply(Transaction(removes=(RowKey(table, "", key),)))
            self._reply()

        def do_POST(self) -> None:
            """Set faults of the store, as ``/faults?lose=3&late=0``."""
            query = parse_qs(urlsplit(self.path).query)
            for name, values in query.items():
                old = getattr(rows.faults, name)
                setattr(rows.faults, name, type(old)(int(values[0])))
            self._reply()

        def _reply(self) -> None:
            self.send_response(200)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_args: object) -> None:
            pass

    server = HttpServer(
        StoreApp(rows), store.host, store.port, THREADS, MAX_BODY_BYTES
    )
    server.start()
    serving = ThreadingHTTPServer((admin.host, admin.port), Admin)
    threading.Thread(target=serving.serve_forever, daemon=True).start()
    sys.stdout.write("serving\n")
    sys.stdout.flush()
    while True:
        time.sleep(0.1)
        now = time.monotonic()
        for key, at in list(beats.items()):
            if now - at > SILENT_S:
                beats.pop(key, None)
                at_row = RowKey("servers", "", key)
                rows.apply(Transaction(removes=(at_row,)))


if __name__ == "__main__":
    main()
