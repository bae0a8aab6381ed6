"""Compares ways to bring in a new version, on drawn requests.

Run as ``python -m tests.policy.canary_trial``; the seeds are fixed.
"""

from __future__ import annotations

from dataclasses import dataclass
import random
import sys

from mulberrypass.policy.placement.canary import (
    Advance,
    Stop,
    VersionCounts,
    compare_versions,
)

TICK_S = 10.0
MAX_S = 43_200.0
RUNS = 100
OLD_FAILED = 0.005
OLD_SLOW = 0.05
EVIDENCE_SHARES = (0.01, 0.05, 0.25, 1.0)
TIMED_SHARES = (0.01, 0.03, 0.02, 1.0)
TIMED_S = 600.0


@dataclass(frozen=True)
class Behaviour:
    """How a new version behaves."""

    name: str
    failed: float
    slow: float


@dataclass(frozen=True)
class Outcome:
    """What became of one new version.

    :param served: requests that the new version answered before its end
    """

    full: bool
    stopped: bool
    served: int
    after_s: float


BEHAVIOURS = (
    Behaviour("as good", OLD_FAILED, OLD_SLOW),
    Behaviour("fails 3%", 0.03, OLD_SLOW),
    Behaviour("slow 15%", OLD_FAILED, 0.15),
)


def draw(rng: random.Random, count: int, rate: float) -> int:
    """Draw how many of some requests something happens to."""
    if count < 50:
        return sum(rng.random() < rate for _ in range(count))
    spread = (count * rate * (1 - rate)) ** 0.5
    return min(count, max(0, round(rng.gauss(count * rate, spread))))


def tick(
    rng: random.Random, seen: VersionCounts, count: int, new: Behaviour
) -> VersionCounts:
    """Add some requests of one version."""
    return VersionCounts(
        seen.requests + count,
        seen.failed + draw(rng, count, new.failed),
        seen.slow + draw(rng, count, new.slow),
    )


def bring_in(seed: int, new: Behaviour, per_s: float, timed: bool) -> Outcome:
    """Bring one new version in, by evidence or by time."""
    rng = random.Random(seed)
    old = Behaviour("old", OLD_FAILED, OLD_SLOW)
    shares = TIMED_SHARES if timed else EVIDENCE_SHARES
    served, now = 0, 0.0
    for share in shares[:-1]:
        figures = [VersionCounts(0, 0, 0), VersionCounts(0, 0, 0)]
        began = now
        while True:
            now += TICK_S
            total = max(0, round(rng.gauss(per_s * TICK_S, 1)))
            mine = sum(rng.random() < share for _ in range(total))
            figures[0] = tick(rng, figures[0], total - mine, old)
            figures[1] = tick(rng, figures[1], mine, new)
            served += mine
            verdict = compare_versions(figures[0], figures[1])
            if isinstance(verdict, Stop):
                return Outcome(False, True, served, now)
            if now >= MAX_S:
                return Outcome(False, False, served, now)
            if timed and now - began >= TIMED_S:
                break
            if not timed and isinstance(verdict, Advance):
                break
    return Outcome(True, False, served, now)


def main() -> None:
    """Write a line for each way, behaviour and rate."""
    for per_s in (1.0, 20.0, 100.0):
        for new in BEHAVIOURS:
            for timed in (True, False):
                runs = [
                    bring_in(seed, new, per_s, timed) for seed in range(RUNS)
                ]
                full = sum(run.full for run in runs) / RUNS
                stopped = sum(run.stopped for run in runs) / RUNS
                served = sorted(run.served for run in runs)[RUNS // 2]
                after = sorted(run.after_s for run in runs)[RUNS // 2]
                way = "timed" if timed else "evidence"
                sys.stdout.write(
                    f"{per_s:5.0f}/s {new.name:<9} {way:<8} full {full:4.0%} "
                    f"stopped {stopped:4.0%} served {served:6d} "
                    f"after {after:6.0f} s\n"
                )


if __name__ == "__main__":
    main()
