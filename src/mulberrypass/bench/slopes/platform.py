"""Cost of group commit for each record, by the rate of records.

Run as ``python -m mulberrypass.bench.slopes.platform``. The platform
stand-in runs as a separate program, so that only the processor time of the
committing process is measured.
"""

from __future__ import annotations

from dataclasses import asdict
import json
import pathlib
import random
import statistics
import sys
import time
from typing import TYPE_CHECKING, Any

import fire

from mulberrypass.bench.processes.launcher import Launcher
from mulberrypass.model.store import Absent, Put
from mulberrypass.model.value_class import value_class
from mulberrypass.platform.client import open_platform
from mulberrypass.platform.http_client import Endpoint
from mulberrypass.runtime.ports import PLATFORM_PORT
from mulberrypass.storage.committer import Committer
from mulberrypass.storage.metered import MeteredTable, PlatformBudget
from mulberrypass.storage.retrying_table import RetryingTable

if TYPE_CHECKING:
    from mulberrypass.platform.client import PlatformClients

DEFAULT_OUT = "bench/results/slope-platform.json"
DEFAULT_RATES = (50, 200, 500, 1_000, 2_000)
HOST = "127.0.14.1"
PROGRAM = "entry"
RECORD = {"customer": "bench", "outcome": "x" * 160}
POLL_INTERVAL_S = 0.005
READY_TIMEOUT_S = 10.0
SUBMIT_TIMEOUT_S = 30.0


@value_class
class CommitCost:
    """Measured cost at one rate of records.

    :param cpu_us_per_record: processor time of the committing process,
        the submission of records included
    """

    records_per_s: float
    records: int
    not_committed: int
    writes: int
    writes_per_s: float
    records_per_write: float
    cpu_us_per_record: float
    latency_p50_ms: float
    latency_p99_ms: float


@value_class
class Conditions:
    """Conditions of a run.

    :param live: processes that share the fleet's write budget
    :param latency_s: latency of the platform stand-in
    :param lose_replies: share of writes whose reply is lost
    :param lose_requests: share of writes whose request is lost
    """

    live: int
    latency_s: float
    lose_replies: float
    lose_requests: float


def _wait_ready(clients: PlatformClients) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        if clients.instances.listed().is_ok():
            return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError("the platform stand-in does not answer")


def _set_faults(clients: PlatformClients, conditions: Conditions) -> None:
    doc = {
        "latency_s": conditions.latency_s,
        "lose_replies": conditions.lose_replies,
        "lose_requests": conditions.lose_requests,
    }
    called = clients.http.call(
        "PUT", "/admin/faults", json.dumps(doc).encode()
    )
    if called.is_error():
        raise ConnectionError(called.error.reason)


def _write_count(clients: PlatformClients) -> int:
    called = clients.http.call("GET", "/admin/counters")
    if called.is_error():
        raise ConnectionError(called.error.reason)
    return int(json.loads(called.ok.body)["writes"])


class _RecordLoad:
    """Open-loop load: submits records at a steady rate."""

    def __init__(self, committer: Committer, prefix: str) -> None:
        self._committer = committer
        self._prefix = prefix
        self.latencies_s: list[float] = []
        self.not_committed = 0

    def run(self, per_s: float, window_s: float) -> int:
        """Submit records and wait until all have ended.

        :returns: the number of records
        """
        started_at = time.monotonic()
        futures = []
        sent = 0
        while (elapsed_s := time.monotonic() - started_at) < window_s:
            due = int(elapsed_s * per_s)
            while sent < due:
                futures.append(self._submit(sent, started_at + sent / per_s))
                sent += 1
            time.sleep(POLL_INTERVAL_S)
        for fut in futures:
            self.not_committed += fut.result().is_error()
        return sent

    def _submit(self, number: int, due: float) -> Any:
        key = f"{self._prefix}/{number}"
        fut = self._committer.submit(
            (Put("records", key, RECORD, Absent()),), SUBMIT_TIMEOUT_S
        )
        fut.add_done_callback(
            lambda _: self.latencies_s.append(time.monotonic() - due)
        )
        return fut


def measure(
    clients: PlatformClients,
    per_s: float,
    window_s: float,
    conditions: Conditions,
) -> CommitCost:
    """Measure the cost at one rate of records."""
    budget = PlatformBudget(PROGRAM)
    budget.set_live(conditions.live)
    name = f"bench-{per_s}"
    table = RetryingTable(
        MeteredTable(clients.table, budget), name, random.Random(1)
    )
    committer = Committer(table, rng=random.Random(2))
    committer.start()
    writes_before = _write_count(clients)
    cpu_before = time.process_time()
    started_at = time.monotonic()
    load = _RecordLoad(committer, name)
    records = load.run(per_s, window_s)
    duration_s = time.monotonic() - started_at
    cpu_s = time.process_time() - cpu_before
    writes = _write_count(clients) - writes_before
    committer.stop()
    percentiles = statistics.quantiles(load.latencies_s, n=100)
    return CommitCost(
        records_per_s=per_s,
        records=records,
        not_committed=load.not_committed,
        writes=writes,
        writes_per_s=round(writes / duration_s, 1),
        records_per_write=round(records / writes, 2),
        cpu_us_per_record=round(cpu_s / records * 1e6, 1),
        latency_p50_ms=round(percentiles[49] * 1e3, 2),
        latency_p99_ms=round(percentiles[98] * 1e3, 2),
    )


def run(
    rates: tuple[float, ...] | float = DEFAULT_RATES,
    window_s: float = 8.0,
    live: int = 10,
    latency_s: float = 0.005,
    lose_replies: float = 0.0,
    lose_requests: float = 0.0,
    out: str = DEFAULT_OUT,
) -> None:
    """Measure several rates and write the results as JSON.

    :param rates: records a second, separated by commas
    :param live: processes that share the fleet's write budget
    :param latency_s: latency of the platform stand-in
    :param lose_replies: share of writes whose reply is lost
    :param lose_requests: share of writes whose request is lost
    :param out: output file; empty for none
    """
    conditions = Conditions(live, latency_s, lose_replies, lose_requests)
    rate_list = (rates,) if isinstance(rates, int | float) else rates
    launcher = Launcher({})
    clients = open_platform(Endpoint(HOST, PLATFORM_PORT))
    try:
        launcher.start("platform", "mulberry-fake-platform", "--address", HOST)
        _wait_ready(clients)
        _set_faults(clients, conditions)
        measured = [
            asdict(measure(clients, per_s, window_s, conditions))
            for per_s in rate_list
        ]
    finally:
        clients.close()
        launcher.stop_all()
    share = PlatformBudget(PROGRAM)
    share.set_live(live)
    doc = {
        "command": "python -m mulberrypass.bench.slopes.platform",
        "conditions": asdict(conditions),
        "share_writes_per_s": share.state().writes_per_s,
        "record_bytes": len(json.dumps(RECORD)),
        "window_s": window_s,
        "rates": measured,
    }
    text = json.dumps(doc, indent=1)
    sys.stdout.write(text + "\n")
    if out:
        pathlib.Path(out).write_text(text + "\n")


if __name__ == "__main__":
    fire.Fire(run)

__all__ = ["CommitCost", "measure", "run"]
