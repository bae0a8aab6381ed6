"""A service loses its engine for good; jobs of another service wait too."""

from pathlib import Path
import random
import time

from site_standin import BATCH_HOST, SERVICE, Site

OTHER = "packmind"
# The largest batch jobs of the site file, at the rate of the sheet.
FIRST_ITEMS = 24
JOBS = 6
PAUSE_S = 1 / 0.258
ITEMS = 10
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
    more=[
        {
            "Name": "packs",
            "Host": BATCH_HOST,
            "Prefix": "/packs/",
            "RouteType": "batch",
            "Service": OTHER,
            "TimeoutMs": 15000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "MaxAttempts": 3,
            "Cap": 2100000,
            "TargetCompletionMs": 18000,
            "RetentionS": 60,
        }
    ],
)
for number in (1, 2, 3):
    site.start(number)
site.wait_ready()
time.sleep(1)
first, *others = site.engines


def hand_in(number, path, count=ITEMS):
    """Hand in a job until it is accepted; return its id."""
    job = f"{random.getrandbits(64):016x}"
    items = [f"{job}{n:02d}" for n in range(count)]
    for _ in range(5):
        status = site.submit(number, job, items, path=path)
        site.note(f"job {job} under {path} at i{number}: {status}")
        if status == 202:
            return job
        time.sleep(0.5)
    site.note("a job was not accepted: the case couldn't run")
    site.finish(2)


def count_listed(job):
    """Return the number of results of a job, at any instance."""
    for number in (1, 2, 3):
        read = site.results(number, job)
        if isinstance(read, dict):
            return len(read["Results"])
    return -1


if site.trouble:
    first.crash()
    site.note(f"engine {first.name}, the only one of {SERVICE}, is lost")
    # Its entry is removed after three liveness intervals of silence.
    time.sleep(3.6)
    site.store.remove("servers", first.name)
    site.note("its entry is removed")
    time.sleep(1)

first_jobs = []
for n in range(JOBS):
    first_jobs.append(hand_in(n % 3 + 1, "/crates/1", FIRST_ITEMS))
    time.sleep(PAUSE_S)
other_jobs = [hand_in(number, "/packs/1") for number in (1, 2, 3)]
site.note("traffic ends")
ended = time.time()
while time.time() - ended < FINISH_S:
    time.sleep(3)
    listed = [count_listed(job) for job in other_jobs]
    runs = sum(len(engine.runs) for engine in others)
    site.note(f"jobs of {OTHER}: listed {listed} of {ITEMS}, runs {runs}")
    if not site.trouble and listed == [ITEMS] * 3:
        break

now = time.time()
listed = [count_listed(job) for job in other_jobs]
done = [count_listed(job) for job in first_jobs]
site.note(f"jobs of {SERVICE}: listed {done} of {FIRST_ITEMS}")
site.note(f"jobs of {OTHER}: listed {listed} of {ITEMS}")
runs = [run for engine in others for run in engine.runs]
recent = [run for run in runs if run[0] > now - CALM_S]
running = sum(engine.running for engine in others)
slots = 8 * len(others)
site.note(
    f"engines of {OTHER}: running {running} of {slots}, "
    f"runs of the last {CALM_S} s {len(recent)}, all runs {len(runs)}"
)
missing = sum(ITEMS - count for count in listed)
if min(listed) < 0:
    site.note("results could not be read: the case couldn't run")
    site.finish(2)
excused = 2 * running >= slots or bool(recent)
site.note(f"items listed neither way: {missing}; excused: {excused}")
site.finish(1 if missing and not excused else 0)
