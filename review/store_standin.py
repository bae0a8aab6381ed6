"""Stand-in for the platform's metadata store, in memory.

It follows the section on the store in PROTOCOL.md: linearizable rows with
conditional transactions, ranges, parts and a change feed. It loses nothing
that it has acknowledged.
"""

import bisect
from collections import deque
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
import json
import threading
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
READ_ONLY = ("op", "servers")


class Store:
    """Rows by (table, part, key); values are kept as base64 text."""

    def __init__(self):
        self.lock = threading.Condition()
        self.version = 0
        self.started = time.monotonic()
        self.rows = {}  # (table, part) -> {key: (value, version)}
        self.keys = {}  # (table, part) -> sorted keys
        self.history = deque()  # (time, version, table, part, key, value)
        self.forgotten = 0
        # Called with (method, path, body) before a call is handled; may
        # return a status to answer with instead.
        self.on_call = None
        # Called with the body of a transaction; may return "lost" to apply
        # it without an answer.
        self.on_write = None
        self.writes = []  # (time, tables, status) for the record

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def put(self, table, key, value, part=""):
        """Write a row as the operator or an engine does."""
        with self.lock:
            self.version += 1
            self._put(table, part, key, value)
            self.lock.notify_all()

    def remove(self, table, key, part=""):
        with self.lock:
            self.version += 1
            self._remove(table, part, key)
            self.lock.notify_all()

    def load(self, table, part, pairs):
        """Add many rows that were written long ago: no feed has them."""
        with self.lock:
            rows = self.rows.setdefault((table, part), {})
            for key, value in pairs:
                self.version += 1
                rows[key] = (value, self.version)
            self.keys[table, part] = sorted(rows)
            self.forgotten = self.version
            self.history.clear()
            self.lock.notify_all()

    def get(self, table, part, key):
        with self.lock:
            return self.rows.get((table, part), {}).get(key)

    def _put(self, table, part, key, value):
        rows = self.rows.setdefault((table, part), {})
        if key not in rows:
            bisect.insort(self.keys.setdefault((table, part), []), key)
        rows[key] = (value, self.version)
        self._note(table, part, key, value)

    def _remove(self, table, part, key):
        rows = self.rows.get((table, part), {})
        if key in rows:
            del rows[key]
            keys = self.keys[table, part]
            del keys[bisect.bisect_left(keys, key)]
            self._note(table, part, key, None)

    def _note(self, table, part, key, value):
        now = time.monotonic()
        self.history.append((now, self.version, table, part, key, value))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self.forgotten = self.history.popleft()[1]

    def transact(self, doc):
        expected, puts = doc.get("ExpectedRev", []), doc.get("Puts", [])
        removes = doc.get("Remove", [])
        entries = expected + puts + removes
        if len(entries) > 100:
            return 400, {"why": "over 100 entries"}
        if len({entry.get("part", "") for entry in entries}) > 1:
            return 400, {"why": "several parts"}
        if any(entry["Table"] in READ_ONLY for entry in puts + removes):
            return 403, {"why": "read only"}
        with self.lock:
            for entry in expected:
                if self._version_of(entry) != entry["SchemaVersion"]:
                    found = [
                        self._row(e["Table"], e.get("part", ""), e["Key"])
                        for e in expected
                        if self._version_of(e)
                    ]
                    doc = {"Rows": found, "SchemaVersion": self.version}
                    return 412, doc | {"NowMs": self.now_ms()}
            self.version += 1
            for entry in puts:
                at = entry["Table"], entry.get("part", ""), entry["Key"]
                self._put(*at, entry["Value"])
            for entry in removes:
                self._remove(
                    entry["Table"], entry.get("part", ""), entry["Key"]
                )
            self.lock.notify_all()
            doc = {"SchemaVersion": self.version, "NowMs": self.now_ms()}
            return 200, doc

    def _version_of(self, entry):
        rows = self.rows.get((entry["Table"], entry.get("part", "")), {})
        return rows.get(entry["Key"], ("", 0))[1]

    def _row(self, table, part, key):
        value, version = self.rows[table, part][key]
        return {
            "Table": table,
            "part": part,
            "Key": key,
            "Value": value,
            "SchemaVersion": version,
        }

    def scan(self, query):
        table, part = query["Table"], query.get("part", "")
        limit = min(PAGE_ROWS, int(query.get("Limit", PAGE_ROWS)))
        with self.lock:
            keys = self.keys.get((table, part), [])
            first = bisect.bisect_left(keys, query.get("From", ""))
            last = len(keys)
            if query.get("To"):
                last = bisect.bisect_left(keys, query["To"])
            found, size = [], 0
            for key in keys[first : min(last, first + limit)]:
                row = self._row(table, part, key)
                size += len(row["Value"])
                if found and size > PAGE_BYTES:
                    break
                found.append(row)
            more = first + len(found) < last
            version = self.version
        doc = {"Rows": found, "HasMore": more, "SchemaVersion": version}
        return 200, doc | {"NowMs": self.now_ms()}

    def parts(self, query):
        with self.lock:
            names = sorted(
                part
                for (table, part), rows in self.rows.items()
                if table == query["Table"]
                and rows
                and part > query.get("After", "")
            )
            version = self.version
        doc = {"parts": names[:1000], "HasMore": len(names) > 1000}
        return 200, doc | {"SchemaVersion": version, "NowMs": self.now_ms()}

    def feed(self, query):
        after = int(query["After"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        with self.lock:
            while True:
                if after < self.forgotten:
                    return 410, {"why": "history dropped"}
                found = [
                    each
                    for each in self.history
                    if each[1] > after and each[2] == query["Table"]
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                self.lock.wait(left)
            newest = {each[2:5]: each for each in found}
            rows = []
            for _, version, table, part, key, value in newest.values():
                row = {"Table": table, "part": part, "Key": key}
                row["SchemaVersion"] = version
                if value is None:
                    row["Removed"] = True
                else:
                    row["Value"] = value
                rows.append(row)
            rows.sort(key=lambda row: row["SchemaVersion"])
            doc = {"Rows": rows, "SchemaVersion": self.version}
            return 200, doc | {"NowMs": self.now_ms()}

    def serve(self, host, port):
        """Serve the calls on a thread until the process ends."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_args):
                pass

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def do_GET(self):
                self._call("GET", b"")

            def do_POST(self):
                size = int(self.headers.get("Content-Length", 0))
                self._call("POST", self.rfile.read(size))

            def _call(self, method, body):
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status = None
                if store.on_call is not None:
                    status = store.on_call(method, url.path, body)
                lost = False
                if status is not None:
                    doc = {}
                elif url.path == "/rows-tx":
                    request = json.loads(body)
                    if store.on_write is not None:
                        lost = store.on_write(request) == "lost"
                    status, doc = store.transact(request)
                elif url.path == "/rows-get":
                    status, doc = store.scan(query)
                elif url.path == "/rows-feed":
                    status, doc = store.feed(query)
                elif url.path == "/rows-parts":
                    status, doc = store.parts(query)
                else:
                    status, doc = 404, {}
                if lost:
                    self.close_connection = True
                    return
                data = json.dumps(doc, separators=(",", ":")).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

        server = Server((host, port), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server
