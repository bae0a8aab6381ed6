"""One experiment's run over real processes."""

from __future__ import annotations

from dataclasses import dataclass, replace
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
from mulberrypass.bench.results import ExperimentResult, row
from mulberrypass.testing.engine_step import EngineShape

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from mulberrypass.bench.load.open_loop import LoadOutcome
    from mulberrypass.bench.load.workload import Arrival
    from mulberrypass.bench.processes.cluster import Cluster
    from mulberrypass.bench.results import Row, Target

WARM_UP_S = 5.0


@dataclass(frozen=True, slots=True)
class Run:
    """One experiment's cluster, and what it was asked to do."""

    cluster: Cluster
    seed: int
    seconds: float

    def rate(self, load: float) -> float:
        """Give the online rate that is a share of the capacity."""
        engines = self.cluster.shape.engines
        return engine_capacity(EngineShape(), ONLINE_SIZES) * engines * load

    def online(
        self,
        load: float,
        customers: Sequence[str] = (),
        seconds: float = 0.0,
        start: float = 0.0,
    ) -> tuple[Arrival, ...]:
        """Give online arrivals of some customers."""
        names = customers or self.cluster.shape.customers
        each = self.rate(load) / len(names)
        length = seconds or self.seconds
        return merged(
            *(
                poisson_arrivals(
                    each, length, ONLINE_SIZES, name, self.seed, start
                )
                for name in names
            )
        )

    def warm_up(self) -> None:
        """Send some load that is not measured."""
        arrivals = self.online(0.25, seconds=WARM_UP_S)
        run_plan(LoadPlan(arrivals, salt="warm"), self.cluster, SYSTEM)

    def baselines(
        self, plan: LoadPlan, label: str, batch: bool = False
    ) -> dict[str, LoadOutcome]:
        """Run a plan by each baseline."""
        outcomes = {}
        for name in BASELINES:
            salted = replace(plan, salt=f"{label}{name}".replace(" ", ""))
            outcomes[name] = run_plan(salted, self.cluster, name, batch)
            self.cluster.wait_idle()
        return outcomes

    def result(
        self,
        name: str,
        outcomes: dict[str, LoadOutcome],
        targets: Sequence[Target],
        notes: Sequence[str] = (),
    ) -> ExperimentResult:
        """Give the result, with what went wrong in its notes."""
        rows = [_row(label, outcome) for label, outcome in outcomes.items()]
        faults = [
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
            [*notes, *faults, load],
        )


def merged(*streams: Iterable[Arrival]) -> tuple[Arrival, ...]:
    """Merge streams of arrivals by time."""
    return tuple(heapq.merge(*streams, key=lambda arrival: arrival.at))


def _row(label: str, outcome: LoadOutcome) -> Row:
    return row(label, outcome.recorder(), outcome.batch_tokens_per_s())


__all__ = ["Run", "merged"]
