"""``mulberry-soak``: runs the real programs under random faults."""

from __future__ import annotations

import sys

import fire

from mulberrypass.soak.run import Soak, SoakPlan, SoakReport

EXIT_BROKEN = 1


def run(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    instances: int = 4,
    engines: int = 3,
    verbose: bool = False,
) -> None:
    """Run soak tests; exit with status 1 if a guarantee was broken.

    :param seed: seed of the first run
    :param seeds: number of runs, with consecutive seeds
    :param seconds: seconds of each run in which faults are injected
    :param verbose: list the faults of each run
    """
    broken = 0
    for run_seed in range(seed, seed + seeds):
        report = Soak(SoakPlan(run_seed, seconds, instances, engines)).run()
        _show(report, verbose)
        broken += bool(report.broken)
    sys.stdout.write(f"{seeds - broken} passed, {broken} failed\n")
    sys.exit(EXIT_BROKEN if broken else 0)


def _show(report: SoakReport, verbose: bool) -> None:
    lines = [
        f"seed {report.plan.seed}: {len(report.faults)} faults, "
        f"{report.served} of {report.requests} requests served, "
        f"{report.accepted} of {report.jobs} jobs accepted, "
        f"{len(report.broken)} broken; logs in {report.logs}"
    ]
    if verbose:
        lines += [
            f"  {fault.at:6.2f} s to {fault.end:6.2f} s  {fault.kind} "
            f"{fault.target}"
            for fault in report.faults
        ]
    lines += [
        f"  BROKEN {broken.guarantee}: {broken.subject}: {broken.detail}"
        for broken in report.broken
    ]
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name="mulberry-soak")


if __name__ == "__main__":
    main()

__all__ = ["main", "run"]
