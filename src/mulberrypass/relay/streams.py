"""Reads a stream of events over one or more runs, up to a proven end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.relay.end_proof import End, EndProof
from mulberrypass.relay.events import (
    BadEventError,
    EventOrder,
    EventSplitter,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.api import EngineAnswer
    from mulberrypass.relay.events import Event

CUT_IN_EVENT = EngineFailed("cut in an event", Ran.YES, closed=True)
IN_DOUBT = EngineFailed("end in doubt", Ran.YES)
ENGINE_GONE = EngineFailed("engine gone after an unframed answer", Ran.YES)
BROKEN_OFF = EngineFailed("an earlier run was broken off", Ran.YES)
NO_EVENT = EngineFailed("ended without an event", Ran.MAYBE, closed=True)
# Sound if all events had come before.
NO_FURTHER_EVENT = EngineFailed("ended without an event", Ran.YES)
ENDED_BEFORE = EngineFailed("ended before the event in doubt", Ran.YES)


class EventStream:
    """The events of one answer, over all runs; used by one thread.

    An unframed run may have ended between two events because its engine has
    died. Its end is in doubt until a further run, resumed before the last
    event, brings that event and ends there too.

    :param after: id of the event after which the caller resumes; ``None`` to
        begin with the first
    :ivar last: id of the last event that the caller has
    :ivar count: number of events that were passed on
    :ivar brought: number of events that the latest run has brought
    :ivar seen: number of the last whole event that a run has brought
    :ivar proof: what has proven the end of the stream; empty if nothing has
    :ivar _ends: where the runs have ended
    :ivar _was_cut: whether the latest run ended by a known break
    """

    def __init__(self, after: int | None) -> None:
        self.last = self.seen = after
        self.count = 0
        self.brought = 0
        self.proof = ""
        self._ends = EndProof()
        self._order = EventOrder(after)
        self._was_cut = False

    @property
    def in_doubt(self) -> bool:
        """Whether the next run must bring the last event again."""
        return self._ends.doubts(self.last)

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
        is_alive: Callable[[], bool],
        as_it_came: bool,
    ) -> Iterator[bytes]:
        """Read a run; yield the events that it adds, only whole ones.

        :param due: returns until when the next event is due
        :param on_events: called when events have arrived
        :param hold: called with the number of bytes that are held
        :param is_alive: called at an unframed end; returns whether the engine
            still runs
        :param as_it_came: whether an end in doubt is handed on as such, which
            leaves ``proof`` empty
        :raises WireError: if the stream hasn't ended, or nothing proves it
        :raises BadEventError: if events are missing or twice
        """
        self.brought = 0
        run = self._read_run(answer, due, on_events, hold)
        unframed = answer.head.ends_with_connection
        if self.in_doubt:
            self._prove(run, unframed, is_alive)
            return
        was_cut, self._was_cut = self._was_cut, True
        order = EventOrder(self.last)
        self._order = order
        for events in run:
            valid, error = order.accept_leading(events)
            self.brought += len(valid)
            self.count += len(valid)
            self.last = self.seen = order.last
            if valid:
                yield b"".join(event.raw for event in valid)
            if error is not None:
                self._note_bad(error)
                raise error
        self._was_cut = False
        self._check_end(unframed, was_cut, as_it_came, is_alive)

    def _read_run(
        self,
        answer: EngineAnswer,
        due: Callable[[], Deadline],
        on_events: Callable[[], None],
        hold: Callable[[int], None],
    ) -> Iterator[list[Event]]:
        """Read the events of a run; note one that it has only begun."""
        splitter = EventSplitter(answer.head.second)
        try:
            yield from _read_events(answer, splitter, due, on_events, hold)
        except WireError:
            order = self._order
            if splitter.pending and order.last is not None:
                self._ends.note_shown(order.last + 1)
            raise

    def _note_bad(self, error: BadEventError) -> None:
        """Note whether bytes that are no event are a part of one."""
        if error.more and self._order.last is not None:
            self._ends.note_shown(self._order.last + 1)

    def _check_end(
        self,
        unframed: bool,
        was_cut: bool,
        as_it_came: bool,
        is_alive: Callable[[], bool],
    ) -> None:
        """Check the end of a run at which no event was incomplete.

        An engine that dies right after the head ends an unframed run without
        an event. After a known break that is likelier than that no event was
        left.
        """
        if self.last is None:
            raise WireError(NO_EVENT)
        if unframed and not self.brought and (was_cut or as_it_came):
            raise WireError(NO_FURTHER_EVENT)
        gone = unframed and bool(self.brought) and not is_alive()
        if gone and as_it_came:
            raise WireError(ENGINE_GONE)
        if unframed and as_it_came:
            return
        match self._ends.judge(self.last, self.brought, unframed, gone):
            case End.BROKEN_OFF:
                raise WireError(ENDED_BEFORE)
            case End.FRAMED:
                self.proof = End.FRAMED.value
            case _ if not self.brought:
                raise WireError(NO_FURTHER_EVENT)
            case _:
                raise WireError(ENGINE_GONE if gone else IN_DOUBT)

    def _prove(
        self,
        run: Iterator[list[Event]],
        unframed: bool,
        is_alive: Callable[[], bool],
    ) -> None:
        """Read a run that must end with the event that the caller has.

        Events behind it are not passed on: that takes a run that was asked to
        go on after it.
        """
        assert self.last is not None
        order = EventOrder(self.resume_after)
        self._order = order
        last = self.last
        try:
            for events in run:
                valid, error = order.accept_leading(events)
                self.brought += len(valid)
                if order.last is not None and order.last > last:
                    self._ends.note_shown(order.last)
                    self.seen = order.last
                    raise WireError(BROKEN_OFF)
                if error is not None:
                    self._note_bad(error)
                    raise error
        except (WireError, BadEventError):
            if not self.in_doubt:
                # It has shown more, if only a part of an event.
                raise WireError(BROKEN_OFF)
            raise
        if order.last != last or not self.brought:
            raise WireError(ENDED_BEFORE)
        gone = unframed and not is_alive()
        match self._ends.judge(last, self.brought, unframed, gone):
            case End.BROKEN_OFF:
                raise WireError(ENDED_BEFORE)
            case End.IN_DOUBT:
                raise WireError(ENGINE_GONE if gone else IN_DOUBT)
            case _:
                self.proof = End.SECOND_RUN.value


def _read_events(
    answer: EngineAnswer,
    splitter: EventSplitter,
    due: Callable[[], Deadline],
    on_events: Callable[[], None],
    hold: Callable[[int], None],
) -> Iterator[list[Event]]:
    """Read the events of a run as they arrive.

    :raises WireError: if it is cut
    """
    event_due = due()
    while not splitter.ended and (data := answer.read_some(event_due)):
        events = splitter.feed(data)
        hold(splitter.size)
        if events:
            on_events()
            yield events
            event_due = due()
    if splitter.pending:
        raise WireError(CUT_IN_EVENT)


__all__ = [
    "BROKEN_OFF",
    "CUT_IN_EVENT",
    "ENGINE_GONE",
    "EventStream",
    "IN_DOUBT",
    "NO_EVENT",
    "NO_FURTHER_EVENT",
]
