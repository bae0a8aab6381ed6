"""Second runs of requests whose engine is late: when, and how many.

This answers the load of a few engines that are silent or slow for seconds
while others have room: their requests are the slowest answers of a day. A
second run costs an engine the work once more, so that a share bounds them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.online.hedging import HedgeTimer
from mulberrypass.policy.online.retry import MIN_REMAINING_S, RetryBudget

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOW_S = 10.0
BUCKET_S = 1.0
# An instance sees about two requests of a service per second: without any in
# hand it could start a second run once in 10 s at a share of 5%.
SAVED_RUNS = 2.0
FIRST_SAVED_RUNS = 1.0
MIN_FIRST_DELAY_S = 0.04
MIN_PAUSE_S = 0.12
PAUSE_FACTOR = 4.0
# The other half of a target is left for the second run.
TARGET_PART = 0.5
# Two engines may not work on a request 0.4 s apart; 0.1 s is for closing the
# connection of the one that is stopped.
SIDE_BY_SIDE_S = 0.3
# Services come and go with the configuration.
MAX_SERVICES = 1_024


class NoRepeat(StrEnum):
    """Why a second run doesn't start."""

    OFF = "off"
    NOT_REPEATABLE = "not repeatable"
    IN_DOUBT = "end in doubt"
    ATTEMPTS = "attempts used up"
    ENDED = "connection ended"
    LEFT = "caller left"
    STOPPING = "stopping"
    LATE = "deadline"
    BUDGET = "budget"


@value_class
class LateRun:
    """A run whose next event is late.

    :param repeatable: whether the request may run more than once
    :param attempts_left: whether another engine may be asked
    :param in_doubt: whether the run settles where a stream ends
    :param ended: whether a connection of the request has ended too early, as
        those of an engine do that the request crashes
    :param left: whether the caller has left
    :param may_end: whether an answer that begins now may end before this
        process does
    :param left_s: seconds until the deadline
    """

    repeatable: bool = True
    attempts_left: bool = True
    in_doubt: bool = False
    ended: bool = False
    left: bool = False
    may_end: bool = True
    left_s: float = float("inf")


def reason_against(run: LateRun) -> NoRepeat | None:
    """Return why a run gets no second one beside it, whatever the budget."""
    for holds, reason in (
        (not run.repeatable, NoRepeat.NOT_REPEATABLE),
        (run.in_doubt, NoRepeat.IN_DOUBT),
        (not run.attempts_left, NoRepeat.ATTEMPTS),
        (run.ended, NoRepeat.ENDED),
        (run.left, NoRepeat.LEFT),
        (not run.may_end, NoRepeat.STOPPING),
        (run.left_s < MIN_REMAINING_S, NoRepeat.LATE),
    ):
        if holds:
            return reason
    return None


def check_share(share: float) -> None:
    """Check a limit on second runs.

    :raises ValueError: if it is no share
    """
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"{share} is no share from 0 to 1")


