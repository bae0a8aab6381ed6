"""Experiments over real processes and the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mulberrypass.bench.load.direct_sender import BASELINES
from mulberrypass.bench.load.open_loop import LoadPlan
from mulberrypass.bench.load.sending import SYSTEM, run_plan
from mulberrypass.bench.load.workload import (
    SizeRange,
    poisson_arrivals,
)
from mulberrypass.bench.processes.batch_load import BatchLoad
from mulberrypass.bench.processes.cluster import Cluster, ClusterShape
from mulberrypass.bench.processes.instance_faults import instance_faults
from mulberrypass.bench.processes.run import Run, merged
from mulberrypass.bench.results import (
    ExperimentResult,
    at_least,
    at_most,
    ratio,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.bench.load.open_loop import LoadOutcome

FIRST_TOKEN_TARGET_MS = 750.0
GAP_TARGET_MS = 47.0
SLOW_S = 10.0
SHORT_SIZES = SizeRange(60, 240, 5, 15)
SHORT_RATE = 10.0
LONG_RATE = 2.0


def _p99(outcome: LoadOutcome) -> float:
    return outcome.recorder().first.summary().p99_ms


def _idle_p99(outcomes: dict[str, LoadOutcome]) -> float:
    """Give the lower tail of the two runs without batch.

    One of the two may be disturbed by other work on the machine.
    """
    labels = ("no batch", "no batch, again")
    return min(_p99(outcomes[label]) for label in labels)


def _batch_harm(name: str, load: float, run: Run) -> ExperimentResult:
    plan = LoadPlan(run.online(load), salt="idle")
    outcomes = {"no batch": run_plan(plan, run.cluster, SYSTEM)}
    busy = replace(plan, salt="busy")
    with BatchLoad(run.cluster, run.seed, run.seconds):
        outcomes[SYSTEM] = run_plan(busy, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    again = replace(plan, salt="again")
    outcomes["no batch, again"] = run_plan(again, run.cluster, SYSTEM)
    outcomes |= run.baselines(plan, "busy", batch=True)
    ours = outcomes[SYSTEM].recorder()
    tail = ours.first.summary().p99_ms
    unprotected = outcomes["least outstanding"].batch_tokens_per_s()
    batch = outcomes[SYSTEM].batch_tokens_per_s()
    targets = [
        at_most(
            "p95 first token, ms",
            ours.first.summary().p95_ms,
            FIRST_TOKEN_TARGET_MS,
        ),
        at_most("p95 gap, ms", ours.gap.summary().p95_ms, GAP_TARGET_MS),
        at_most(
            "p99 first token over no batch",
            ratio(tail, _idle_p99(outcomes)),
            1.5,
        ),
        at_least(
            "p99 of no priority over ours",
            ratio(_p99(outcomes["no priority"]), tail),
            8.0,
        ),
        at_least(
            "batch over least outstanding", ratio(batch, unprotected), 0.9
        ),
    ]
    return run.result(name, outcomes, targets)


def batch_harm_third(run: Run) -> ExperimentResult:
    """Batch always waiting beside online work at a third of capacity."""
    return _batch_harm("batch-harm-third", 1 / 3, run)


def batch_harm_three_quarters(run: Run) -> ExperimentResult:
    """Batch always waiting beside online work at 3/4 of capacity."""
    return _batch_harm("batch-harm-three-quarters", 3 / 4, run)


def burst(run: Run) -> ExperimentResult:
    """Online work from nothing to full, batch in every slot."""
    start = run.seconds / 2
    arrivals = run.online(1.0, seconds=run.seconds / 2, start=start)
    plan = LoadPlan(arrivals, max_measured=100, salt="idle")
    outcomes = {"no batch": run_plan(plan, run.cluster, SYSTEM)}
    run.cluster.wait_idle()
    with BatchLoad(run.cluster, run.seed, run.seconds):
        busy = replace(plan, salt="busy")
        outcomes[SYSTEM] = run_plan(busy, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    again = replace(plan, salt="again")
    outcomes["no batch, again"] = run_plan(again, run.cluster, SYSTEM)
    outcomes |= run.baselines(plan, "busy", batch=True)
    tail = ratio(_p99(outcomes[SYSTEM]), _idle_p99(outcomes))
    targets = [at_most("p99 of the first 100 over no batch", tail, 1.25)]
    return run.result("burst", outcomes, targets)


def stragglers(run: Run) -> ExperimentResult:
    """Short calls among calls of 50 times the length."""
    *names, name = run.cluster.shape.customers
    short = merged(
        *(
            poisson_arrivals(
                SHORT_RATE, run.seconds, SHORT_SIZES, each, run.seed
            )
            for each in names
        )
    )
    longer = 50 * SHORT_SIZES.mean.output_tokens
    sizes = replace(SHORT_SIZES, output_low=longer, output_high=longer)
    long = poisson_arrivals(LONG_RATE, run.seconds, sizes, name, run.seed)
    sent = merged(short, long)
    max_tokens = SHORT_SIZES.output_high
    plan = LoadPlan(short, salt="none")
    mixed = LoadPlan(sent, 120.0, max_output_tokens=max_tokens, salt="mixed")
    outcomes = {"no stragglers": run_plan(plan, run.cluster, SYSTEM)}
    outcomes[SYSTEM] = run_plan(mixed, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    outcomes |= run.baselines(mixed, "mixed")
    tail = ratio(_p99(outcomes[SYSTEM]), _p99(outcomes["no stragglers"]))
    targets = [at_most("p99 first token over no stragglers", tail, 1.2)]
    return run.result("stragglers", outcomes, targets)


def slow_engines(run: Run) -> ExperimentResult:
    """Two of six engines ten times slower for 10 s, unannounced."""
    start = 3.5

    def slow() -> None:
        for engine in (1, 4):
            run.cluster.fault(engine, slow=10.0)

    def heal() -> None:
        for engine in (1, 4):
            run.cluster.fault(engine, slow=1.0)

    events = ((start, slow), (start + SLOW_S, heal))
    plan = LoadPlan(run.online(0.4), salt="healthy")
    outcomes = {"healthy": run_plan(plan, run.cluster, SYSTEM)}
    for name in (SYSTEM, *BASELINES):
        slowed = replace(plan, salt=f"slow{name}".replace(" ", ""))
        outcomes[name] = run_plan(slowed, run.cluster, name, events=events)
        run.cluster.wait_idle()
    ours = _p99(outcomes[SYSTEM])
    healthy = _p99(outcomes["healthy"])
    targets = [
        at_most("p99 first token over healthy", ratio(ours, healthy), 1.5)
    ]
    targets += [
        at_least(
            f"p99 of {name} over ours", ratio(_p99(outcomes[name]), ours), 3.0
        )
        for name in BASELINES
    ]
    return run.result("slow-engines", outcomes, targets)


def flood(run: Run) -> ExperimentResult:
    """One customer sends 20 times its share."""
    *others, flooder = run.cluster.shape.customers
    calm = run.online(0.2, others)
    share = run.online(0.1, (flooder,))
    flooding = run.online(2.0, (flooder,))
    plan = LoadPlan(
        merged(calm, share), 5.0, customers=tuple(others), salt="share"
    )
    flooded = replace(plan, arrivals=merged(calm, flooding), salt="flood")
    outcomes = {"its share": run_plan(plan, run.cluster, SYSTEM)}
    outcomes[SYSTEM] = run_plan(flooded, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    outcomes |= run.baselines(flooded, "flood")
    tail = ratio(_p99(outcomes[SYSTEM]), _p99(outcomes["its share"]))
    targets = [at_most("the others' p99 over its share", tail, 1.15)]
    return run.result("flood", outcomes, targets)


def overload(run: Run) -> ExperimentResult:
    """Online work at twice the capacity, due within four seconds."""
    plan = LoadPlan(run.online(2.0), 4.0, salt="overload")
    outcomes = {SYSTEM: run_plan(plan, run.cluster, SYSTEM)}
    run.cluster.wait_idle()
    ran = run.cluster.run_ids()
    refused = [
        sample.backend_id
        for sample in outcomes[SYSTEM].samples
        if sample.failure == "refused" and sample.backend_id
    ]
    ran_after_all = sum(request_id in ran for request_id in refused)
    outcomes |= run.baselines(plan, "overload")
    good = outcomes[SYSTEM].goodput_per_s()
    refusal_ms = outcomes[SYSTEM].refusals().total.summary().p99_ms
    targets = [
        at_least("goodput over capacity", ratio(good, run.rate(1.0)), 0.95),
        at_most("p99 time to a refusal, ms", refusal_ms, 50.0),
        at_most("refused as not run, but run", ran_after_all, 0.0),
    ]
    notes = [f"{len(refused)} refusals were checked at the engines"]
    return run.result("overload", outcomes, targets, notes)


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment, the cluster that it needs, and its usual length."""

    run: Callable[[Run], ExperimentResult]
    shape: ClusterShape
    seconds: float = 10.0


