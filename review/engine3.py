"""Stand-in for a sound engine, over HTTP/1.1.

It takes a time to read a prompt, then streams events, resumes at
``Last-Event-Id``, drops a request when its channel closes, and writes its
entry to the store each 1,200 ms. At SIGUSR1 it leaves: it reports `draining`,
serves on for DRAIN_S, then takes no more channels, ends what it runs and
exits.

    python3 engine3.py ID ADDRESS ADMIN_ADDRESS LOG KEY=VALUE...

Keys: service, slots, prefill_s, events, event_s, framed (0: answers end with
their channel), cold_s and cold_prefill_s (how long it is slow after its start,
and how long it reads a prompt then).
"""

from __future__ import annotations

import http.client
import json
import os
import select
import signal
import socket
import sys
import threading
import time

HEARTBEAT_S = 1.2
# DrainMs, and a little longer.
DRAIN_S = 2.1
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
        self.framed = options.get("framed", "1") != "0"
        self.cold_until = time.monotonic() + float(options.get("cold_s", 0))
        self.cold_prefill_s = float(options.get("cold_prefill_s", 0))
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.places = threading.BoundedSemaphore(self.slots)
        self.running = 0
        self.draining = threading.Event()
        self.listening = None

    def log(self, what, **fields):
        fields = {"t": round(time.time(), 3), "engine": self.name,
                  "what": what, **fields}
        with self.lock:
            self.log_file.write(json.dumps(fields) + "\n")

    def beat(self):
        while True:
            self.write_entry()
            self.draining.wait(HEARTBEAT_S)
            if self.draining.is_set():
                self.leave()

    def leave(self):
        """Report that it leaves, serve on for a time, and exit."""
        self.write_entry()
        self.log("draining")
        until = time.monotonic() + DRAIN_S
        while time.monotonic() < until:
            time.sleep(0.05)
        self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        self.log("takes no more channels", running=self.running)
        while self.running:
            time.sleep(0.01)
        self.log("exits")
        os._exit(0)

    def write_entry(self):
        host, _, port = self.admin.rpartition(":")
        with self.lock:
            self.seq += 1
        doc = {"Service": self.service, "Address": self.address,
               "Zone": "zone-1", "Version": "v1", "Slots": self.slots,
               "State": "draining" if self.draining.is_set() else "ready",
               "Seq": self.seq, "born": self.born,
               "ColdLeftMs": int(self.cold_left_s() * 1000)}
        try:
            conn = http.client.HTTPConnection(host, int(port), timeout=2)
            conn.request("PUT", f"/servers/{self.name}",
                         json.dumps(doc).encode())
            conn.getresponse().read()
            conn.close()
        except OSError:
            pass

    def cold_left_s(self):
        return max(0.0, self.cold_until - time.monotonic())

    def serve(self):
        listening = self.listening = socket.create_server(
            (self.host, self.port), backlog=64)
        signal.signal(signal.SIGUSR1, lambda *_: self.draining.set())
        threading.Thread(target=self.beat, daemon=True).start()
        self.log("up", born=self.born)
        while True:
            try:
                sock, _ = listening.accept()
            except OSError:
                signal.pause()
                continue
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
        with self.lock:
            self.running += 1
        self.log("run", id=request_id, target=target, after=after,
                 prefix=headers.get("x-mulberrypass-prompt-prefix", ""))
        try:
            kept = self.stream(sock, request_id, int(after or 0) + 1)
            if not kept:
                # Ends the channel before the place is free.
                sock.close()
            return kept
        finally:
            with self.lock:
                self.running -= 1
            self.places.release()

    def stream(self, sock, request_id, first):
        cold = self.cold_left_s() > 0
        if self.left(sock, self.cold_prefill_s if cold else self.prefill_s):
            self.log("dropped", id=request_id, events=0)
            return False
        framing = "Transfer-Encoding: chunked"
        if not self.framed:
            framing = "Connection: close"
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", framing,
                f"X-Mulberrypass-Request-Id: {request_id}",
                f"X-Mulberrypass-Response-Stamp: stamp-{request_id}"]
        sock.sendall("\r\n".join(head).encode() + HEAD_END)
        for number in range(first, self.events + 1):
            if number > first and self.left(sock, self.event_s):
                self.log("dropped", id=request_id, events=number - first)
                return False
            data = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            if self.framed:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            sock.sendall(data)
        if self.framed:
            sock.sendall(b"0\r\n\r\n")
        self.log("done", id=request_id)
        return self.framed

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
