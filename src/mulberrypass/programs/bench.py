"""``mulberry-bench``: experiments on the programs and on a model."""

from __future__ import annotations

from pathlib import Path
import signal
import sys

import fire

from mulberrypass.bench import capacity, report
from mulberrypass.bench.model.experiments import MODEL_EXPERIMENTS
from mulberrypass.bench.processes.batch_faults import batch_faults
from mulberrypass.bench.processes.experiments import (
    PROCESS_EXPERIMENTS,
    run_experiment,
)
from mulberrypass.bench.slopes import (
    jobs,
    membership,
    permits,
    platform,
    tokens,
)

RESULTS = "bench/results"
FRONTIER = "docs/design/frontier.svg"
EXIT_STOPPED = 143


class Slopes:
    """Measure how the cost of a component grows with its load."""

    jobs = staticmethod(jobs.measure)
    membership = staticmethod(membership.run)
    permits_holder = staticmethod(permits.run_holder)
    permits_owner = staticmethod(permits.run_owner)
    platform = staticmethod(platform.run)
    tokens = staticmethod(tokens.measure)


class Bench:
    """Run experiments and record their results."""

    def __init__(self) -> None:
        self.slope = Slopes()

    def list(self) -> str:
        """List all experiments."""
        model = ", ".join(MODEL_EXPERIMENTS)
        run = ", ".join(PROCESS_EXPERIMENTS)
        return f"run: {run}\nmodel: {model}\nfaults: jobs under faults"

    def run(
        self,
        name: str,
        seed: int = 1,
        seconds: float | None = None,
        results: str = RESULTS,
    ) -> str:
        """Run an experiment with real processes and simulated backends.

        :param seconds: duration of the load in each run
        :param results: directory that the result is written to
        """
        if name not in PROCESS_EXPERIMENTS:
            sys.exit(f'mulberry-bench: no experiment "{name}"')
        result = run_experiment(name, seed, seconds)
        path = result.save(results)
        return f"{result.table()}written to {path}"

    def faults(
        self, seed: int = 1, items: int = 10_000, results: str = RESULTS
    ) -> str:
        """Run jobs during kills, a store outage and lost replies.

        :param items: number of items in the idempotent job
        """
        result = batch_faults(seed, items)
        path = result.save(results)
        return f"{result.table()}written to {path}"

    def capacity(self) -> str:
        """Recompute the figures in docs/CAPACITY.md."""
        capacity.write()
        return f"written to {capacity.PAGE}"

    def report(
        self, results: str = RESULTS, page: str = "build/experiments.html"
    ) -> str:
        """Write an HTML page with plots of all recorded experiments.

        :param results: directory that the results are read from
        :param page: output file
        """
        target = Path(page)
        target.parent.mkdir(parents=True, exist_ok=True)
        try:
            report.write(Path(results), target)
        except report.NoResultsError as exc:
            sys.exit(f"mulberry-bench: {exc}")
        return f"written to {target}"

    def frontier(self, results: str = RESULTS, plot: str = FRONTIER) -> str:
        """Plot online tail latency against batch throughput.


        :param results: directory that the recorded run is read from
        :param plot: output file
        """
        try:
            svg = report.frontier(Path(results))
        except report.NoResultsError as exc:
            sys.exit(f"mulberry-bench: {exc}")
        Path(plot).write_text(svg, encoding="utf-8")
        return f"written to {plot}"

    def model(
        self,
        name: str,
        seed: int = 1,
        seconds: float = 30.0,
        results: str = RESULTS,
    ) -> str:
        """Run an experiment on simulated engines with a virtual clock.

        :param seconds: duration of each run in virtual time
        :param results: directory that the result is written to
        """
        if name not in MODEL_EXPERIMENTS:
            sys.exit(f'mulberry-bench: no experiment "{name}"')
        result = MODEL_EXPERIMENTS[name](seed, float(seconds))
        path = result.save(results)
        return f"{result.table()}written to {path}"


def main() -> None:
    """Run the command line; SIGTERM also ends the started processes."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_STOPPED))
    fire.Fire(Bench, name="mulberry-bench")


if __name__ == "__main__":
    main()

__all__ = ["Bench", "main"]
