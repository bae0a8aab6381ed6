"""Jobs whose instances are killed while the store fails."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import http.client
import json
import random
import signal
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.bench.load.http_call import call
from mulberrypass.bench.processes.cluster import (
    BATCH_CUSTOMER,
    Cluster,
    ClusterShape,
    bearer,
)
from mulberrypass.bench.results import (
    ExperimentResult,
    at_least,
    at_most,
    ratio,
)
from mulberrypass.runtime.ports import BATCH_PORT, PLATFORM_PORT

if TYPE_CHECKING:
    from collections.abc import Iterator

PLATFORM = f"127.0.20.1:{PLATFORM_PORT}"
PLAIN = "127.0.21.90:8000"
ONCE_SERVICE = "booking"
ITEM_TOKENS = 16
ONCE_SHARE = 0.1
KILL_EVERY_S = 6.0
RESTART_AFTER_S = 2.0
OUTAGE_S = 10.0
OUTAGE_AT = 0.4
LOSE_REPLIES = 0.05
POLL_S = 0.5
JOB_TIMEOUT_S = 400.0
SHAPE = ClusterShape(engines=3, instances=4, batch=True)


class FaultCluster(Cluster):
    """A fleet with a plain service whose calls may not be repeated."""

    def start_engines(self) -> None:
        """Start the engines and the plain service's stand-in."""
        super().start_engines()
        self._launcher.start(
            "plain",
            "mulberry-fake-engine",
            "--kind=plain",
            f"--addresses={PLAIN}",
        )

    def restart(self, program: str) -> None:
        """Start a batch program again, as in ``batch-2``."""
        number = int(program.rpartition("-")[2])
        self._launcher.start(
            program,
            "mulberry-batch",
            f"--instance=i-{number}",
            f"--zone=zone-{number % 3}",
            f"--address={self.instances[number - 1]}",
        )

    def _objects(self) -> list[dict[str, Any]]:
        return [
            *super()._objects(),
            {
                "kind": "backend",
                "name": "plain-1",
                "type": "plain",
                "zone": "duluth-bay",
                "address": PLAIN,
                "slots": 32,
            },
            {"kind": "pool", "name": "plain", "backends": ["plain-1"]},
            {
                "kind": "service",
                "name": ONCE_SERVICE,
                "type": "plain",
                "pool": "plain",
                "idempotent": False,
                "hedge": False,
                "record": "accepted",
            },
        ]


@dataclass(frozen=True, slots=True)
class JobEnd:
    """How one job ended.

    :param seconds: from the submit to the end; infinite if it didn't end
    :param states: how many items ended in each state
    """

    items: int
    seconds: float
    states: Counter[str]
    missing: int
    doubled: int


