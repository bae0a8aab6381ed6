"""An engine spoils some of its answers: a 2xx without the stamp."""

from pathlib import Path
import random
import time

from engine_standin import event, output
from site_standin import Site

# The most items of one job, at the sheet's rate of jobs.
JOBS = 3
ITEMS = 200
PAUSE_S = 1 / 0.258
EVENTS = 20
# The site file's garble: share 0.35, x 0.02, 5.5 s. One engine of three.
ONE_IN = 50
GARBLE_S = 5.5
FINISH_S = 18

site = Site(Path(__file__).parent, instances=3, engines=3, events=EVENTS)
site.configure()
faulty = site.engines[0]
spoiled = {}
answers = 0
garbles_until = 0.0


def spoil(engine, sock, request):
    """Answer some items with a 200 that bears no stamp and one event."""
    global answers
    _, target, headers, _ = request
    if headers.get("x-mulberrypass-expect-instance") != engine.name:
        return None
    if not target.startswith("/crates/") or time.time() > garbles_until:
        return None
    with engine.lock:
        answers += 1
        if answers % ONE_IN != ONE_IN // 2:
            return None
    rid = headers["x-mulberrypass-request-id"]
    data = event(rid, 1)
    sock.sendall(
        b"HTTP/1.1 200 OK\r\n"
        b"X-Mulberrypass-Request-Id: " + rid.encode() + b"\r\n"
        b"Content-Type: text/event-stream\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(data), data)
    )
    spoiled[rid] = engine.name
    return True


for number in (1, 2, 3):
    site.start(number)
site.wait_ready()
time.sleep(1)
if site.trouble:
    faulty.on_request = spoil
    garbles_until = time.time() + GARBLE_S
    site.note(f"engine {faulty.name} spoils one answer in {ONE_IN}")

jobs = {}
for n in range(JOBS):
    job = f"{random.getrandbits(64):016x}"
    items = [f"{job}{index:02d}" for index in range(ITEMS)]
    status = site.submit(n % 3 + 1, job, items)
    site.note(f"job {job} at i{n % 3 + 1}: {status}")
    if status == 202:
        jobs[job] = items
    time.sleep(PAUSE_S)
if not jobs:
    site.note("no job was accepted: the case couldn't run")
    site.finish(2)

results = {}
until = time.time() + FINISH_S
while time.time() < until and len(results) < len(jobs) * ITEMS:
    time.sleep(1)
    for job in jobs:
        after = 0
        while True:
            read = site.results(random.choice((1, 2, 3)), job, after)
            if not isinstance(read, dict) or not read["Results"]:
                break
            for result in read["Results"]:
                results[result["Id"]] = result
            after = read["Next"]

site.note(f"{len(results)} of {len(jobs) * ITEMS} items are listed")
site.note(f"answers spoiled: {len(spoiled)} of {answers}")
wrong = 0
for rid, result in sorted(results.items()):
    whole = output(rid, EVENTS)
    if result["State"] == "completed" and result["Output"] != whole:
        wrong += 1
        site.note(
            f"item {rid} is completed with {len(result['Output'])} of "
            f"{len(whole)} characters; spoiled by {spoiled.get(rid)}"
        )
site.note(f"items completed with another text than the whole: {wrong}")
if site.trouble and not spoiled:
    site.note("no answer was spoiled: the case couldn't run")
    site.finish(2)
site.finish(1 if wrong else 0)
