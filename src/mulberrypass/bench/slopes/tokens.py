"""Processor cost of a request and a streamed token in the entry program."""

from __future__ import annotations

from dataclasses import asdict
import json
import os
from pathlib import Path
import sys
import time

from mulberrypass.bench.load.open_loop import LoadPlan
from mulberrypass.bench.load.sending import SYSTEM, run_plan
from mulberrypass.bench.load.workload import SizeRange, poisson_arrivals
from mulberrypass.bench.processes.cluster import Cluster, ClusterShape
from mulberrypass.model.value_class import value_class

PROMPT_TOKENS = 100
OUTPUT_TOKENS = (10, 40, 80)
RATE_PER_S = 12.0
LOAD_S = 12.0
IDLE_S = 6.0


@value_class
class TokenLoad:
    """Processor time of the entry process under one load.

    :param output_tokens: tokens of each answer
    :param processor_s: processor time above that of an idle process
    """

    output_tokens: int
    requests: int
    tokens: int
    processor_s: float


@value_class
class TokenCost:
    """Fitted unit costs.

    :param idle_share: share of a core that an idle entry process uses
    """

    request_ms: float
    token_ms: float
    idle_share: float


def measure(
    seed: int = 1, results: str = "bench/results/slope-tokens.json"
) -> None:
    """Measure an entry process with two engines at several answer lengths.

    :param results: file to which the result is written
    """
    shape = ClusterShape(engines=2, instances=1)
    with Cluster(shape) as cluster:
        _measure_load(cluster, OUTPUT_TOKENS[0], seed, 0.0)
        idle_share = _idle_share(cluster)
        loads = [
            _measure_load(cluster, n, seed, idle_share) for n in OUTPUT_TOKENS
        ]
    doc = {
        "slope": "tokens",
        "processors": os.cpu_count(),
        "load_average": os.getloadavg()[0],
        "loads": [asdict(load) for load in loads],
        "fitted": asdict(_fit(loads, idle_share)),
    }
    text = json.dumps(doc, indent=1) + "\n"
    path = Path(results)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)
    sys.stdout.write(text)


def _measure_load(
    cluster: Cluster, output: int, seed: int, idle_share: float
) -> TokenLoad:
    sizes = SizeRange(PROMPT_TOKENS, PROMPT_TOKENS, output, output)
    name = cluster.shape.customers[0]
    arrivals = tuple(poisson_arrivals(RATE_PER_S, LOAD_S, sizes, name, seed))
    plan = LoadPlan(arrivals, salt=f"{output}-{idle_share}")
    before = cluster.cpu_time_s("entry-1")
    started = time.monotonic()
    outcome = run_plan(plan, cluster, SYSTEM)
    elapsed = time.monotonic() - started
    spent = cluster.cpu_time_s("entry-1") - before - idle_share * elapsed
    tokens = sum(sample.tokens for sample in outcome.samples)
    return TokenLoad(output, len(arrivals), tokens, round(spent, 3))


def _idle_share(cluster: Cluster) -> float:
    before = cluster.cpu_time_s("entry-1")
    time.sleep(IDLE_S)
    return (cluster.cpu_time_s("entry-1") - before) / IDLE_S


def _fit(loads: list[TokenLoad], idle_share: float) -> TokenCost:
    """Fit processor time to requests and tokens by least squares."""
    rr = sum(load.requests**2 for load in loads)
    rt = sum(load.requests * load.tokens for load in loads)
    tt = sum(load.tokens**2 for load in loads)
    rc = sum(load.requests * load.processor_s for load in loads)
    tc = sum(load.tokens * load.processor_s for load in loads)
    determinant = rr * tt - rt * rt
    request_s = (rc * tt - tc * rt) / determinant
    token_s = (tc * rr - rc * rt) / determinant
    return TokenCost(
        round(request_s * 1_000, 3),
        round(token_s * 1_000, 4),
        round(idle_share, 4),
    )


__all__ = ["TokenCost", "TokenLoad", "measure"]
