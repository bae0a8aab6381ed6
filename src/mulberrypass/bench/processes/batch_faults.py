"""Experiment that runs jobs under kills and store failures."""

from __future__ import annotations

from collections import Counter
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
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.ports import BATCH_PORT, PLATFORM_PORT

if TYPE_CHECKING:
    from collections.abc import Iterator

PLATFORM = f"127.0.20.1:{PLATFORM_PORT}"
PLAIN_BACKEND = "127.0.21.90:8000"
ONCE_SERVICE = "booking"
ITEM_TOKENS = 16
ONCE_SHARE = 0.1
KILL_INTERVAL_S = 6.0
RESTART_DELAY_S = 2.0
OUTAGE_S = 10.0
OUTAGE_START_SHARE = 0.4
LOST_REPLY_SHARE = 0.05
POLL_INTERVAL_S = 0.5
JOB_TIMEOUT_S = 400.0
SHAPE = ClusterShape(engines=3, instances=4, batch=True)


class FaultCluster(Cluster):
    """Cluster with a plain service whose calls must not be repeated."""

    def start_engines(self) -> None:
        """Start the engines and the stand-in of the plain service."""
        super().start_engines()
        self._launcher.start(
            "plain",
            "mulberry-fake-engine",
            "--kind=plain",
            f"--addresses={PLAIN_BACKEND}",
        )

    def restart(self, program: str) -> None:
        """Restart a batch program, such as ``batch-2``."""
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
                "address": PLAIN_BACKEND,
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


@value_class
class JobResult:
    """Results of one job.

    :param seconds: time from submission to the end; infinite without an end
    :param states: number of items by final state
    :param missing: items without an outcome
    :param duplicated: items with more than one outcome
    """

    items: int
    seconds: float
    states: Counter[str]
    missing: int
    duplicated: int


class FaultSchedule:
    """Periodic kills of batch programs and one store outage.

    :param outage_at: start of the outage, in seconds after the submission
    """

    def __init__(
        self, cluster: FaultCluster, rng: random.Random, outage_at: float
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self._outage_at = outage_at
        self._kill_at = KILL_INTERVAL_S
        self._restart_at: dict[str, float] = {}
        self._in_outage = False
        self.kills = 0

    def apply_due(self, elapsed: float) -> None:
        """Apply the faults that are due and restart killed programs."""
        in_outage = 0 <= elapsed - self._outage_at < OUTAGE_S
        if in_outage != self._in_outage:
            self._in_outage = in_outage
            set_platform_faults(
                outage=in_outage, lose_replies=LOST_REPLY_SHARE
            )
        for program, restart_at in list(self._restart_at.items()):
            if elapsed >= restart_at:
                del self._restart_at[program]
                self._cluster.restart(program)
        if elapsed >= self._kill_at:
            self._kill_at += KILL_INTERVAL_S
            number = self._rng.randint(1, SHAPE.instances)
            self._kill(f"batch-{number}", elapsed)

    def _kill(self, program: str, elapsed: float) -> None:
        if program in self._restart_at:
            return
        self._cluster.send_signal(program, signal.SIGKILL)
        self._cluster.wait(program, RESTART_DELAY_S)
        self._restart_at[program] = elapsed + RESTART_DELAY_S
        self.kills += 1


def batch_faults(seed: int, items: int) -> ExperimentResult:
    """Run the same jobs without faults, then with faults.

    :param items: idempotent items of each run; a tenth as many items are
        added that may run once only
    """
    rng = random.Random(seed)
    cluster = FaultCluster(SHAPE)
    with cluster:
        undisturbed = run_jobs(cluster, items, "calm", None)
        faults = FaultSchedule(
            cluster, rng, undisturbed[0].seconds * OUTAGE_START_SHARE
        )
        set_platform_faults(outage=False, lose_replies=LOST_REPLY_SHARE)
        disturbed = run_jobs(cluster, items, "faulty", faults)
        run_counts = list(runs_per_item())
    targets = [
        at_most("items lost", sum(e.missing for e in disturbed), 0),
        at_most(
            "items with two outcomes", sum(e.duplicated for e in disturbed), 0
        ),
        at_most(
            "items that may run once and ran twice",
            sum(count > 1 for count in run_counts),
            0,
        ),
        at_most("idempotent items not done", disturbed[0].states["failed"], 0),
        at_least(
            "throughput over the run without faults",
            ratio(undisturbed[0].seconds, disturbed[0].seconds),
            0.8,
        ),
    ]
    notes = [
        f"without faults: {items / undisturbed[0].seconds:.0f} items/s",
        f"with faults: {items / disturbed[0].seconds:.0f} items/s, "
        f"{faults.kills} kills, an outage of {OUTAGE_S:g} s, "
        f"{LOST_REPLY_SHARE:.0%} of replies lost",
        f"items that may run once: {dict(disturbed[1].states)}",
    ]
    return ExperimentResult(
        "batch-faults",
        "processes",
        seed,
        disturbed[0].seconds,
        (),
        targets,
        {"items": items},
        notes,
    )


def run_jobs(
    cluster: FaultCluster, items: int, key: str, faults: FaultSchedule | None
) -> tuple[JobResult, JobResult]:
    """Run an idempotent job and a job whose items may run once only."""
    lines = [
        json.dumps({"input": f"crate {n} {key}", "max_tokens": ITEM_TOKENS})
        for n in range(items)
    ]
    once_lines = [
        json.dumps({"input": {"bay": n, "of": key}})
        for n in range(int(items * ONCE_SHARE))
    ]
    started = time.monotonic()
    jobs = [
        submit_job(cluster, "manifest", lines, key),
        submit_job(cluster, ONCE_SERVICE, once_lines, f"{key}-once"),
    ]
    ended: dict[str, float] = {}
    while len(ended) < len(jobs):
        elapsed = time.monotonic() - started
        if elapsed > JOB_TIMEOUT_S:
            break
        if faults is not None:
            faults.apply_due(elapsed)
        for job in jobs:
            if job not in ended and job_state(cluster, job) == "done":
                ended[job] = time.monotonic() - started
        time.sleep(POLL_INTERVAL_S)
    if faults is not None:
        set_platform_faults(outage=False, lose_replies=0.0)
    no_end = float("inf")
    return (
        read_results(cluster, jobs[0], len(lines), ended.get(jobs[0], no_end)),
        read_results(
            cluster, jobs[1], len(once_lines), ended.get(jobs[1], no_end)
        ),
    )


def submit_job(
    cluster: FaultCluster, service: str, lines: list[str], key: str
) -> str:
    """Submit a job, retrying under the same key until it is accepted.

    :raises TimeoutError: if no attempt succeeds
    """
    body = "\n".join(lines).encode()
    path = f"/v1/jobs?service={service}&due=3600"
    headers = bearer(BATCH_CUSTOMER) | {"Idempotency-Key": key}
    for address in _addresses(cluster, 40):
        reply = _call_json("POST", address, path, body, headers)
        if "job_id" in reply:
            return str(reply["job_id"])
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"job {key} was not accepted")


