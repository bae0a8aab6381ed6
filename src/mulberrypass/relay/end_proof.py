"""Decides whether the end of an answer that nothing frames is its end."""

from __future__ import annotations

from enum import Enum


class End(Enum):
    """What the end of a run says about the answer.

    :cvar FRAMED: the answer is whole, as its framing says
    :cvar SECOND_RUN: it is whole, as another run ended at the same event
    :cvar IN_DOUBT: another run must bring its last event and end there
    :cvar BROKEN_OFF: an earlier run has brought more
    """

    FRAMED = "framed"
    SECOND_RUN = "second run"
    IN_DOUBT = "in doubt"
    BROKEN_OFF = "broken off"


class EndProof:
    """Compares where the runs of an answer that may be resumed have ended.

    It is told of ends at which no event was incomplete and no connection was
    known to have broken. An engine that dies between two events ends an
    unframed answer just so. Used by one thread.
    """

    def __init__(self) -> None:
        self._doubted: int | None = None
        self._ended: int | None = None
        self._shown = -1

    def note_shown(self, event: int) -> None:
        """Note that a run has brought an event, or a part of it."""
        self._shown = max(self._shown, event)

    def judge(
        self,
        last: int | None,
        brought: int,
        unframed: bool,
        gone: bool = False,
    ) -> End:
        """Judge the end of a run.

        :param last: number of the last event that it brought, or of the one
            after which it was resumed if it brought none; ``None`` at the
            start
        :param brought: number of events that it brought
        :param unframed: whether only the end of its connection ended it
        :param gone: whether its engine couldn't be reached afterwards; it may
            have left, or the request may end each engine at this event
        """
        if last is None or last < self._shown:
            return End.BROKEN_OFF
        if not unframed:
            return End.FRAMED
        self.note_shown(last)
        self._doubted = last
        if not brought:
            # Any engine that dies right after the head ends like this.
            return End.IN_DOUBT
        if last == self._ended and not gone:
            return End.SECOND_RUN
        self._ended = last
        return End.IN_DOUBT

    def doubts(self, last: int | None) -> bool:
        """Return whether the next run must bring this last event again.

        It is to be resumed before the event, or run from the start if the
        event is the first.
        """
        return last is not None and last == self._doubted == self._shown

    def forget(self) -> None:
        """Forget all ends, as the answer begins anew."""
        self._doubted = self._ended = None
        self._shown = -1


__all__ = ["End", "EndProof"]
