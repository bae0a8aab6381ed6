"""Experiments on processes of the system with stand-in engines."""

from __future__ import annotations

from dataclasses import replace
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
from mulberrypass.bench.processes.run import ExperimentRun, merge_arrivals
from mulberrypass.bench.results import (
    ExperimentResult,
    at_least,
    at_most,
    ratio,
)
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.bench.load.open_loop import LoadOutcome

FIRST_TOKEN_TARGET_MS = 750.0
GAP_TARGET_MS = 47.0
SLOWDOWN_S = 10.0
SHORT_SIZES = SizeRange(60, 240, 5, 15)
SHORT_RATE_PER_S = 10.0
LONG_RATE_PER_S = 2.0


def _first_token_p99_ms(outcome: LoadOutcome) -> float:
    return outcome.recorder().first.summary().p99_ms


def _no_batch_p99_ms(outcomes: dict[str, LoadOutcome]) -> float:
    """Return the lower p99 of the two runs without batch.

    Other work on the machine may disturb one of them.
    """
    labels = ("no batch", "no batch, again")
    return min(_first_token_p99_ms(outcomes[label]) for label in labels)


def _batch_harm(
    name: str, load: float, run: ExperimentRun
) -> ExperimentResult:
    plan = LoadPlan(run.online_arrivals(load), salt="idle")
    outcomes = {"no batch": run_plan(plan, run.cluster, SYSTEM)}
    busy = replace(plan, salt="busy")
    with BatchLoad(run.cluster, run.seed, run.seconds):
        outcomes[SYSTEM] = run_plan(busy, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    again = replace(plan, salt="again")
    outcomes["no batch, again"] = run_plan(again, run.cluster, SYSTEM)
    outcomes |= run.run_baselines(plan, "busy", batch=True)
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
            ratio(tail, _no_batch_p99_ms(outcomes)),
            1.5,
        ),
        at_least(
            "p99 of no priority over ours",
            ratio(_first_token_p99_ms(outcomes["no priority"]), tail),
            8.0,
        ),
        at_least(
            "batch over least outstanding", ratio(batch, unprotected), 0.9
        ),
    ]
    return run.make_result(name, outcomes, targets)


def batch_harm_third(run: ExperimentRun) -> ExperimentResult:
    """Saturating batch load beside online load at a third of capacity."""
    return _batch_harm("batch-harm-third", 1 / 3, run)


def batch_harm_three_quarters(run: ExperimentRun) -> ExperimentResult:
    """Saturating batch load beside online load at 3/4 of capacity."""
    return _batch_harm("batch-harm-three-quarters", 3 / 4, run)


