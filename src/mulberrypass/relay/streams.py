"""Reads a stream of events over one or more runs, up to a proven end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.relay.events import EventOrder, EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.api import EngineAnswer
    from mulberrypass.relay.events import Event

CUT_IN_EVENT = EngineFailed("cut in an event", Ran.YES, closed=True)
IN_DOUBT = EngineFailed("end in doubt", Ran.YES)
BROKEN_OFF = EngineFailed("an earlier run was broken off", Ran.YES)
NO_EVENT = EngineFailed("ended without an event", Ran.MAYBE, closed=True)
FRAMED = "framed"
SECOND_RUN = "second run"


class EventStream:
    """The events of one answer, over all runs; used by one thread.

    An unframed run may have ended between two events because its engine has
    died. Its end is in doubt until a further run, resumed before the last
    event, brings that event and ends there too.

    :param after: id of the event after which the caller resumes; ``None`` to
        begin with the first
    :ivar last: id of the last event that the caller has
    :ivar count: number of events that were passed on
    :ivar in_doubt: whether an unframed run has ended after the last event
    :ivar proof: what has proven the end of the stream; empty if nothing has
    :ivar _ended_at: the last event of an unframed run that brought it
    """

    def __init__(self, after: int | None) -> None:
        self.last = after
        self.count = 0
        self.in_doubt = False
        self.proof = ""
        self._ended_at: int | None = None

    @property
    def resume_after(self) -> int | None:
        """The event after which the next run begins; ``None`` at the start.

        A first event has the number 0 or 1.
        """
        if not self.in_doubt or self.last is None:
            return self.last
        return self.last - 1 if self.last > 1 else None

    def read(
        self,
        answer: EngineAnswer,
        due: Callable[[], Deadline],
        on_events: Callable[[], None],
        hold: Callable[[int], None],
        as_it_came: bool,
    ) -> Iterator[bytes]:
        """Read a run; yield the events that it adds, only whole ones.

        :param due: returns until when the next event is due
        :param on_events: called when events have arrived
        :param hold: called with the number of bytes that are held
        :param as_it_came: whether an end in doubt is handed on as such, which
            leaves ``proof`` empty
        :raises WireError: if the stream hasn't ended, or nothing proves it
        :raises BadEventError: if events are missing or twice
        """
        run = _read_events(answer, due, on_events, hold)
        if self.in_doubt:
            self._prove(run, answer.head.ends_with_connection)
            return
        order = EventOrder(self.last)
        brought = 0
        for events in run:
            valid, error = order.accept_leading(events)
            brought += len(valid)
            self.count += len(valid)
            self.last = order.last
            if valid:
                yield b"".join(event.raw for event in valid)
            if error is not None:
                raise error
        unframed = answer.head.ends_with_connection
        self._check_end(unframed, brought, as_it_came)

    def _check_end(
        self, unframed: bool, brought: int, as_it_came: bool
    ) -> None:
        """Check the end of a run at which no event was incomplete.

        An engine that dies right after the head ends an unframed run without
        an event.
        """
        if self.last is None:
            raise WireError(NO_EVENT)
        if not unframed:
            self.proof = FRAMED
            return
        self.in_doubt = not as_it_came
        if not brought:
            raise WireError(NO_EVENT)
        if self.in_doubt:
            self._ended_at = self.last
            raise WireError(IN_DOUBT)

    def _prove(self, run: Iterator[list[Event]], unframed: bool) -> None:
        """Read a run that must end with the event that the caller has.

        Events behind it are not passed on: that takes a run that was asked to
        go on after it.
        """
        assert self.last is not None
        order = EventOrder(self.resume_after)
        brought = False
        for events in run:
            _, error = order.accept_leading(events)
            if order.last is not None and order.last > self.last:
                self.in_doubt = False
                raise WireError(BROKEN_OFF)
            if error is not None:
                raise error
            brought = order.last == self.last
        if not brought:
            reason = "ended before the event in doubt"
            raise WireError(EngineFailed(reason, Ran.YES, closed=unframed))
        if unframed and self._ended_at != self.last:
            # The run before it had no event, which any dead engine can do.
            self._ended_at = self.last
            raise WireError(IN_DOUBT)
        self.proof = SECOND_RUN


def _read_events(
    answer: EngineAnswer,
    due: Callable[[], Deadline],
    on_events: Callable[[], None],
    hold: Callable[[int], None],
) -> Iterator[list[Event]]:
    """Read the events of a run as they arrive.

    :raises WireError: if it is cut
    """
    splitter = EventSplitter()
    event_due = due()
    while data := answer.read_some(event_due):
        events = splitter.feed(data)
        hold(splitter.size)
        if events:
            on_events()
            yield events
            event_due = due()
    if splitter.pending:
        raise WireError(CUT_IN_EVENT)


__all__ = ["BROKEN_OFF", "EventStream", "FRAMED", "IN_DOUBT"]
