"""Experiments on modelled engines under a virtual clock."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, field, replace
from functools import partial
import heapq
from typing import TYPE_CHECKING

from mulberrypass.bench.load.workload import (
    ONLINE_SIZES,
    SizeRange,
    engine_capacity,
    poisson_arrivals,
)
from mulberrypass.bench.model.fleet import ModelFleet, Scenario, Slowdown
from mulberrypass.bench.model.policies import (
    CellPolicy,
    LeastOutstanding,
    NoPriority,
    RoundRobin,
)
from mulberrypass.bench.results import (
    ExperimentResult,
    at_least,
    at_most,
    make_row,
    ratio,
)
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.admission.settings import CellSettings, PacingSettings
from mulberrypass.testing.engine_step import EngineShape

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from mulberrypass.bench.load.workload import Arrival
    from mulberrypass.bench.model.fleet import SimulationResult
    from mulberrypass.bench.model.policies import EngineFleet, Policy
    from mulberrypass.bench.results import ResultRow, Target

WORKER_PROCESSES = 4
ENGINES = 5
SLOW_EXPERIMENT_ENGINES = 6
LOAD_SHARES = (1 / 3, 3 / 4)
CUSTOMERS = ("firm-a", "firm-b", "firm-c")
FIRST_TOKEN_TARGET_MS = 750.0
GAP_TARGET_MS = 47.0
RESERVED_SLOTS = (4, 8, 12, 16, 20, 24, 32)
UNPACED = PacingSettings(
    start_tokens_per_s=40_000.0, min_tokens_per_s=40_000.0
)
BASELINES: dict[str, Callable[[EngineFleet], Policy]] = {
    "round robin": RoundRobin,
    "least outstanding": LeastOutstanding,
    "no priority": NoPriority,
}
SYSTEM = "mulberrypass"


@value_class
class Trial:
    """Simulation of one policy in one scenario."""

    label: str
    scenario: Scenario
    policy: str = SYSTEM
    settings: CellSettings = field(default_factory=CellSettings)

    def run(self) -> tuple[ResultRow, SimulationResult]:
        """Run the simulation in this process."""
        policy = BASELINES.get(
            self.policy, partial(CellPolicy, settings=self.settings)
        )
        measured = ModelFleet(self.scenario, policy).run()
        trial_row = make_row(
            self.label, measured.online, measured.batch_tokens_per_s
        )
        return trial_row, measured


def _run_row(trial: Trial) -> ResultRow:
    return trial.run()[0]


def _run_all(trials: Sequence[Trial]) -> dict[str, ResultRow]:
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        return {r.label: r for r in pool.map(_run_row, trials)}


def _online_arrivals(
    load: float,
    seconds: float,
    seed: int,
    engines: int = ENGINES,
    customers: Sequence[str] = CUSTOMERS,
    start: float = 0.0,
) -> tuple[Arrival, ...]:
    """Return online arrivals at a share of the engines' capacity."""
    rate = engine_capacity(EngineShape(), ONLINE_SIZES) * engines * load
    streams = (
        poisson_arrivals(
            rate / len(customers), seconds, ONLINE_SIZES, name, seed, start
        )
        for name in customers
    )
    return _merge(*streams)


def _merge(*streams: Iterable[Arrival]) -> tuple[Arrival, ...]:
    return tuple(heapq.merge(*streams, key=lambda arrival: arrival.at))


def batch_harm(seed: int, seconds: float) -> ExperimentResult:
    """Effect of a saturating batch load on the online tail latency."""
    trials = []
    for load in LOAD_SHARES:
        base = Scenario(
            seconds, _online_arrivals(load, seconds, seed), seed=seed
        )
        with_batch = replace(base, batch=True)
        trials.append(Trial(_label(load, "no batch"), base))
        for name in (*BASELINES, SYSTEM):
            trials.append(Trial(_label(load, name), with_batch, name))
    rows = _run_all(trials)
    targets = [
        t for load in LOAD_SHARES for t in _batch_harm_targets(load, rows)
    ]
    parameters = asdict(CellSettings())
    return ExperimentResult(
        "batch-harm",
        "model",
        seed,
        seconds,
        [*rows.values()],
        targets,
        parameters,
    )


