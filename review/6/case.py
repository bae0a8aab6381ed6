"""A week of batch jobs, then a restart: do the processes fit their memory?"""

import os
from pathlib import Path
import secrets
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

import site2  # noqa: E402

JOBS_PER_S = 0.258
STATUS_S = 120
DAYS = 7
MEMORY_MB = 350
PLAY_S = 60.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Two machines, three ends each: the figures of the rule.
MACHINES, ENDS = 2, 3


def head_of_one_job(site):
    """Let the program itself run a job, and hand in another one.

    :returns: the row of the first, which is done, and the id of the other,
        which was accepted right before the process was killed
    """
    first = site.add_instance(1, memory_mb=MEMORY_MB)
    until = time.monotonic() + 20
    while not first.ready():
        if time.monotonic() > until:
            return None
        time.sleep(0.1)
    items = [secrets.token_hex(8) for _ in range(10)]
    job = secrets.token_hex(8)
    status, _ = site2.submit(first.address, job, items)
    site.record.write("handed in", job=job, status=status)
    if status != 202:
        return None
    done = 0
    while done < len(items) and time.monotonic() < until:
        time.sleep(0.2)
        _, doc = site2.results(first.address, job)
        done = len(doc.get("Results", ()))
    site.record.write("done", job=job, results=done)
    value = site.store.value("batch_heads", site2.HOST, job)
    still_open = secrets.token_hex(8)
    items = [secrets.token_hex(8) for _ in range(100)]
    status, _ = site2.submit(first.address, still_open, items)
    first.kill()
    site.instances.clear()
    site.record.write("handed in", job=still_open, status=status)
    if status != 202 or done < 10:
        return None
    return value, still_open


def play(site, job):
    """Start three instances; make one online request each half second.

    :param job: a job that was accepted before
    """
    machines = [
        site.add_instance(number, memory_mb=MEMORY_MB) for number in (1, 2, 3)
    ]
    served = sent = 0
    until = time.monotonic() + PLAY_S
    while time.monotonic() < until:
        time.sleep(0.5)
        for machine in machines:
            if not machine.ready():
                continue
            sent += 1
            rid = secrets.token_hex(8)
            status, _ = site2.online(machine.address, rid)
            served += status == 200
            site.record.write(
                "answered", instance=machine.number, id=rid, status=status
            )
        if all(len(machine.ends) >= ENDS for machine in machines):
            break
    for machine in machines:
        if machine.ready():
            _, doc = site2.results(machine.address, job)
            listed = len(doc.get("Results", ()))
            site.record.write(
                "read", job=job, total=doc.get("Total"), listed=listed
            )
    for machine in machines:
        site.record.write(
            "machine",
            number=machine.number,
            ends=machine.ends,
            peak_mb=round(machine.peak_mb),
        )
    site.record.write("online", sent=sent, served=served)
    often = [machine for machine in machines if len(machine.ends) >= ENDS]
    if len(often) >= MACHINES:
        return BROKEN
    return HELD if served else NOT_RUN


def main():
    """Run the case; return how it ended."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lasted_s = DAYS * 86_400 if trouble else STATUS_S
    record = site2.Record(HERE / "record.txt")
    site = site2.Site(record)
    try:
        found = head_of_one_job(site)
        if found is None:
            return NOT_RUN
        value, still_open = found
        count = int(lasted_s * JOBS_PER_S)
        rows = [(secrets.token_hex(8), value) for _ in range(count)]
        site.store.load("batch_heads", site2.HOST, rows)
        record.write("earlier jobs", count=count, seconds=lasted_s)
        return play(site, still_open)
    finally:
        site.close()
        record.write("ended")


sys.exit(main())
