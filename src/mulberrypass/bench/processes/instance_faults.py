"""Experiment that kills, pauses and stops instances under load."""

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
    from mulberrypass.bench.processes.run import ExperimentRun
    from mulberrypass.bench.results import ExperimentResult, Target

LOAD_SHARE = 0.25
WARM_UP_S = 1.0
KILL_AT_S = 6.0
PAUSE_AT_S = 14.0
PAUSE_S = 5.0
STOP_AT_S = 28.0
RECOVERY_S = 3.0
DEADLINE_S = 20.0
EXIT_TIMEOUT_S = 60.0
KILLED_INSTANCE = 2
PAUSED_INSTANCE = 3
STOPPED_INSTANCE = 4
SIGNAL_SCHEDULE = (
    (KILL_AT_S, KILLED_INSTANCE, signal.SIGKILL),
    (PAUSE_AT_S, PAUSED_INSTANCE, signal.SIGSTOP),
    (PAUSE_AT_S + PAUSE_S, PAUSED_INSTANCE, signal.SIGCONT),
    (STOP_AT_S, STOPPED_INSTANCE, signal.SIGTERM),
)


def instance_faults(run: ExperimentRun) -> ExperimentResult:
    """Kill one instance, pause one and stop one gracefully."""
    cluster = run.cluster
    plan = LoadPlan(
        run.online_arrivals(LOAD_SHARE), DEADLINE_S, WARM_UP_S, salt="faults"
    )
    events = tuple(_events(cluster))
    outcome = run_plan(plan, cluster, SYSTEM, events=events)
    status = cluster.wait(f"entry-{STOPPED_INSTANCE}", EXIT_TIMEOUT_S)
    targets = [
        *_failure_targets(cluster, outcome),
        *_recovery_targets(outcome),
    ]
    notes = [
        f"exit status of the stopped instance: {status}",
        f"p99 first token before: {_p99_before_faults_ms(outcome):.1f} ms",
        "failed at the killed instance: "
        f"{_failed_count(cluster, outcome, KILLED_INSTANCE)}",
        "failed at the paused instance: "
        f"{_failed_count(cluster, outcome, PAUSED_INSTANCE)}",
    ]
    return run.make_result(
        "instance-faults", {SYSTEM: outcome}, targets, notes
    )


def _events(cluster: Cluster) -> Iterator[tuple[float, Callable[[], None]]]:
    for at, number, signum in SIGNAL_SCHEDULE:
        yield at, partial(cluster.send_signal, f"entry-{number}", signum)


def _failure_targets(
    cluster: Cluster, outcome: LoadOutcome
) -> Iterator[Target]:
    disturbed = {KILLED_INSTANCE, PAUSED_INSTANCE, STOPPED_INSTANCE}
    undisturbed = set(range(1, len(cluster.instances) + 1)) - disturbed
    elsewhere = sum(
        _failed_count(cluster, outcome, number) for number in undisturbed
    )
    stopped = _failed_count(cluster, outcome, STOPPED_INSTANCE)
    yield at_most("wrong answers", outcome.wrong_answers(), 0.0)
    yield at_most("failed at instances left alone", elsewhere, 0.0)
    yield at_most("cut off at the stopped instance", stopped, 0.0)


def _recovery_targets(outcome: LoadOutcome) -> Iterator[Target]:
    for name, end_s, until_s in (
        ("kill", KILL_AT_S, PAUSE_AT_S),
        ("pause", PAUSE_AT_S + PAUSE_S, STOP_AT_S),
        ("stop", STOP_AT_S, outcome.plan.seconds),
    ):
        after = outcome.first_token_p99_ms(end_s + RECOVERY_S, until_s)
        yield at_most(
            f"p99 first token 3 s after the {name} over before",
            ratio(after, _p99_before_faults_ms(outcome)),
            1.2,
        )


def _p99_before_faults_ms(outcome: LoadOutcome) -> float:
    return outcome.first_token_p99_ms(outcome.plan.warm_up_s, KILL_AT_S)


def _failed_count(cluster: Cluster, outcome: LoadOutcome, number: int) -> int:
    """Count requests without a complete answer at one instance."""
    prefix = f"{cluster.instances[number - 1]}:"
    return sum(map(partial(_failed_at, prefix), outcome.samples))


def _failed_at(prefix: str, sample: Sample) -> bool:
    return bool(sample.failure) and sample.address.startswith(prefix)


__all__ = ["instance_faults"]
