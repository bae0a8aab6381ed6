"""Measures what a request and a streamed token cost an entry process."""

from __future__ import annotations

from dataclasses import asdict, dataclass
import json
import os
from pathlib import Path
import sys
import time

from mulberrypass.bench.load.open_loop import LoadPlan
from mulberrypass.bench.load.sending import SYSTEM, run_plan
from mulberrypass.bench.load.workload import SizeRange, poisson_arrivals
from mulberrypass.bench.processes.cluster import Cluster, ClusterShape

PROMPT_TOKENS = 100
OUTPUTS = (10, 40, 80)
RATE = 12.0
SECONDS = 12.0
QUIET_S = 6.0


@dataclass(frozen=True, slots=True)
class TokenLoad:
    """What one load cost the entry process.

    :param processor_s: processor time above that of an idle process
    """

    output_tokens: int
    requests: int
    tokens: int
    processor_s: float


@dataclass(frozen=True, slots=True)
class TokenSlope:
    """The fitted costs.

    :param idle_share: processor share of an entry process without load
    """

    request_ms: float
    token_ms: float
    idle_share: float


def measure(
    seed: int = 1, results: str = "bench/results/slope-tokens.json"
) -> None:
    """Measure one entry process before two engines at several lengths.

    :param results: file that the result is written to
    """
    shape = ClusterShape(engines=2, instances=1)
    with Cluster(shape) as cluster:
        _load(cluster, OUTPUTS[0], seed, 0.0)
        idle = _idle_share(cluster)
        loads = [_load(cluster, n, seed, idle) for n in OUTPUTS]
    doc = {
        "slope": "tokens",
        "processors": os.cpu_count(),
        "load_average": os.getloadavg()[0],
        "loads": [asdict(load) for load in loads],
        "fitted": asdict(_fit(loads, idle)),
    }
    text = json.dumps(doc, indent=1) + "\n"
    path = Path(results)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)
    sys.stdout.write(text)


def _load(cluster: Cluster, output: int, seed: int, idle: float) -> TokenLoad:
    sizes = SizeRange(PROMPT_TOKENS, PROMPT_TOKENS, output, output)
    name = cluster.shape.customers[0]
    arrivals = tuple(poisson_arrivals(RATE, SECONDS, sizes, name, seed))
    plan = LoadPlan(arrivals, salt=f"{output}-{idle}")
    before = cluster.cpu_time_s("entry-1")
    began = time.monotonic()
    outcome = run_plan(plan, cluster, SYSTEM)
    elapsed = time.monotonic() - began
    spent = cluster.cpu_time_s("entry-1") - before - idle * elapsed
    tokens = sum(sample.tokens for sample in outcome.samples)
    return TokenLoad(output, len(arrivals), tokens, round(spent, 3))


def _idle_share(cluster: Cluster) -> float:
    before = cluster.cpu_time_s("entry-1")
    time.sleep(QUIET_S)
    return (cluster.cpu_time_s("entry-1") - before) / QUIET_S


def _fit(loads: list[TokenLoad], idle: float) -> TokenSlope:
    """Fit time over requests and tokens by least squares."""
    rr = sum(load.requests**2 for load in loads)
    rt = sum(load.requests * load.tokens for load in loads)
    tt = sum(load.tokens**2 for load in loads)
    rc = sum(load.requests * load.processor_s for load in loads)
    tc = sum(load.tokens * load.processor_s for load in loads)
    det = rr * tt - rt * rt
    request_s = (rc * tt - tc * rt) / det
    token_s = (tc * rr - rc * rt) / det
    return TokenSlope(
        round(request_s * 1_000, 3),
        round(token_s * 1_000, 4),
        round(idle, 4),
    )


__all__ = ["TokenLoad", "TokenSlope", "measure"]