def _label(load: float, label: str) -> str:
    return f"{load:.2f} {label}"


def _batch_harm_targets(
    load: float, rows: dict[str, ResultRow]
) -> list[Target]:
    ours = rows[_label(load, SYSTEM)]
    no_batch = rows[_label(load, "no batch")]
    unprotected = rows[_label(load, "least outstanding")]
    no_priority = rows[_label(load, "no priority")]
    tail_ms = ours.first.p99_ms
    batch = ratio(ours.batch_tokens_per_s, unprotected.batch_tokens_per_s)
    return [
        at_most(
            _label(load, "p95 first token, ms"),
            ours.first.p95_ms,
            FIRST_TOKEN_TARGET_MS,
        ),
        at_most(_label(load, "p95 gap, ms"), ours.gap.p95_ms, GAP_TARGET_MS),
        at_most(
            _label(load, "p99 first token over no batch"),
            ratio(tail_ms, no_batch.first.p99_ms),
            1.5,
        ),
        at_least(
            _label(load, "p99 of no priority over ours"),
            ratio(no_priority.first.p99_ms, tail_ms),
            8.0,
        ),
        at_least(_label(load, "batch over least outstanding"), batch, 0.9),
    ]


def frontier(seed: int, seconds: float) -> ExperimentResult:
    """Online tail latency against batch throughput, by cell settings."""
    trials = []
    for load in LOAD_SHARES:
        base = Scenario(
            seconds, _online_arrivals(load, seconds, seed), seed=seed
        )
        with_batch = replace(base, batch=True)
        trials.append(Trial(_label(load, "no batch"), base))
        for reserve in RESERVED_SLOTS:
            unpaced = CellSettings(
                reserve_slots=reserve, reserve_share=0.9, pacing=UNPACED
            )
            paced = replace(unpaced, pacing=PacingSettings())
            for label, settings in (("unpaced", unpaced), ("paced", paced)):
                label = _label(load, f"reserve {reserve} {label}")
                trials.append(Trial(label, with_batch, SYSTEM, settings))
    rows = [*_run_all(trials).values()]
    return ExperimentResult("frontier", "model", seed, seconds, rows, ())


def burst(seed: int, seconds: float) -> ExperimentResult:
    """Step of the online load from 0 to full, with batch in every slot."""
    start = seconds / 2
    online = _online_arrivals(1.0, seconds / 2, seed, start=start)
    base = Scenario(seconds, online, seed=seed, max_measured=100)
    with_batch = replace(base, batch=True)
    trials = [Trial("no batch", base)]
    trials += [Trial(name, with_batch, name) for name in (*BASELINES, SYSTEM)]
    rows = _run_all(trials)
    tail_ratio = ratio(
        rows[SYSTEM].first.p99_ms, rows["no batch"].first.p99_ms
    )
    targets = [at_most("p99 of the first 100 over no batch", tail_ratio, 1.25)]
    return ExperimentResult(
        "burst", "model", seed, seconds, [*rows.values()], targets
    )


def stragglers(seed: int, seconds: float) -> ExperimentResult:
    """Short requests among requests that are 50 times longer."""
    short = _online_arrivals(1 / 3, seconds, seed)
    mean = ONLINE_SIZES.mean
    longer = 50 * mean.output_tokens
    sizes = SizeRange(mean.prompt_tokens, mean.prompt_tokens, longer, longer)
    long = poisson_arrivals(1.0, seconds, sizes, "straggler", seed)
    base = Scenario(seconds, short, seed=seed, customers=CUSTOMERS)
    mixed = replace(base, online=_merge(short, long), deadline_s=300.0)
    trials = [Trial("no stragglers", base)]
    trials += [Trial(name, mixed, name) for name in (*BASELINES, SYSTEM)]
    rows = _run_all(trials)
    tail_ratio = ratio(
        rows[SYSTEM].first.p99_ms, rows["no stragglers"].first.p99_ms
    )
    targets = [at_most("p99 first token over no stragglers", tail_ratio, 1.2)]
    return ExperimentResult(
        "stragglers", "model", seed, seconds, [*rows.values()], targets
    )


