"""A route moves to another service while its streams run: are any cut?"""

import http.client
import os
from pathlib import Path
import secrets
import sys
import threading
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import site_standin_2 as site2  # noqa: E402

HOST = "ficu95.example"
PREFIX = "/pufi791/"
FORMER, LATER = "huvo11a", "rimo42b"
EVENTS, EVENT_S = 31, 0.025
# Of `retrieval-slip`, on the sheet.
RATE_PER_S = 2.71
CALM_S, PLAY_S = 12.0, 26.0
CONFIG_APPLY_S = 2.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class ClosingEngine(site2.Engine):
    """An engine whose answers have no length and end with their channel."""

    def stream(self, conn, rid, headers):
        """Write the events of a request, then close the channel."""
        first = int(headers.get("last-event-id", 0)) + 1
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Mulberrypass-Request-Id: {rid}\r\n"
            f"X-Mulberrypass-Response-Stamp: {self.name}.{rid}\r\n"
            f"X-Mulberrypass-Server-Load: {self.running},0,8\r\n"
            "Connection: close\r\n\r\n"
        )
        conn.sendall(head.encode())
        for number in range(first, self.events + 1):
            time.sleep(self.event_s)
            conn.sendall(event(rid, number))
        raise ConnectionError("the answer is over")


def event(rid, number):
    """Return an event as it is sent."""
    return f"id: {number}\ndata: {rid}-{number}\n\n".encode()


def desired(version, service):
    """Return a desired state whose route leads to a service."""
    doc = site2.config(version)
    engine = doc["Services"][0]
    doc["Services"] = [engine | {"Name": name} for name in (FORMER, LATER)]
    doc["Routes"] = [
        doc["Routes"][0]
        | {
            "Name": "r-x73d3zj",
            "Host": HOST,
            "Prefix": PREFIX,
            "Service": service,
            "MaxAttempts": 2,
            "Resumable": True,
        }
    ]
    return doc


class Callers:
    """Sends requests at a steady rate, each on a channel of its own."""

    def __init__(self, site):
        self.site = site
        self.ends = []
        self.lock = threading.Lock()

    def run(self, seconds):
        """Send for some seconds; wait until all are answered."""
        threads = []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            machines = self.site.instances
            machine = machines[len(threads) % len(machines)]
            thread = threading.Thread(target=self.one, args=(machine.address,))
            thread.start()
            threads.append(thread)
            time.sleep(1 / RATE_PER_S)
        for thread in threads:
            thread.join()

    def one(self, address):
        """Make one request and note how it ended."""
        rid = secrets.token_hex(8)
        sent = time.monotonic()
        headers = {
            "Host": HOST,
            "X-Mulberrypass-Request-Id": rid,
            "X-Mulberrypass-Model": "m",
            "X-Mulberrypass-Token-Counts": "450,31",
            "X-Mulberrypass-Deadline-Ms": "5000",
        }
        conn = http.client.HTTPConnection(address, site2.FRONT, timeout=6)
        try:
            conn.request("POST", f"{PREFIX}2f", b"{}", headers)
            answer = conn.getresponse()
            body = answer.read()
            whole = b"".join(event(rid, n + 1) for n in range(EVENTS))
            how = str(answer.status)
            if answer.status == 200 and body != whole:
                how = "another body"
        except http.client.IncompleteRead as exc:
            how = f"cut after {exc.partial.count(b'id: ')} events"
        except (OSError, http.client.HTTPException) as exc:
            how = f"cut: {type(exc).__name__}"
        finally:
            conn.close()
        ended = time.monotonic()
        self.site.record.write(
            "answered",
            id=rid,
            at=address,
            how=repr(how),
            seconds=round(ended - sent, 3),
        )
        with self.lock:
            self.ends.append((sent, ended, rid, how))


def add_engines(site):
    """Start two engines for each service."""
    for number, service in enumerate((FORMER, FORMER, LATER, LATER), 1):
        engine = ClosingEngine(
            f"i-{number}",
            f"{site.net}.{100 + number}",
            EVENTS,
            EVENT_S,
            site.record,
            service,
        )
        site.engines.append(engine)
        site.store.write("servers", engine.name, engine.entry())


def judge(callers, moved_at, record):
    """Return how the case ended."""
    window = moved_at, moved_at + CONFIG_APPLY_S + 1.0
    cut = [end for end in callers.ends if end[3].startswith("cut")]
    beside = [c for c in cut if c[0] < window[1] and c[1] > window[0]]
    in_window = sum(
        sent < window[1] and ended > window[0]
        for sent, ended, _, _ in callers.ends
    )
    record.write(
        "end",
        requests=len(callers.ends),
        in_window=in_window,
        cut_in_window=len(beside),
        cut_at_other_times=len(cut) - len(beside),
        other=sorted({h for *_, h in callers.ends if h != "200"}),
    )
    for sent, ended, rid, how in cut:
        runs = [
            (engine.name, round(at - moved_at, 3))
            for engine in callers.site.engines
            for at, run, _ in engine.runs
            if run == rid
        ]
        record.write(
            "cut",
            id=rid,
            how=repr(how),
            sent=round(sent - moved_at, 3),
            ended=round(ended - moved_at, 3),
            runs=runs,
        )
    rest = len(callers.ends) - in_window
    often = len(beside) * rest > 3 * (len(cut) - len(beside)) * in_window
    return BROKEN if beside and often else HELD


def main():
    """Run the case; return how it ended."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = site2.Record(HERE / "record.txt")
    site = site2.Site(record, engines=0, desired=desired(1, FORMER))
    try:
        add_engines(site)
        machines = [site.add_instance(number) for number in (1, 2, 3)]
        until = time.monotonic() + 20
        while not all(machine.ready() for machine in machines):
            if time.monotonic() > until:
                return NOT_RUN
            time.sleep(0.1)
        time.sleep(3.0)
        callers = Callers(site)
        sender = threading.Thread(target=callers.run, args=(PLAY_S,))
        sender.start()
        time.sleep(CALM_S)
        moved_at = time.monotonic()
        if trouble:
            site.store.write("op", "config", site2.encode(desired(2, LATER)))
            record.write("route moved", to=LATER)
        sender.join()
        if sum(how == "200" for *_, how in callers.ends) < 30:
            return NOT_RUN
        return judge(callers, moved_at, record)
    finally:
        site.close()
        record.write("ended")


sys.exit(main())
