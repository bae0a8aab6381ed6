"""Three crashes of engines under a new prompt stop all batch work on it.

An engine crashes while it reads the prompt of a batch item, three times, one
of five engines at a time. All engines are sound from then on. The item, and
all items of a job that comes later with the same shared prompt, don't run.
"""

from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness3 import TROUBLE, Site, run

HOST = "clerk.example"
SERVICE = "rackmind"
RETENTION_S = 60
DOWN_S = 1.5
CRASHES = 3
# Bounds of the rule: FinishS, and failures that excuse an item.
FINISH_S = 18
EXCUSED_S = 20
# 120,000 tokens at 157 tokens a ms.
PREFILL_S = 0.8
SHARED = "a1b2c3:119000"
CONFIG = {
    "Version": 3,
    "Routes": [{
        "Name": "manifest", "Host": HOST, "Prefix": "/manifest/",
        "RouteType": "batch", "Service": SERVICE, "TimeoutMs": 15000,
        "TargetLatencyMs": 400, "TargetCompletionMs": 18000,
        "MaxAttempts": 3, "RetentionS": RETENTION_S, "Resumable": True,
        "Priority": 2, "Cap": 2100000, "Sticky": True, "TargetGapMs": 200}],
    "Services": [{"Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 290,
                  "Engine": {"KvCapacityTokens": 128539, "Stride": 1}}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
}


class Engines:
    """Five engines; each start has an id of its own."""

    def __init__(self, site):
        self.site = site
        self.names = {}
        self.starts = 0
        for number in range(1, 6):
            self.start(number)

    def start(self, number):
        self.starts += 1
        name = f"e{number}-{self.starts}"
        self.names[number] = name
        self.site.start_engine(
            name, number, service=SERVICE, slots=8, prefill_s=PREFILL_S,
            events=20, event_s=0.01)

    def wait_for_run(self, seconds, after):
        """Return the number of the engine that has begun a run since."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for event in self.site.engine_events()[after:]:
                if event["what"] == "run":
                    for number, name in self.names.items():
                        if name == event["engine"]:
                            return number
            time.sleep(0.02)
        return None


def job(name, prefix, count):
    return [(f"{name}-{n}", f"{prefix},{n}{n}:900", 119900, 20)
            for n in range(count)]


def case(site):
    site.start_store(CONFIG)
    engines = Engines(site)
    site.start_instances()
    seen = len(site.engine_events())
    t0 = time.monotonic()
    if site.submit(1, HOST, "/manifest/", "job-a", job("a", SHARED, 1)) != 202:
        raise RuntimeError("the job was not accepted")
    down = []
    for _ in range(CRASHES if TROUBLE else 0):
        number = engines.wait_for_run(6, seen)
        if number is None:
            site.note("the item is not run again")
            break
        # Half of the prompt is read.
        time.sleep(PREFILL_S / 2)
        seen = len(site.engine_events())
        site.kill(engines.names[number])
        down.append((time.monotonic() + DOWN_S, number))
    for at, number in down:
        time.sleep(max(0, at - time.monotonic()))
        engines.start(number)
    time.sleep(3)
    # Sound engines from here on. Nobody has crashed under this job, but its
    # prompt begins like the first one.
    site.submit(2, HOST, "/manifest/", "job-b", job("b", SHARED, 6))
    # The same with a prompt of its own shows that engines and batch work are
    # sound.
    site.submit(3, HOST, "/manifest/", "job-c", job("c", "d4e5f6:119000", 6))
    calm = time.monotonic()
    jobs = ("job-a", "job-b", "job-c")
    while time.monotonic() < calm + FINISH_S + EXCUSED_S - 3:
        time.sleep(1)
        found = [site.results(1, HOST, each) for each in jobs]
        if all(each and len(each[1]) == each[0] for each in found):
            break
    now = time.monotonic()
    broken = False
    for each in jobs:
        total, results = site.results(1, HOST, each)
        states = sorted({r["State"] for r in results})
        site.note(f"{now - t0:.1f} s after the first submission and "
                  f"{now - calm:.1f} s after the last {each} lists "
                  f"{len(results)} of {total} items, states {states}")
        if len(results) < total and now - t0 < RETENTION_S:
            broken = True
    for event in site.engine_events():
        if event["what"] in ("run", "done", "up"):
            site.note(f"engine log {event['t'] - site.began:8.3f} "
                      f"{event['engine']} {event['what']} "
                      f"{event.get('id', '')}")
    return broken


if __name__ == "__main__":
    run(lambda: Site(12), case)