def job_state(cluster: FaultCluster, job: str) -> str:
    """Return a job's state from the first instance that answers."""
    for address in _addresses(cluster, len(cluster.instances)):
        reply = _call_json("GET", address, f"/v1/jobs/{job}")
        if "state" in reply:
            return str(reply["state"])
    return "unknown"


def read_results(
    cluster: FaultCluster, job: str, items: int, seconds: float
) -> JobResult:
    """Read all results of a job and count missing and duplicate items."""
    path = f"/v1/jobs/{job}/results"
    address = f"{cluster.instances[0]}:{BATCH_PORT}"
    reply = call("GET", address, path, headers=bearer(BATCH_CUSTOMER))
    results = [json.loads(line) for line in reply.body.splitlines()]
    seen = Counter(int(result["item"]) for result in results)
    return JobResult(
        items,
        seconds,
        Counter(str(result["state"]) for result in results),
        sum(n not in seen for n in range(items)),
        sum(count > 1 for count in seen.values()),
    )


def runs_per_item() -> Iterator[int]:
    """Yield the number of runs of each item that may run once only."""
    runs = call("GET", PLAIN_BACKEND, "/admin/runs").json()["runs"]
    started: Counter[tuple[str, ...]] = Counter()
    for request_id, counts in runs.items():
        started[tuple(request_id.split(".")[:2])] += counts["started"]
    yield from started.values()


def set_platform_faults(outage: bool, lose_replies: float) -> None:
    """Set the faults of the platform stand-in."""
    doc = {"outage": outage, "lose_replies": lose_replies}
    call("PUT", PLATFORM, "/admin/faults", json.dumps(doc).encode())


def _addresses(cluster: FaultCluster, tries: int) -> Iterator[str]:
    for number in range(tries):
        address = cluster.instances[number % len(cluster.instances)]
        yield f"{address}:{BATCH_PORT}"


def _call_json(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> dict[str, Any]:
    sent_headers = headers or bearer(BATCH_CUSTOMER)
    try:
        value: Any = call(method, address, path, body, sent_headers).json()
    except (OSError, http.client.HTTPException, ValueError):
        return {}
    return value if isinstance(value, dict) else {}


__all__ = ["batch_faults"]
