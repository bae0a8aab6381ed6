"""The program mulberry-bench: experiments on the system and on a model."""

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
    """Measures how the cost of a part grows with its load."""

    jobs = staticmethod(jobs.measure)
    membership = staticmethod(membership.run)
    permits_holder = staticmethod(permits.run_holder)
    permits_owner = staticmethod(permits.run_owner)
    platform = staticmethod(platform.run)
    tokens = staticmethod(tokens.measure)


class Bench:
    """Runs experiments, and records what they show."""

    def __init__(self) -> None:
        self.slope = Slopes()

    def list(self) -> str:
        """Name all experiments."""
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
        """Run an experiment over real processes and stand-ins.

        :param seconds: seconds of load in each of its runs
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
        """Run jobs under kills, an outage of the store and lost replies.

        :param items: items of the job that may be run again
        """
        result = batch_faults(seed, items)
        path = result.save(results)
        return f"{result.table()}written to {path}"

    def capacity(self) -> str:
        """Work the figures of docs/CAPACITY.md out anew."""
        capacity.write()
        return f"written to {capacity.PAGE}"

    def report(
        self, results: str = RESULTS, page: str = "build/experiments.html"
    ) -> str:
        """Write a page of all recorded experiments, with plots.

        :param results: directory with the results
        :param page: file that is written
        """
        target = Path(page)
        target.parent.mkdir(parents=True, exist_ok=True)
        try:
            report.write(Path(results), target)
        except report.NoResultsError as exc:
            sys.exit(f"mulberry-bench: {exc}")
        return f"written to {target}"

    def frontier(self, results: str = RESULTS, plot: str = FRONTIER) -> str:
        """Plot online tail against batch done, from the recorded run.

        :param plot: file that is written
        """
        try:
            picture = report.frontier(Path(results))
        except report.NoResultsError as exc:
            sys.exit(f"mulberry-bench: {exc}")
        Path(plot).write_text(picture, encoding="utf-8")
        return f"written to {plot}"

    def model(
        self,
        name: str,
        seed: int = 1,
        seconds: float = 30.0,
        results: str = RESULTS,
    ) -> str:
        """Run an experiment on modelled engines under a virtual clock.

        :param seconds: virtual seconds of each run
        :param results: directory that the result is written to
        """
        if name not in MODEL_EXPERIMENTS:
            sys.exit(f'mulberry-bench: no experiment "{name}"')
        result = MODEL_EXPERIMENTS[name](seed, float(seconds))
        path = result.save(results)
        return f"{result.table()}written to {path}"


def main() -> None:
    """Run the command line; a stop signal ends what was started too."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_STOPPED))
    fire.Fire(Bench, name="mulberry-bench")


if __name__ == "__main__":
    main()

__all__ = ["Bench", "main"]
