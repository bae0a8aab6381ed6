"""Jobs of many hosts, then all processes are killed: do all items run?"""

from concurrent.futures import ThreadPoolExecutor
import copy
import os
from pathlib import Path
import secrets
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

import site2  # noqa: E402

HOSTS = 1_200
FINISH_S = 18.0
CALM_S = 5.0
CALLERS = 16
BROKEN, HELD, NOT_RUN = 1, 0, 2
SLOW_S, QUICK_S = 0.5, 0.002
BOUNDS = {
    "ContactMs": 4000,
    "DrainMs": 3000,
    "ConfigApplyMs": 3000,
    "FinishS": FINISH_S,
}


def grown(hosts):
    """Return a desired state that has grown by a batch route for each host."""
    doc = site2.config(version=2, RetentionS=120)
    batch = doc["Routes"][1]
    for number, host in enumerate(hosts):
        route = copy.deepcopy(batch)
        doc["Routes"].append(route | {"Name": f"r-g{number}", "Host": host})
    return doc


def wait_ready(machines):
    """Wait until all processes are ready; return whether they are."""
    until = time.monotonic() + 20
    while not all(machine.ready() for machine in machines):
        if time.monotonic() > until:
            return False
        time.sleep(0.1)
    return True


def hand_in(site, machines, hosts):
    """Hand in a job for each host; return those that were accepted."""

    def one(number):
        host, job = hosts[number], secrets.token_hex(8)
        item = secrets.token_hex(8)
        address = machines[number % len(machines)].address
        for _ in range(3):
            status, _ = site2.submit(address, job, [item], host=host)
            if status == 202:
                break
            time.sleep(0.3)
        site.record.write("handed in", host=host, job=job, status=status)
        return (host, job, item) if status == 202 else None

    with ThreadPoolExecutor(CALLERS) as pool:
        found = list(pool.map(one, range(len(hosts))))
    return [each for each in found if each is not None]


def unlisted(site, machines, jobs):
    """Read all jobs; return those whose item isn't listed."""

    def one(job):
        for machine in machines:
            status, doc = site2.results(machine.address, job[1], host=job[0])
            if status == 200:
                return None if doc["Results"] else job
        return job

    with ThreadPoolExecutor(CALLERS) as pool:
        return [job for job in pool.map(one, jobs) if job is not None]


def wait_calm(site):
    """Wait until no engine has run anything for some seconds.

    :returns: whether that came in time
    """
    until = time.monotonic() + FINISH_S + 30
    while time.monotonic() < until:
        time.sleep(0.5)
        last = max(
            (each.runs[-1][0] for each in site.engines if each.runs),
            default=0.0,
        )
        busy = any(each.running for each in site.engines)
        if not busy and time.monotonic() - last > CALM_S:
            return True
    return False


def main():
    """Run the case; return how it ended."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = site2.Record(HERE / "record.txt")
    site = site2.Site(record, bounds=BOUNDS)
    try:
        machines = [site.add_instance(number) for number in (1, 2, 3)]
        if not wait_ready(machines):
            return NOT_RUN
        hosts = [f"{secrets.token_hex(4)}.example" for _ in range(HOSTS)]
        site.store.write("op", "config", site2.encode(grown(hosts)))
        time.sleep(3.5)
        for engine in site.engines:
            engine.event_s = SLOW_S
        jobs = hand_in(site, machines, hosts)
        if trouble:
            for machine in machines:
                machine.kill()
        for engine in site.engines:
            engine.event_s = QUICK_S
        if trouble:
            time.sleep(site2.RESTART_S)
            for machine in machines:
                machine.start()
        began = time.monotonic()
        if not wait_ready(machines):
            return NOT_RUN
        time.sleep(FINISH_S)
        calm = wait_calm(site)
        left = unlisted(site, machines, jobs)
        record.write(
            "end",
            accepted=len(jobs),
            unlisted=len(left),
            calm=calm,
            seconds=round(time.monotonic() - began),
        )
        ranks = {host: rank for rank, host in enumerate(sorted(hosts))}
        for host, job, item in left:
            record.write(
                "unlisted", host=host, rank=ranks[host], job=job, item=item
            )
        if len(jobs) < HOSTS or not calm:
            return NOT_RUN
        return BROKEN if left else HELD
    finally:
        site.close()
        record.write("ended")


sys.exit(main())
