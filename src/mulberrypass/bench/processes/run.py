"""Helpers of one experiment on a cluster of processes."""

from __future__ import annotations

from dataclasses import replace
import heapq
import os
from typing import TYPE_CHECKING

from mulberrypass.bench.load.direct_sender import BASELINES
from mulberrypass.bench.load.open_loop import LoadPlan
from mulberrypass.bench.load.sending import SYSTEM, run_plan
from mulberrypass.bench.load.workload import (
    ONLINE_SIZES,
    engine_capacity,
    poisson_arrivals,
)
from mulberrypass.bench.results import ExperimentResult, make_row
from mulberrypass.model.value_class import value_class
from mulberrypass.testing.engine_step import EngineShape

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from mulberrypass.bench.load.open_loop import LoadOutcome
    from mulberrypass.bench.load.workload import Arrival
    from mulberrypass.bench.processes.cluster import Cluster
    from mulberrypass.bench.results import ResultRow, Target

WARM_UP_S = 5.0


@value_class
class ExperimentRun:
    """Cluster, seed and length of one experiment.

    :param seconds: seconds of load in each of its runs
    """

    cluster: Cluster
    seed: int
    seconds: float

    def online_rate_per_s(self, load: float) -> float:
        """Return the requests a second at a share of the capacity."""
        engines = self.cluster.shape.engines
        return engine_capacity(EngineShape(), ONLINE_SIZES) * engines * load

    def online_arrivals(
        self,
        load: float,
        customers: Sequence[str] = (),
        seconds: float = 0.0,
        start: float = 0.0,
    ) -> tuple[Arrival, ...]:
        """Return online arrivals at a share of the capacity.

        :param customers: customers that send; empty for all
        :param seconds: length; 0 for that of the experiment
        """
        names = customers or self.cluster.shape.customers
        customer_rate_per_s = self.online_rate_per_s(load) / len(names)
        length = seconds or self.seconds
        return merge_arrivals(
            *(
                poisson_arrivals(
                    customer_rate_per_s,
                    length,
                    ONLINE_SIZES,
                    name,
                    self.seed,
                    start,
                )
                for name in names
            )
        )

    def warm_up(self) -> None:
        """Send load that is not measured."""
        arrivals = self.online_arrivals(0.25, seconds=WARM_UP_S)
        run_plan(LoadPlan(arrivals, salt="warm"), self.cluster, SYSTEM)

    def run_baselines(
        self, plan: LoadPlan, label: str, batch: bool = False
    ) -> dict[str, LoadOutcome]:
        """Run a plan with each baseline."""
        outcomes = {}
        for name in BASELINES:
            salted = replace(plan, salt=f"{label}{name}".replace(" ", ""))
            outcomes[name] = run_plan(salted, self.cluster, name, batch)
            self.cluster.wait_idle()
        return outcomes

    def make_result(
        self,
        name: str,
        outcomes: dict[str, LoadOutcome],
        targets: Sequence[Target],
        notes: Sequence[str] = (),
    ) -> ExperimentResult:
        """Return the result, with failures in its notes."""
        rows = [_row(label, outcome) for label, outcome in outcomes.items()]
        failures = [
            f"{label}: {outcome.wrong_answers()} wrong, "
            f"{outcome.failure_counts()}"
            for label, outcome in outcomes.items()
            if outcome.wrong_answers() or outcome.failure_counts()
        ]
        load = f"load average at the end {os.getloadavg()[0]:.1f}"
        return ExperimentResult(
            name,
            "processes",
            self.seed,
            self.seconds,
            rows,
            targets,
            {
                "engines": self.cluster.shape.engines,
                "instances": self.cluster.shape.instances,
                "processors": os.cpu_count(),
            },
            [*notes, *failures, load],
        )


def merge_arrivals(*streams: Iterable[Arrival]) -> tuple[Arrival, ...]:
    """Merge streams of arrivals by time."""
    return tuple(heapq.merge(*streams, key=lambda arrival: arrival.at))


def _row(label: str, outcome: LoadOutcome) -> ResultRow:
    return make_row(label, outcome.recorder(), outcome.batch_tokens_per_s())


__all__ = ["ExperimentRun", "merge_arrivals"]
