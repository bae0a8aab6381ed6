"""The program mulberry-bench: experiments on the system and on a model."""

from __future__ import annotations

import sys

import fire

from mulberrypass.bench.model_experiments import MODEL_EXPERIMENTS
from mulberrypass.bench.process_experiments import (
    PROCESS_EXPERIMENTS,
    run_experiment,
)

RESULTS = "bench/results"


class Bench:
    """Runs experiments, and records what they show."""

    def list(self) -> str:
        """Name all experiments."""
        model = ", ".join(MODEL_EXPERIMENTS)
        run = ", ".join(PROCESS_EXPERIMENTS)
        return f"run: {run}\nmodel: {model}"

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
    """Run the command line."""
    fire.Fire(Bench, name="mulberry-bench")


if __name__ == "__main__":
    main()

__all__ = ["Bench", "main"]
