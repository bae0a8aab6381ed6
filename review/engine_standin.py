"""Stand-in for a model engine, a thread for each channel.

It streams events with ids from 1 on, in chunks, echoes the request id, sends
a stamp, answers 421 to a request that expects another instance, and registers
itself in the store.
"""

import base64
import json
import socket
import struct
import threading
import time

# Closing with a linger time of 0 resets a channel.
RESET = struct.pack("ii", 1, 0)


class Engine:
    """One engine.

    :param events: events of each answer
    :param event_s: seconds between two events
    """

    def __init__(self, name, host, port, service, events=20, event_s=0.02):
        self.name, self.host, self.port = name, host, port
        self.service, self.events, self.event_s = service, events, event_s
        self.lock = threading.Lock()
        self.requests = []  # (time, method, target, headers, body)
        self.runs = []  # (time, request id, first event, last event sent)
        self.running = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.stopped = threading.Event()
        self.channels = set()
        self.listening = None
        # Called with (engine, socket, request); may answer the request
        # itself and return True to keep the channel, False to close it.
        self.on_request = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def start(self):
        self.listening = socket.create_server(
            (self.host, self.port), backlog=128
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def register(self, store, every_s=1.2):
        """Register, and write again as long as the engine runs."""

        def beat():
            while not self.stopped.is_set():
                self.write(store)
                self.stopped.wait(every_s)

        self.write(store)
        threading.Thread(target=beat, daemon=True).start()

    def write(self, store):
        self.seq += 1
        doc = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-1",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self.seq,
            "born": self.born,
        }
        store.put("servers", self.name, encode(doc))

    def crash(self):
        """End for good, as a killed process does: reset all channels."""
        self.stopped.set()
        self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        for sock in tuple(self.channels):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass

    def _accept(self):
        while not self.stopped.is_set():
            try:
                sock, _ = self.listening.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.channels.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        rest = b""
        try:
            with sock:
                while True:
                    request, rest = read_request(sock, rest)
                    if request is None:
                        return
                    if not self._answer(sock, request):
                        return
        except OSError:
            pass
        finally:
            self.channels.discard(sock)

    def _answer(self, sock, request):
        method, target, headers, body = request
        now = time.time()
        with self.lock:
            self.requests.append((now, method, target, headers, body))
        if self.on_request is not None:
            answered = self.on_request(self, sock, request)
            if answered is not None:
                return answered
        expected = headers.get("x-mulberrypass-expect-instance")
        rid = headers.get("x-mulberrypass-request-id", "")
        if expected and expected != self.name:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"X-Mulberrypass-Request-Id: " + rid.encode() + b"\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        self.stream(sock, headers, self.events)
        return True

    def head(self, headers, status="200 OK"):
        rid = headers.get("x-mulberrypass-request-id", "")
        return (
            f"HTTP/1.1 {status}\r\n"
            "Content-Type: text/event-stream\r\n"
            f"X-Mulberrypass-Request-Id: {rid}\r\n"
            f"X-Mulberrypass-Response-Stamp: stamp-{rid}\r\n"
            f"X-Mulberrypass-Server-Load: {self.running},0,8,100\r\n"
        ).encode()

    def stream(self, sock, headers, events):
        """Send the answer of a request, from the event that is due on."""
        rid = headers.get("x-mulberrypass-request-id", "")
        after = int(headers.get("last-event-id") or 0)
        run = [time.time(), rid, after + 1, after]
        with self.lock:
            self.runs.append(run)
            self.running += 1
        try:
            sock.sendall(
                self.head(headers) + b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for number in range(after + 1, events + 1):
                time.sleep(self.event_s)
                data = event(rid, number)
                sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
                run[3] = number
            sock.sendall(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.running -= 1


def event(rid, number):
    return f"id: {number}\ndata: {rid}-{number}\n\n".encode()


def output(rid, events):
    return "\n".join(f"{rid}-{number}" for number in range(1, events + 1))


def encode(doc):
    return base64.b64encode(json.dumps(doc).encode()).decode()


def read_request(sock, rest):
    """Read one request; ``None`` at the end of the channel."""
    data = rest
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return None, b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    size = int(headers.get("content-length", 0))
    while len(body) < size:
        part = sock.recv(65536)
        if not part:
            return None, b""
        body += part
    return (method, target, headers, body[:size]), body[size:]
