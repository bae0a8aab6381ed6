"""Bounds the runs of one request and chooses the engines not to ask."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Runs beyond the route's attempts that settle where a stream ends. Each costs
# an engine one event.
MAX_SETTLING_RUNS = 4
# Runs whose engines were gone at their ends, which aren't counted as attempts.
MAX_GONE = 4


class Runs:
    """The runs of one request at engines; used by one thread.

    Runs that settle where a stream ends are no attempts, as they go to
    engines that were asked before once no other may be.

    :param max_attempts: most engines that may be asked
    :param repeatable: whether the request may run more than once
    """

    def __init__(self, max_attempts: int, repeatable: bool) -> None:
        self.attempts = 0
        self._max_attempts = max_attempts
        self._repeatable = repeatable
        self._settling_runs = 0
        self._gone = 0
        self._asked: set[str] = set()
        self._failed: tuple[str, ...] = ()
        self._ended: tuple[str, ...] = ()

    def begin(self, settles: bool) -> None:
        """Note that a run begins.

        :param settles: whether it settles where a stream ends
        """
        if settles:
            self._settling_runs += 1
        else:
            self.attempts += 1

    def note_not_run(self, engine: str, settled: bool) -> None:
        """Note that an engine has not run the request."""
        self._failed = (*self._failed, engine)
        if settled:
            self._settling_runs -= 1
        else:
            self.attempts -= 1

    def note_failed(self, engine: str) -> None:
        """Note that a run has failed."""
        self._asked.add(engine)
        self._failed = (*self._failed, engine)

    def note_gone(self, engine: str, settled: bool) -> None:
        """Note that an engine was gone once a run had ended there.

        It may not count: it has ended or is cut off, so that others may be
        asked in its place.
        """
        self._failed = (*self._failed, engine)
        if self._gone < MAX_GONE:
            self._gone += 1
            if not settled:
                self.attempts -= 1
        else:
            self._asked.add(engine)

    def note_ended(self, engine: str) -> None:
        """Note that a run has ended, but not whether it is whole."""
        self._asked.add(engine)
        self._ended = (*self._ended, engine)

    def note_more(self, engine: str) -> None:
        """Note that a run has shown that an earlier one was broken off."""
        self._asked.add(engine)

    def note_lost(self, engine: str) -> None:
        """Note that another run was ahead of one."""
        self._asked.add(engine)

    def may_repeat(self) -> bool:
        """Return whether another attempt may follow."""
        return self._repeatable and self.attempts < self._max_attempts

    def may_settle(self) -> bool:
        """Return whether a run may follow that settles where it ends."""
        return self._repeatable and self._settling_runs < MAX_SETTLING_RUNS

    def avoided(
        self,
        settles: bool,
        engines: Iterable[str],
        failing: tuple[str, ...] = (),
    ) -> list[tuple[str, ...]]:
        """Return which engines not to ask; each entry if none is left.

        :param engines: the known engines
        :param failing: those whose latest run has failed, which another
            attempt asks last
        """
        others: tuple[str, ...] = ()
        if len(self._asked) >= self._max_attempts:
            others = tuple(e for e in engines if e not in self._asked)
        avoided = [(*others, *self._failed, *self._ended)]
        if self._ended:
            avoided.append((*others, *self._failed))
        if settles:
            return [*avoided, others]
        new = tuple(e for e in failing if e not in avoided[0])
        if self._failed and new:
            return [(*avoided[0], *new), *avoided]
        return avoided


__all__ = ["Runs"]
