"""Instances that are killed, paused and stopped under load."""

from __future__ import annotations

from functools import partial
import signal
from typing import TYPE_CHECKING

from mulberrypass.bench.load.open_loop import LoadPlan
from mulberrypass.bench.load.sending import SYSTEM, run_plan
from mulberrypass.bench.results import at_most, ratio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.bench.load.open_loop import LoadOutcome, Sample
    from mulberrypass.bench.processes.cluster import Cluster
    from mulberrypass.bench.processes.run import Run
    from mulberrypass.bench.results import ExperimentResult, Target

LOAD = 0.25
WARM_S = 1.0
KILL_AT_S = 6.0
PAUSE_AT_S = 14.0
PAUSE_S = 5.0
STOP_AT_S = 28.0
RECOVER_S = 3.0
DEADLINE_S = 20.0
EXIT_TIMEOUT_S = 60.0
KILLED = 2
PAUSED = 3
STOPPED = 4
SIGNALS = (
    (KILL_AT_S, KILLED, signal.SIGKILL),
    (PAUSE_AT_S, PAUSED, signal.SIGSTOP),
    (PAUSE_AT_S + PAUSE_S, PAUSED, signal.SIGCONT),
    (STOP_AT_S, STOPPED, signal.SIGTERM),
)


def instance_faults(run: Run) -> ExperimentResult:
    """One instance killed, one paused, one stopped gracefully."""
    cluster = run.cluster
    plan = LoadPlan(run.online(LOAD), DEADLINE_S, WARM_S, salt="faults")
    events = tuple(_events(cluster))
    outcome = run_plan(plan, cluster, SYSTEM, events=events)
    status = cluster.wait(f"entry-{STOPPED}", EXIT_TIMEOUT_S)
    targets = [*_promises(cluster, outcome), *_recoveries(outcome)]
    notes = [
        f"exit status of the stopped instance: {status}",
        f"p99 first token before: {_calm_ms(outcome):.1f} ms",
        f"failed at the killed instance: {_failed(cluster, outcome, KILLED)}",
        f"failed at the paused instance: {_failed(cluster, outcome, PAUSED)}",
    ]
    return run.result("instance-faults", {SYSTEM: outcome}, targets, notes)


def _events(cluster: Cluster) -> Iterator[tuple[float, Callable[[], None]]]:
    for at, number, signum in SIGNALS:
        yield at, partial(cluster.send_signal, f"entry-{number}", signum)


def _promises(cluster: Cluster, outcome: LoadOutcome) -> Iterator[Target]:
    lost = {KILLED, PAUSED, STOPPED}
    alone = set(range(1, len(cluster.instances) + 1)) - lost
    elsewhere = sum(_failed(cluster, outcome, number) for number in alone)
    stopped = _failed(cluster, outcome, STOPPED)
    yield at_most("wrong answers", outcome.wrong_answers(), 0.0)
    yield at_most("failed at instances left alone", elsewhere, 0.0)
    yield at_most("cut off at the stopped instance", stopped, 0.0)


def _recoveries(outcome: LoadOutcome) -> Iterator[Target]:
    for name, end_s, until_s in (
        ("kill", KILL_AT_S, PAUSE_AT_S),
        ("pause", PAUSE_AT_S + PAUSE_S, STOP_AT_S),
        ("stop", STOP_AT_S, outcome.plan.seconds),
    ):
        after = outcome.first_token_p99_ms(end_s + RECOVER_S, until_s)
        yield at_most(
            f"p99 first token 3 s after the {name} over before",
            ratio(after, _calm_ms(outcome)),
            1.2,
        )


def _calm_ms(outcome: LoadOutcome) -> float:
    return outcome.first_token_p99_ms(outcome.plan.warm_up_s, KILL_AT_S)


def _failed(cluster: Cluster, outcome: LoadOutcome, number: int) -> int:
    """Count requests without a whole answer at one instance."""
    prefix = f"{cluster.instances[number - 1]}:"
    return sum(map(partial(_failed_at, prefix), outcome.samples))


def _failed_at(prefix: str, sample: Sample) -> bool:
    return bool(sample.failure) and sample.address.startswith(prefix)


__all__ = ["instance_faults"]