def slow_engines(seed: int, seconds: float) -> ExperimentResult:
    """Unannounced slowdown of two of six engines by a factor of ten."""
    online = _online_arrivals(0.4, seconds, seed, SLOW_EXPERIMENT_ENGINES)
    base = Scenario(
        seconds, online, engines=SLOW_EXPERIMENT_ENGINES, seed=seed
    )
    slowdown = Slowdown((1, 4), 10.0, seconds / 4, seconds / 4 + 10.0)
    slowed = replace(base, slowdown=slowdown)
    trials = [Trial("healthy", base)]
    trials += [Trial(name, slowed, name) for name in (*BASELINES, SYSTEM)]
    rows = _run_all(trials)
    ours = rows[SYSTEM].first.p99_ms
    targets = [
        at_most(
            "p99 first token over healthy",
            ratio(ours, rows["healthy"].first.p99_ms),
            1.5,
        )
    ]
    for name in BASELINES:
        improvement = ratio(rows[name].first.p99_ms, ours)
        targets.append(at_least(f"p99 of {name} over ours", improvement, 3.0))
    return ExperimentResult(
        "slow-engines", "model", seed, seconds, [*rows.values()], targets
    )


def flood(seed: int, seconds: float) -> ExperimentResult:
    """One customer that sends 20 times its share."""
    others = _online_arrivals(0.3, seconds, seed)
    share = _online_arrivals(0.1, seconds, seed, customers=("flood",))
    flooding = _online_arrivals(2.0, seconds, seed, customers=("flood",))
    base = Scenario(
        seconds,
        _merge(others, share),
        seed=seed,
        customers=CUSTOMERS,
        deadline_s=5.0,
    )
    flooded = replace(base, online=_merge(others, flooding))
    trials = [Trial("its share", base)]
    trials += [Trial(name, flooded, name) for name in (*BASELINES, SYSTEM)]
    rows = _run_all(trials)
    tail_ratio = ratio(
        rows[SYSTEM].first.p99_ms, rows["its share"].first.p99_ms
    )
    targets = [at_most("the others' p99 over its share", tail_ratio, 1.15)]
    return ExperimentResult(
        "flood", "model", seed, seconds, [*rows.values()], targets
    )


def overload(seed: int, seconds: float) -> ExperimentResult:
    """Online load at twice the capacity, with a deadline of 4 s."""
    deadline_s = 4.0
    online = _online_arrivals(2.0, seconds, seed)
    scenario = Scenario(seconds, online, seed=seed, deadline_s=deadline_s)
    trials = [Trial(name, scenario, name) for name in (*BASELINES, SYSTEM)]
    rows = _run_all(trials)
    _, measured = trials[-1].run()
    measured_s = seconds - scenario.warm_up_s
    max_done = (
        engine_capacity(EngineShape(), ONLINE_SIZES) * ENGINES * measured_s
    )
    done_in_time = rows[SYSTEM].done - rows[SYSTEM].late
    refusal_ms = measured.refusal.total.summary().p99_ms
    targets = [
        at_least("goodput over capacity", ratio(done_in_time, max_done), 0.95),
        at_most("p99 time to a refusal, ms", refusal_ms, 50.0),
    ]
    return ExperimentResult(
        "overload", "model", seed, seconds, [*rows.values()], targets
    )


MODEL_EXPERIMENTS: dict[str, Callable[[int, float], ExperimentResult]] = {
    "batch-harm": batch_harm,
    "frontier": frontier,
    "burst": burst,
    "stragglers": stragglers,
    "slow-engines": slow_engines,
    "flood": flood,
    "overload": overload,
}


__all__ = ["MODEL_EXPERIMENTS"]