_PLAIN = ClusterShape(engines=2, instances=3)
_BATCH = replace(_PLAIN, batch=True)
_TEN = ClusterShape(engines=3, instances=10)
_SIX = ClusterShape(engines=6, instances=4)
PROCESS_EXPERIMENTS: dict[str, Experiment] = {
    "batch-harm-third": Experiment(batch_harm_third, _BATCH),
    "batch-harm-three-quarters": Experiment(batch_harm_three_quarters, _BATCH),
    "burst": Experiment(burst, _BATCH, 8.0),
    "stragglers": Experiment(stragglers, _PLAIN),
    "slow-engines": Experiment(slow_engines, _SIX, 14.0),
    "flood": Experiment(flood, _PLAIN),
    "overload": Experiment(overload, _PLAIN),
    "instance-faults": Experiment(instance_faults, _TEN, 38.0),
}


def run_experiment(
    name: str, seed: int, seconds: float | None
) -> ExperimentResult:
    """Start a cluster, run one experiment on it, and end the cluster."""
    experiment = PROCESS_EXPERIMENTS[name]
    with Cluster(experiment.shape) as cluster:
        run = Run(cluster, seed, seconds or experiment.seconds)
        run.warm_up()
        return experiment.run(run)


__all__ = ["PROCESS_EXPERIMENTS", "Experiment", "run_experiment"]
