"""A route leads to two services; one of them loses its engine for good."""

from pathlib import Path
import random
import time

from site_standin import SERVICE, Site

OTHER = "packmind"
ITEMS = 10
JOBS = 3
PAUSE_S = 1 / 0.258
FINISH_S = 18
CALM_S = 5

site = Site(
    Path(__file__).parent,
    instances=3,
    engines={SERVICE: 1, OTHER: 5},
    services=(SERVICE, OTHER),
)
site.configure(
    services=(SERVICE, OTHER),
    Service=None,
    Backends=[
        {"Service": SERVICE, "Weight": 50},
        {"Service": OTHER, "Weight": 50},
    ],
)
for number in (1, 2, 3):
    site.start(number)
site.wait_ready()
time.sleep(1)
lost, *others = site.engines


def count_listed(job):
    """Return the number of results of a job, at any instance."""
    for number in (1, 2, 3):
        read = site.results(number, job)
        if isinstance(read, dict):
            return len(read["Results"])
    return -1


if site.trouble:
    lost.crash()
    site.note(f"engine {lost.name}, the only one of {SERVICE}, is lost")
    # Its entry is removed after three liveness intervals of silence.
    time.sleep(3.6)
    site.store.remove("servers", lost.name)
    site.note("its entry is removed")
    time.sleep(1)

jobs = []
for n in range(JOBS):
    job = f"{random.getrandbits(64):016x}"
    items = [f"{job}{index:02d}" for index in range(ITEMS)]
    status = site.submit(n % 3 + 1, job, items)
    site.note(f"job {job} at i{n % 3 + 1}: {status}")
    if status != 202:
        site.note("a job was not accepted: the case couldn't run")
        site.finish(2)
    jobs.append(job)
    time.sleep(PAUSE_S)
site.note("traffic ends")
ended = time.time()
while time.time() - ended < FINISH_S:
    time.sleep(3)
    listed = [count_listed(job) for job in jobs]
    site.note(
        f"listed {listed} of {ITEMS}, runs at {lost.name} {len(lost.runs)}, "
        f"at the others {sum(len(engine.runs) for engine in others)}"
    )
    if not site.trouble and listed == [ITEMS] * JOBS:
        break

now = time.time()
listed = [count_listed(job) for job in jobs]
if min(listed) < 0:
    site.note("results could not be read: the case couldn't run")
    site.finish(2)
runs = [run for engine in others for run in engine.runs]
recent = [run for run in runs if run[0] > now - CALM_S]
running = sum(engine.running for engine in others)
slots = 8 * len(others)
missing = sum(ITEMS - count for count in listed)
site.note(
    f"listed {listed} of {ITEMS}; engines of {OTHER}: running {running} of "
    f"{slots}, runs of the last {CALM_S} s {len(recent)}"
)
excused = 2 * running >= slots or bool(recent)
site.note(f"items listed neither way: {missing}; excused: {excused}")
site.finish(1 if missing and not excused else 0)