@value_class
class RepeatShares:
    """Limits on second runs, as a share of the runs; 0 allows none.

    :param by_service: takes precedence over ``default``
    """

    default: float = 0.0
    by_service: Mapping[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Check the limits.

        :raises ValueError: if one is no share
        """
        for share in (self.default, *self.by_service.values()):
            check_share(share)

    @property
    def any(self) -> bool:
        """Whether any service may have second runs."""
        return self.default > 0 or any(self.by_service.values())

    def of(self, service: str) -> float:
        """Return the share of a service."""
        return self.by_service.get(service, self.default)


class RepeatBudget:
    """Limits the second runs of one service at one instance.

    In any window, they are at most the share of its runs and those that were
    saved up before.
    """

    def __init__(self) -> None:
        self._budget = RetryBudget(0.0, SAVED_RUNS, FIRST_SAVED_RUNS)
        self._counts: deque[tuple[float, int, int]] = deque()

    @property
    def saved(self) -> float:
        """Second runs that may start at once."""
        return self._budget.tokens

    def note_run(self, share: float, now: float) -> None:
        """Note a first run, which earns its share of a second one."""
        self._budget.earn(share)
        self._count(now, 1, 0)

    def take(self, now: float) -> bool:
        """Use a second run; return whether the budget allowed it."""
        if not self._budget.take():
            return False
        self._count(now, 0, 1)
        return True

    def give_back(self, now: float) -> None:
        """Return a second run that no engine has got."""
        self._budget.earn(1.0)
        self._count(now, 0, -1)

    def counts(self, now: float) -> tuple[int, int]:
        """Return the runs and the second runs of the window."""
        self._drop_old(now)
        runs = sum(count for _, count, _ in self._counts)
        return runs, sum(count for _, _, count in self._counts)

    def _count(self, now: float, runs: int, repeats: int) -> None:
        self._drop_old(now)
        if self._counts and now - self._counts[-1][0] < BUCKET_S:
            since, old_runs, old_repeats = self._counts.pop()
            entry = (since, old_runs + runs, old_repeats + repeats)
        else:
            entry = (now, runs, repeats)
        self._counts.append(entry)

    def _drop_old(self, now: float) -> None:
        while self._counts and self._counts[0][0] <= now - WINDOW_S:
            self._counts.popleft()


class RepeatPolicy:
    """Decides on second runs at one instance; not thread-safe."""

    def __init__(self) -> None:
        self._first = HedgeTimer()
        self._whole = HedgeTimer()
        self._pauses = HedgeTimer()
        self._budgets: dict[str, RepeatBudget] = {}

    def observe(self, service: str, latency_s: float, whole: bool) -> None:
        """Record how long the first event of a run took.

        :param whole: whether that is a complete answer, of a call without a
            stream
        """
        self._timer(whole).observe(service, latency_s)

    def observe_pause(self, service: str, pause_s: float) -> None:
        """Record a pause between two events of a stream."""
        self._pauses.observe(service, pause_s)

    def first_delay_s(
        self, service: str, whole: bool, target_s: float | None = None
    ) -> float:
        """Return how late a first event may be before a second run starts.

        :param target_s: the time in which it is due; ``None`` if none is set
        """
        learned = self._timer(whole).after_s(service)
        return _bounded(learned, MIN_FIRST_DELAY_S, target_s)

    def pause_delay_s(self, service: str, target_s: float | None) -> float:
        """Return how long a stream may pause before a second run starts.

        :param target_s: the longest pause in time; ``None`` if none is set
        """
        learned = PAUSE_FACTOR * self._pauses.after_s(service)
        return _bounded(learned, MIN_PAUSE_S, target_s)

    def note_run(self, service: str, share: float, now: float) -> None:
        """Note a run that is no second one."""
        if share > 0:
            self._budget(service).note_run(share, now)

    def start(
        self, service: str, share: float, run: LateRun, now: float
    ) -> NoRepeat | None:
        """Decide on a second run; if it may start, the budget is used.

        :returns: the reason against it; ``None`` if it may start
        """
        if share <= 0:
            return NoRepeat.OFF
        reason = reason_against(run)
        if reason is None and not self._budget(service).take(now):
            reason = NoRepeat.BUDGET
        return reason

    def give_back(self, service: str, now: float) -> None:
        """Return a second run that no engine has got."""
        self._budget(service).give_back(now)

    def delays(self) -> dict[str, float]:
        """Return the learned delay before a second run, by service."""
        return {
            name: self.first_delay_s(name, whole=False)
            for name in self._first.estimates()
        }

    def state(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the figures of each service for the state dump."""
        found: dict[str, dict[str, Any]] = {}
        for name, budget in self._budgets.items():
            runs, repeats = budget.counts(now)
            found[name] = {
                "runs": runs,
                "repeats": repeats,
                "saved": round(budget.saved, 2),
                "first_s": self._first.after_s(name),
                "answer_s": self._whole.after_s(name),
                "pause_s": self._pauses.after_s(name),
            }
        return found

    def _timer(self, whole: bool) -> HedgeTimer:
        return self._whole if whole else self._first

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            while len(self._budgets) >= MAX_SERVICES:
                del self._budgets[next(iter(self._budgets))]
            budget = self._budgets[service] = RepeatBudget()
        return budget


def _bounded(
    learned_s: float, least_s: float, target_s: float | None
) -> float:
    """Return a learned delay within its bounds; the upper one wins."""
    delay_s = max(least_s, learned_s)
    return (
        delay_s if target_s is None else min(delay_s, target_s * TARGET_PART)
    )


__all__ = [
    "FIRST_SAVED_RUNS",
    "LateRun",
    "MIN_FIRST_DELAY_S",
    "MIN_PAUSE_S",
    "NoRepeat",
    "RepeatBudget",
    "RepeatPolicy",
    "RepeatShares",
    "SAVED_RUNS",
    "SIDE_BY_SIDE_S",
    "WINDOW_S",
    "check_share",
    "reason_against",
]
