"""Simulates rollouts by evidence and by time, with random requests.

Run as ``python -m tests.policy.placement.canary_simulation``; seeds are fixed.
"""

from __future__ import annotations

from dataclasses import dataclass
import random
import sys

from mulberrypass.policy.placement.canary import (
    Advance,
    StopRollout,
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
    """Failure and slowness rates of a version."""

    name: str
    failed: float
    slow: float


@dataclass(frozen=True)
class Outcome:
    """Outcome of one rollout.

    :param served: requests that the new version answered during it
    """

    completed: bool
    stopped: bool
    served: int
    after_s: float


BEHAVIOURS = (
    Behaviour("as good", OLD_FAILED, OLD_SLOW),
    Behaviour("fails 3%", 0.03, OLD_SLOW),
    Behaviour("slow 15%", OLD_FAILED, 0.15),
)


def draw_events(rng: random.Random, count: int, rate: float) -> int:
    """Draw the number of requests with an event of a given rate."""
    if count < 50:
        return sum(rng.random() < rate for _ in range(count))
    spread = (count * rate * (1 - rate)) ** 0.5
    return min(count, max(0, round(rng.gauss(count * rate, spread))))


def tick(
    rng: random.Random, counts: VersionCounts, count: int, new: Behaviour
) -> VersionCounts:
    """Add requests of one version to its counts."""
    return VersionCounts(
        counts.requests + count,
        counts.failed + draw_events(rng, count, new.failed),
        counts.slow + draw_events(rng, count, new.slow),
    )


def roll_out(seed: int, new: Behaviour, per_s: float, timed: bool) -> Outcome:
    """Roll out one new version, by evidence or by time."""
    rng = random.Random(seed)
    old = Behaviour("old", OLD_FAILED, OLD_SLOW)
    shares = TIMED_SHARES if timed else EVIDENCE_SHARES
    served, now = 0, 0.0
    for share in shares[:-1]:
        totals = [VersionCounts(0, 0, 0), VersionCounts(0, 0, 0)]
        started = now
        while True:
            now += TICK_S
            total = max(0, round(rng.gauss(per_s * TICK_S, 1)))
            canary = sum(rng.random() < share for _ in range(total))
            totals[0] = tick(rng, totals[0], total - canary, old)
            totals[1] = tick(rng, totals[1], canary, new)
            served += canary
            decision = compare_versions(totals[0], totals[1])
            if isinstance(decision, StopRollout):
                return Outcome(False, True, served, now)
            if now >= MAX_S:
                return Outcome(False, False, served, now)
            if timed and now - started >= TIMED_S:
                break
            if not timed and isinstance(decision, Advance):
                break
    return Outcome(True, False, served, now)


def main() -> None:
    """Print a line for each mode, behaviour and rate."""
    for per_s in (1.0, 20.0, 100.0):
        for new in BEHAVIOURS:
            for timed in (True, False):
                runs = [
                    roll_out(seed, new, per_s, timed) for seed in range(RUNS)
                ]
                done = sum(run.completed for run in runs) / RUNS
                stopped = sum(run.stopped for run in runs) / RUNS
                served = sorted(run.served for run in runs)[RUNS // 2]
                after = sorted(run.after_s for run in runs)[RUNS // 2]
                mode = "timed" if timed else "evidence"
                sys.stdout.write(
                    f"{per_s:5.0f}/s {new.name:<9} {mode:<8} full {done:4.0%} "
                    f"stopped {stopped:4.0%} served {served:6d} "
                    f"after {after:6.0f} s\n"
                )


if __name__ == "__main__":
    main()
