"""Runs of one answer that have ended in doubt, until one shows its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.messages import ReleaseOutcome

if TYPE_CHECKING:
    from mulberrypass.relay.permits import HeldPermit


class DoubtfulRuns:
    """Reports whether runs were broken off; used by one thread.

    Their permits are released. Without a verdict, they say nothing of their
    engines.
    """

    def __init__(self) -> None:
        self._runs: list[tuple[HeldPermit, int]] = []

    def add(self, permit: HeldPermit, last: int | None) -> None:
        """Note that a run has ended in doubt with this event."""
        if last is not None:
            self._runs.append((permit, last))

    def judge(self, seen: int | None, whole: bool = False) -> None:
        """Judge the runs of which this is known by now.

        :param seen: number of the last whole event that any run has brought
        :param whole: whether the answer is proven to end there
        """
        if seen is None or not self._runs:
            return
        open_runs = []
        for permit, last in self._runs:
            if last < seen:
                permit.judge(ReleaseOutcome.FAILED)
            elif whole and last == seen:
                permit.judge(ReleaseOutcome.DONE)
            else:
                open_runs.append((permit, last))
        self._runs = open_runs


__all__ = ["DoubtfulRuns"]
