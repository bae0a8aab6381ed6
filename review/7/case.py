"""A route is added below a batch route: where do its items run?"""

import copy
import os
from pathlib import Path
import secrets
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import site_standin_2 as site2  # noqa: E402

BATCH_SERVICE, OTHER_SERVICE = "huvo11a", "rimo42b"
ADDED_PREFIX = f"{site2.BATCH_PREFIX}3/"
EVENTS, EVENT_S = 200, 0.01
JOBS, ITEMS = 6, 10
GAP_S = 3.9
CONFIG_AT_S = 9.0
FINISH_S = 18.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


def desired(version, added):
    """Return a desired state with a batch route and an online route.

    :param added: whether it has the streaming route below the batch route
    """
    doc = site2.config(version)
    engine = doc["Services"][0]
    doc["Services"] = [
        engine | {"Name": name} for name in (BATCH_SERVICE, OTHER_SERVICE)
    ]
    online, batch = doc["Routes"]
    online["Service"] = OTHER_SERVICE
    batch["Service"] = BATCH_SERVICE
    if added:
        route = copy.deepcopy(online)
        route |= {"Name": "r-added", "Prefix": ADDED_PREFIX}
        doc["Routes"].append(route)
    return doc


def add_engines(site):
    """Start three engines for the batch service and two for the other."""
    services = (BATCH_SERVICE,) * 3 + (OTHER_SERVICE,) * 2
    for number, service in enumerate(services, 1):
        engine = site2.Engine(
            f"i-{number}",
            f"{site.net}.{100 + number}",
            EVENTS,
            EVENT_S,
            site.record,
            service,
        )
        site.engines.append(engine)
        site.store.write("servers", engine.name, engine.entry())


def hand_in(site, machines, trouble):
    """Hand in jobs at the sheet's rate; the route is added in between.

    :returns: the items of each job that was accepted, by its id
    """
    jobs = {}
    began = time.monotonic()
    changed = False
    for number in range(JOBS):
        while time.monotonic() < began + number * GAP_S:
            time.sleep(0.05)
            late = time.monotonic() >= began + CONFIG_AT_S
            if trouble and late and not changed:
                changed = True
                value = site2.encode(desired(2, added=True))
                site.store.write("op", "config", value)
                site.record.write("route added", prefix=ADDED_PREFIX)
        job = secrets.token_hex(8)
        items = [secrets.token_hex(8) for _ in range(ITEMS)]
        address = machines[number % len(machines)].address
        status, _ = site2.submit(address, job, items)
        site.record.write("handed in", job=job, status=status)
        if status == 202:
            jobs[job] = items
    return jobs


def wait_listed(site, machines, jobs):
    """Wait until all results are listed; return how many are."""
    until = time.monotonic() + FINISH_S
    while True:
        listed = 0
        for job in jobs:
            status, doc = site2.results(machines[0].address, job)
            listed += len(doc["Results"]) if status == 200 else 0
        if listed == JOBS * ITEMS or time.monotonic() > until:
            return listed
        time.sleep(0.5)


def main():
    """Run the case; return how it ended."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = site2.Record(HERE / "record.txt")
    site = site2.Site(record, engines=0, desired=desired(1, added=False))
    try:
        add_engines(site)
        machines = [site.add_instance(number) for number in (1, 2, 3)]
        until = time.monotonic() + 20
        while not all(machine.ready() for machine in machines):
            if time.monotonic() > until:
                return NOT_RUN
            time.sleep(0.1)
        time.sleep(3.0)
        jobs = hand_in(site, machines, trouble)
        listed = wait_listed(site, machines, jobs)
        items = {item for found in jobs.values() for item in found}
        wrong = {
            rid: engine.name
            for engine in site.engines
            if engine.service != BATCH_SERVICE
            for _, rid, _ in engine.runs
            if rid in items
        }
        record.write(
            "end",
            jobs=len(jobs),
            items=len(items),
            listed=listed,
            run_by_the_other_service=len(wrong),
        )
        for item, engine in wrong.items():
            record.write("run by the other service", item=item, engine=engine)
        if len(jobs) < JOBS:
            return NOT_RUN
        return BROKEN if wrong else HELD
    finally:
        site.close()
        record.write("ended")


sys.exit(main())
