"""Whole streams of engines that leave are cut while instances are rolled.

Half of the engines are replaced one after the other, and the machines of the
system are stopped and started in turn. All of that is planned work. Engines
end their answers with their channels; one that leaves takes no more channels,
ends what it runs and exits.
"""

from pathlib import Path
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness3 import TROUBLE, Site, run

HOST = "hall.example"
SERVICE = "rackmind"
PER_S = 2.71
ENGINES = 6
EVENTS = 31
EVENT_S = 0.14
GRACE_S = 8
RELEASE_GAP_S = 1.0
# From the first engine's leaving to the stop of a machine.
STOP_AFTER_S = 1.5
CONFIG = {
    "Version": 3,
    "Routes": [{
        "Name": "slip", "Host": HOST, "Prefix": "/slip/",
        "RouteType": "streaming", "Resumable": True, "Service": SERVICE,
        "TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 2,
        "Priority": 0, "Sticky": True, "TargetGapMs": 200}],
    "Services": [{
        "Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 290,
        "Engine": {"KvCapacityTokens": 128539, "Stride": 1}}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
}


class Callers:
    """Sends requests at the sheet's rate to instances that aren't stopping."""

    def __init__(self, site):
        self.site = site
        self.rng = random.Random(57)
        self.results = []
        self.open = set(range(1, site.instances + 1))
        self.stopped = threading.Event()
        self.threads = []
        self.sender = threading.Thread(target=self.send_all)
        self.sender.start()

    def send_all(self):
        number = 0
        while not self.stopped.wait(self.rng.expovariate(PER_S)):
            number += 1
            instance = self.rng.choice(sorted(self.open))
            thread = threading.Thread(target=self.send,
                                      args=(f"r{number:05d}", instance))
            thread.start()
            self.threads.append(thread)

    def send(self, request_id, instance):
        at = time.monotonic()
        head = [f"POST /slip/{request_id} HTTP/1.1", f"Host: {HOST}",
                f"X-Mulberrypass-Request-Id: {request_id}",
                "X-Mulberrypass-Model: m",
                f"X-Mulberrypass-Token-Counts: 450,{EVENTS}",
                f"X-Mulberrypass-Prompt-Prefix: aa:200,{request_id[1:]}:250",
                "X-Mulberrypass-Deadline-Ms: 5000", "Content-Length: 6",
                "Connection: close"]
        answer = b""
        end = "end"
        try:
            address = (f"{self.site.net}.{instance}", 8161)
            with socket.create_connection(address, 1) as sock:
                sock.settimeout(5)
                sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n"
                             + request_id.encode())
                while part := sock.recv(65536):
                    answer += part
        except OSError as exc:
            end = type(exc).__name__
        status = answer.split(b" ", 2)[1].decode() if answer else "none"
        events = answer.count(b"\ndata:")
        chunked = b"chunked" in answer.partition(b"\r\n\r\n")[0].lower()
        whole = (status == "200" and events == EVENTS and end == "end"
                 and (not chunked or answer.endswith(b"0\r\n\r\n")))
        self.results.append(
            (request_id, instance, at, time.monotonic(), status, events,
             whole, end))

    def stop(self):
        self.stopped.set()
        self.sender.join()
        for thread in self.threads:
            thread.join()


def start_engine(site, name, number):
    site.start_engine(name, number, service=SERVICE, slots=8, prefill_s=0.03,
                      events=EVENTS, event_s=EVENT_S, framed=0)


class Engines:
    """The engines; half of them are replaced at a time, one by one."""

    def __init__(self, site):
        self.site = site
        self.count = 0
        self.names = [self.start() for _ in range(ENGINES)]

    def start(self):
        self.count += 1
        name = f"e{self.count}"
        self.site.start_engine(
            name, self.count, service=SERVICE, slots=8, prefill_s=0.03,
            events=EVENTS, event_s=EVENT_S, framed=0)
        return name

    def release(self):
        """The new one starts first; the old one leaves."""
        for _ in range(ENGINES // 2):
            self.names.append(self.start())
            time.sleep(RELEASE_GAP_S / 2)
            self.site.drain(self.names.pop(0))
            time.sleep(RELEASE_GAP_S / 2)


def roll(site, callers, engines, stops):
    """Stop and start the instances in turn, while engines are replaced."""
    for number in range(1, site.instances + 1):
        releasing = threading.Thread(target=engines.release)
        releasing.start()
        time.sleep(RELEASE_GAP_S / 2 + STOP_AFTER_S)
        # Callers ask for addresses each second.
        later = threading.Timer(0.5, callers.open.discard, (number,))
        later.start()
        stops[number] = time.monotonic()
        site.stop_instance(number)
        site.start_instance(number)
        site.wait_for(lambda: site.is_ready(number), 20, f"i{number}")
        releasing.join()
        later.join()
        callers.open.add(number)
        time.sleep(1)


def case(site):
    site.start_store(CONFIG)
    engines = Engines(site)
    site.start_instances()
    callers = Callers(site)
    time.sleep(6)
    stops = {}
    if TROUBLE:
        roll(site, callers, engines, stops)
    else:
        time.sleep(25)
    time.sleep(2)
    callers.stop()
    done = {}
    for event in site.engine_events():
        if event["what"] == "done":
            done.setdefault(event["id"], []).append(event["engine"])
    broken = 0
    counts = {"whole": 0, "cut": 0, "not served": 0}
    for request_id, instance, at, ended, status, events, whole, end in (
            callers.results):
        if whole:
            counts["whole"] += 1
            continue
        counts["cut" if status == "200" else "not served"] += 1
        stop_at = stops.get(instance)
        planned = (stop_at is not None and ended >= stop_at
                   and ended <= stop_at + GRACE_S + 1)
        site.note(
            f"{request_id} at i{instance}: status {status}, {events} of "
            f"{EVENTS} events, channel: {end}, after {ended - at:.1f} s; "
            f"ended whole at engines {done.get(request_id)}; "
            f"{'in' if planned else 'not in'} the time of a planned stop")
        # Whole at its engine, passed on, within its deadline.
        if (planned and status == "200" and request_id in done
                and ended - at < 4.9):
            broken += 1
    site.note(f"requests: {counts}; {broken} whole answers cut in the time "
              "of a planned stop of their machine")
    for event in site.engine_events():
        if event["what"] in ("draining", "takes no more channels", "exits"):
            site.note(f"engine log {event['t'] - site.began:8.3f} "
                      f"{event['engine']} {event['what']} "
                      f"{event.get('running', '')}")
    return broken > 0


if __name__ == "__main__":
    run(lambda: Site(13, grace_s=GRACE_S), case)