class Faults:
    """Kills holders in turn, and fails the store once for a while."""

    def __init__(
        self, cluster: FaultCluster, rng: random.Random, outage_at: float
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self._outage_at = outage_at
        self._kill_at = KILL_EVERY_S
        self._down: dict[str, float] = {}
        self._outage = False
        self.kills = 0

    def step(self, elapsed: float) -> None:
        """Bring about what is due."""
        in_outage = 0 <= elapsed - self._outage_at < OUTAGE_S
        if in_outage != self._outage:
            self._outage = in_outage
            set_store(outage=in_outage, lose_replies=LOSE_REPLIES)
        for program, at in list(self._down.items()):
            if elapsed >= at:
                del self._down[program]
                self._cluster.restart(program)
        if elapsed >= self._kill_at:
            self._kill_at += KILL_EVERY_S
            number = self._rng.randint(1, SHAPE.instances)
            self._kill(f"batch-{number}", elapsed)

    def _kill(self, program: str, elapsed: float) -> None:
        if program in self._down:
            return
        self._cluster.send_signal(program, signal.SIGKILL)
        self._cluster.wait(program, RESTART_AFTER_S)
        self._down[program] = elapsed + RESTART_AFTER_S
        self.kills += 1


def batch_faults(seed: int, items: int) -> ExperimentResult:
    """Run the same jobs without faults, then with them.

    :param items: idempotent items of each run; a tenth as many run once
    """
    rng = random.Random(seed)
    cluster = FaultCluster(SHAPE)
    with cluster:
        calm = run_jobs(cluster, items, "calm", None)
        faults = Faults(cluster, rng, calm[0].seconds * OUTAGE_AT)
        set_store(outage=False, lose_replies=LOSE_REPLIES)
        faulty = run_jobs(cluster, items, "faulty", faults)
        ran = list(runs_of_items())
    targets = [
        at_most("items lost", sum(e.missing for e in faulty), 0),
        at_most("items with two outcomes", sum(e.doubled for e in faulty), 0),
        at_most(
            "items that may run once and ran twice",
            sum(count > 1 for count in ran),
            0,
        ),
        at_most("idempotent items not done", faulty[0].states["failed"], 0),
        at_least(
            "throughput over the run without faults",
            ratio(calm[0].seconds, faulty[0].seconds),
            0.8,
        ),
    ]
    notes = [
        f"without faults: {items / calm[0].seconds:.0f} items/s",
        f"with faults: {items / faulty[0].seconds:.0f} items/s, "
        f"{faults.kills} kills, an outage of {OUTAGE_S:g} s, "
        f"{LOSE_REPLIES:.0%} of replies lost",
        f"items that may run once: {dict(faulty[1].states)}",
    ]
    return ExperimentResult(
        "batch-faults",
        "processes",
        seed,
        faulty[0].seconds,
        (),
        targets,
        {"items": items},
        notes,
    )


def run_jobs(
    cluster: FaultCluster, items: int, key: str, faults: Faults | None
) -> tuple[JobEnd, JobEnd]:
    """Submit an idempotent job and one that may run once, to their ends."""
    lines = [
        json.dumps({"input": f"crate {n} {key}", "max_tokens": ITEM_TOKENS})
        for n in range(items)
    ]
    once = [
        json.dumps({"input": {"bay": n, "of": key}})
        for n in range(int(items * ONCE_SHARE))
    ]
    started = time.monotonic()
    jobs = [
        submit(cluster, "manifest", lines, key),
        submit(cluster, ONCE_SERVICE, once, f"{key}-once"),
    ]
    ended: dict[str, float] = {}
    while len(ended) < len(jobs):
        elapsed = time.monotonic() - started
        if elapsed > JOB_TIMEOUT_S:
            break
        if faults is not None:
            faults.step(elapsed)
        for job in jobs:
            if job not in ended and state_of(cluster, job) == "done":
                ended[job] = time.monotonic() - started
        time.sleep(POLL_S)
    if faults is not None:
        set_store(outage=False, lose_replies=0.0)
    never = float("inf")
    return (
        check(cluster, jobs[0], len(lines), ended.get(jobs[0], never)),
        check(cluster, jobs[1], len(once), ended.get(jobs[1], never)),
    )


def submit(
    cluster: FaultCluster, service: str, lines: list[str], key: str
) -> str:
    """Hand in a job, again under its key until it is accepted."""
    body = "\n".join(lines).encode()
    path = f"/v1/jobs?service={service}&due=3600"
    headers = bearer(BATCH_CUSTOMER) | {"Idempotency-Key": key}
    for address in _addresses(cluster, 40):
        reply = _try("POST", address, path, body, headers)
        if "job_id" in reply:
            return str(reply["job_id"])
        time.sleep(POLL_S)
    raise TimeoutError(f"job {key} was not accepted")


def state_of(cluster: FaultCluster, job: str) -> str:
    """Read a job's state from any instance that answers."""
    for address in _addresses(cluster, len(cluster.instances)):
        reply = _try("GET", address, f"/v1/jobs/{job}")
        if "state" in reply:
            return str(reply["state"])
    return "unknown"


def check(
    cluster: FaultCluster, job: str, items: int, seconds: float
) -> JobEnd:
    """Read all results of a job, and count what is wrong with them."""
    path = f"/v1/jobs/{job}/results"
    address = f"{cluster.instances[0]}:{BATCH_PORT}"
    reply = call("GET", address, path, headers=bearer(BATCH_CUSTOMER))
    results = [json.loads(line) for line in reply.body.splitlines()]
    seen = Counter(int(result["item"]) for result in results)
    return JobEnd(
        items,
        seconds,
        Counter(str(result["state"]) for result in results),
        sum(n not in seen for n in range(items)),
        sum(count > 1 for count in seen.values()),
    )


def runs_of_items() -> Iterator[int]:
    """Count at the stand-in how often each item that may run once ran."""
    runs = call("GET", PLAIN, "/admin/runs").json()["runs"]
    ran: Counter[tuple[str, ...]] = Counter()
    for request_id, counts in runs.items():
        ran[tuple(request_id.split(".")[:2])] += counts["started"]
    yield from ran.values()


def set_store(outage: bool, lose_replies: float) -> None:
    """Set the faults of the platform's stand-in."""
    doc = {"outage": outage, "lose_replies": lose_replies}
    call("PUT", PLATFORM, "/admin/faults", json.dumps(doc).encode())


def _addresses(cluster: FaultCluster, tries: int) -> Iterator[str]:
    for number in range(tries):
        address = cluster.instances[number % len(cluster.instances)]
        yield f"{address}:{BATCH_PORT}"


def _try(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> dict[str, Any]:
    shown = headers or bearer(BATCH_CUSTOMER)
    try:
        value: Any = call(method, address, path, body, shown).json()
    except (OSError, http.client.HTTPException, ValueError):
        return {}
    return value if isinstance(value, dict) else {}


__all__ = ["batch_faults"]