def burst(run: ExperimentRun) -> ExperimentResult:
    """Step of the online load from 0 to full, with batch in every slot."""
    start = run.seconds / 2
    arrivals = run.online_arrivals(1.0, seconds=run.seconds / 2, start=start)
    plan = LoadPlan(arrivals, max_measured=100, salt="idle")
    outcomes = {"no batch": run_plan(plan, run.cluster, SYSTEM)}
    run.cluster.wait_idle()
    with BatchLoad(run.cluster, run.seed, run.seconds):
        busy = replace(plan, salt="busy")
        outcomes[SYSTEM] = run_plan(busy, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    again = replace(plan, salt="again")
    outcomes["no batch, again"] = run_plan(again, run.cluster, SYSTEM)
    outcomes |= run.run_baselines(plan, "busy", batch=True)
    tail = ratio(
        _first_token_p99_ms(outcomes[SYSTEM]), _no_batch_p99_ms(outcomes)
    )
    targets = [at_most("p99 of the first 100 over no batch", tail, 1.25)]
    return run.make_result("burst", outcomes, targets)


def stragglers(run: ExperimentRun) -> ExperimentResult:
    """Short requests among requests that are 50 times longer."""
    *names, long_customer = run.cluster.shape.customers
    short = merge_arrivals(
        *(
            poisson_arrivals(
                SHORT_RATE_PER_S, run.seconds, SHORT_SIZES, name, run.seed
            )
            for name in names
        )
    )
    longer = 50 * SHORT_SIZES.mean.output_tokens
    sizes = replace(SHORT_SIZES, output_low=longer, output_high=longer)
    long = poisson_arrivals(
        LONG_RATE_PER_S, run.seconds, sizes, long_customer, run.seed
    )
    sent = merge_arrivals(short, long)
    max_tokens = SHORT_SIZES.output_high
    plan = LoadPlan(short, salt="none")
    mixed = LoadPlan(sent, 120.0, max_output_tokens=max_tokens, salt="mixed")
    outcomes = {"no stragglers": run_plan(plan, run.cluster, SYSTEM)}
    outcomes[SYSTEM] = run_plan(mixed, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    outcomes |= run.run_baselines(mixed, "mixed")
    tail = ratio(
        _first_token_p99_ms(outcomes[SYSTEM]),
        _first_token_p99_ms(outcomes["no stragglers"]),
    )
    targets = [at_most("p99 first token over no stragglers", tail, 1.2)]
    return run.make_result("stragglers", outcomes, targets)


def slow_engines(run: ExperimentRun) -> ExperimentResult:
    """Unannounced tenfold slowdown of two of six engines for 10 s."""
    start = 3.5

    def slow_down() -> None:
        for engine in (1, 4):
            run.cluster.set_engine_faults(engine, slow=10.0)

    def recover() -> None:
        for engine in (1, 4):
            run.cluster.set_engine_faults(engine, slow=1.0)

    events = ((start, slow_down), (start + SLOWDOWN_S, recover))
    plan = LoadPlan(run.online_arrivals(0.4), salt="healthy")
    outcomes = {"healthy": run_plan(plan, run.cluster, SYSTEM)}
    for name in (SYSTEM, *BASELINES):
        slowed = replace(plan, salt=f"slow{name}".replace(" ", ""))
        outcomes[name] = run_plan(slowed, run.cluster, name, events=events)
        run.cluster.wait_idle()
    ours = _first_token_p99_ms(outcomes[SYSTEM])
    healthy = _first_token_p99_ms(outcomes["healthy"])
    targets = [
        at_most("p99 first token over healthy", ratio(ours, healthy), 1.5)
    ]
    targets += [
        at_least(
            f"p99 of {name} over ours",
            ratio(_first_token_p99_ms(outcomes[name]), ours),
            3.0,
        )
        for name in BASELINES
    ]
    return run.make_result("slow-engines", outcomes, targets)


def flood(run: ExperimentRun) -> ExperimentResult:
    """One customer that sends 20 times its share."""
    *others, flooder = run.cluster.shape.customers
    others_online = run.online_arrivals(0.2, others)
    share = run.online_arrivals(0.1, (flooder,))
    flooding = run.online_arrivals(2.0, (flooder,))
    plan = LoadPlan(
        merge_arrivals(others_online, share),
        5.0,
        customers=tuple(others),
        salt="share",
    )
    flooded = replace(
        plan, arrivals=merge_arrivals(others_online, flooding), salt="flood"
    )
    outcomes = {"its share": run_plan(plan, run.cluster, SYSTEM)}
    outcomes[SYSTEM] = run_plan(flooded, run.cluster, SYSTEM)
    run.cluster.wait_idle()
    outcomes |= run.run_baselines(flooded, "flood")
    tail = ratio(
        _first_token_p99_ms(outcomes[SYSTEM]),
        _first_token_p99_ms(outcomes["its share"]),
    )
    targets = [at_most("the others' p99 over its share", tail, 1.15)]
    return run.make_result("flood", outcomes, targets)


def overload(run: ExperimentRun) -> ExperimentResult:
    """Online load at twice the capacity, with a deadline of 4 s."""
    plan = LoadPlan(run.online_arrivals(2.0), 4.0, salt="overload")
    outcomes = {SYSTEM: run_plan(plan, run.cluster, SYSTEM)}
    run.cluster.wait_idle()
    started_ids = run.cluster.run_ids()
    refused = [
        sample.backend_id
        for sample in outcomes[SYSTEM].samples
        if sample.failure == "refused" and sample.backend_id
    ]
    ran_despite_refusal = sum(
        request_id in started_ids for request_id in refused
    )
    outcomes |= run.run_baselines(plan, "overload")
    good = outcomes[SYSTEM].goodput_per_s()
    refusal_ms = outcomes[SYSTEM].refusals().total.summary().p99_ms
    targets = [
        at_least(
            "goodput over capacity",
            ratio(good, run.online_rate_per_s(1.0)),
            0.95,
        ),
        at_most("p99 time to a refusal, ms", refusal_ms, 50.0),
        at_most("refused as not run, but run", ran_despite_refusal, 0.0),
    ]
    notes = [f"{len(refused)} refusals were checked at the engines"]
    return run.make_result("overload", outcomes, targets, notes)


@value_class
class Experiment:
    """One experiment, its cluster and the default length of its runs."""

    run: Callable[[ExperimentRun], ExperimentResult]
    shape: ClusterShape
    seconds: float = 10.0


_TWO_ENGINES = ClusterShape(engines=2, instances=3)
_TWO_ENGINES_BATCH = replace(_TWO_ENGINES, batch=True)
_TEN_INSTANCES = ClusterShape(engines=3, instances=10)
_SIX_ENGINES = ClusterShape(engines=6, instances=4)
PROCESS_EXPERIMENTS: dict[str, Experiment] = {
    "batch-harm-third": Experiment(batch_harm_third, _TWO_ENGINES_BATCH),
    "batch-harm-three-quarters": Experiment(
        batch_harm_three_quarters, _TWO_ENGINES_BATCH
    ),
    "burst": Experiment(burst, _TWO_ENGINES_BATCH, 8.0),
    "stragglers": Experiment(stragglers, _TWO_ENGINES),
    "slow-engines": Experiment(slow_engines, _SIX_ENGINES, 14.0),
    "flood": Experiment(flood, _TWO_ENGINES),
    "overload": Experiment(overload, _TWO_ENGINES),
    "instance-faults": Experiment(instance_faults, _TEN_INSTANCES, 38.0),
}


def run_experiment(
    name: str, seed: int, seconds: float | None
) -> ExperimentResult:
    """Run one experiment on a cluster of its own.

    :param seconds: seconds of load in each run; None for the default
    """
    experiment = PROCESS_EXPERIMENTS[name]
    with Cluster(experiment.shape) as cluster:
        run = ExperimentRun(cluster, seed, seconds or experiment.seconds)
        run.warm_up()
        return experiment.run(run)


__all__ = ["PROCESS_EXPERIMENTS", "Experiment", "run_experiment"]
