"""Stand-in for a sound engine, over HTTP/1.1.

It takes a time to read a prompt, then streams events, resumes at
``Last-Event-Id``, drops a request when its channel closes, and writes its
entry to the store each 1,200 ms.

    python3 engine3.py ID ADDRESS ADMIN_ADDRESS LOG KEY=VALUE...

Keys: service, slots, prefill_s, events, event_s.
"""

from __future__ import annotations

import http.client
import json
import select
import socket
import sys
import threading
import time

HEARTBEAT_S = 1.2
HEAD_END = b"\r\n\r\n"


class Engine:
    """One start of an engine."""

    def __init__(self, name, address, admin, log, options):
        self.name = name
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.address = address
        self.admin = admin
        self.log_file = open(log, "a", buffering=1)
        self.lock = threading.Lock()
        self.service = options.get("service", "generation")
        self.slots = int(options.get("slots", 8))
        self.prefill_s = float(options.get("prefill_s", 0.05))
        self.events = int(options.get("events", 10))
        self.event_s = float(options.get("event_s", 0.02))
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.places = threading.BoundedSemaphore(self.slots)

    def log(self, what, **fields):
        fields = {"t": round(time.time(), 3), "engine": self.name,
                  "what": what, **fields}
        with self.lock:
            self.log_file.write(json.dumps(fields) + "\n")

    def beat(self):
        host, _, port = self.admin.rpartition(":")
        while True:
            self.seq += 1
            doc = {"Service": self.service, "Address": self.address,
                   "Zone": "zone-1", "Version": "v1", "Slots": self.slots,
                   "State": "ready", "ColdLeftMs": 0, "Seq": self.seq,
                   "born": self.born}
            try:
                conn = http.client.HTTPConnection(host, int(port), timeout=2)
                conn.request("PUT", f"/servers/{self.name}",
                             json.dumps(doc).encode())
                conn.getresponse().read()
                conn.close()
            except OSError:
                pass
            time.sleep(HEARTBEAT_S)

    def serve(self):
        listening = socket.create_server(
            (self.host, self.port), backlog=64, reuse_port=False)
        threading.Thread(target=self.beat, daemon=True).start()
        self.log("up", born=self.born)
        while True:
            sock, _ = listening.accept()
            threading.Thread(
                target=self.connection, args=(sock,), daemon=True).start()

    def connection(self, sock):
        try:
            with sock:
                data = b""
                while True:
                    while HEAD_END not in data:
                        part = sock.recv(65536)
                        if not part:
                            return
                        data += part
                    head, _, data = data.partition(HEAD_END)
                    lines = head.decode("latin-1").split("\r\n")
                    method, target, _ = lines[0].split(" ", 2)
                    headers = {}
                    for line in lines[1:]:
                        key, _, value = line.partition(":")
                        headers[key.lower()] = value.strip()
                    size = int(headers.get("content-length", 0))
                    while len(data) < size:
                        part = sock.recv(65536)
                        if not part:
                            return
                        data += part
                    body, data = data[:size], data[size:]
                    if not self.answer(sock, method, target, headers, body):
                        return
        except OSError:
            pass

    def answer(self, sock, method, target, headers, body):
        request_id = headers.get("x-mulberrypass-request-id", "")
        if target == "/healthz":
            self.send(sock, 200, [f"X-Mulberrypass-Instance-Id: {self.name}"])
            return True
        expected = headers.get("x-mulberrypass-expect-instance")
        if expected and expected != self.name:
            self.send(sock, 421, [f"X-Mulberrypass-Request-Id: {request_id}",
                                  f"X-Mulberrypass-Instance-Id: {self.name}"])
            return True
        if not self.places.acquire(timeout=5):
            self.send(sock, 503, [f"X-Mulberrypass-Request-Id: {request_id}",
                                  "X-Mulberrypass-Not-Run: 1"])
            return True
        after = headers.get("last-event-id")
        self.log("run", id=request_id, target=target, after=after,
                 prefix=headers.get("x-mulberrypass-prompt-prefix", ""))
        try:
            return self.stream(sock, request_id, int(after or 0) + 1)
        finally:
            self.places.release()

    def stream(self, sock, request_id, first):
        if self.left(sock, self.prefill_s):
            self.log("dropped", id=request_id, events=0)
            return False
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                f"X-Mulberrypass-Request-Id: {request_id}",
                f"X-Mulberrypass-Response-Stamp: stamp-{request_id}"]
        sock.sendall("\r\n".join(head).encode() + HEAD_END)
        for number in range(first, self.events + 1):
            if number > first and self.left(sock, self.event_s):
                self.log("dropped", id=request_id, events=number - first)
                return False
            data = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        sock.sendall(b"0\r\n\r\n")
        self.log("done", id=request_id)
        return True

    def left(self, sock, seconds):
        """Wait; return whether the caller has closed the channel."""
        until = time.monotonic() + seconds
        while (rest := until - time.monotonic()) > 0:
            ready, _, _ = select.select([sock], [], [], rest)
            if ready:
                return True
        return False

    def send(self, sock, status, lines):
        head = [f"HTTP/1.1 {status} X", "Content-Length: 0", *lines]
        sock.sendall("\r\n".join(head).encode() + HEAD_END)


def main():
    """Serve until killed."""
    name, address, admin, log = sys.argv[1:5]
    options = dict(text.split("=", 1) for text in sys.argv[5:])
    Engine(name, address, admin, log, options).serve()


if __name__ == "__main__":
    main()
