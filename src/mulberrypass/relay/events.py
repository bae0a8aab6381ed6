"""Parses server-sent events and keeps their bytes unchanged."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.relay.second_answer import HEAD_START

if TYPE_CHECKING:
    from mulberrypass.relay.second_answer import SecondAnswer

# Engines send no longer events; a larger one means a broken stream.
MAX_EVENT_BYTES = 1_048_576
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
# Bytes of an end that may have arrived without its last one.
MAX_PARTIAL_END = 3
# Numbers with which a run from the start may begin.
FIRST_NUMBERS = (0, 1)
# Fields that a line may name without a value.
BARE_FIELDS = frozenset({b"data", b"event", b"id", b"retry"})
NUMBER = re.compile(rb"[0-9]{1,18}")


class BadEventError(Exception):
    """The bytes are not a valid sequence of events.

    :ivar more: whether they hold a part of the event after the valid ones
    """

    def __init__(self, reason: str, more: bool = False) -> None:
        super().__init__(reason)
        self.more = more


@value_class
class Event:
    """One complete event.

    :param raw: its bytes, including the empty line that ends it
    :param number: its numeric id; ``None`` if it has none
    :param data: its data lines, joined by line feeds
    """

    raw: bytes
    number: int | None
    data: bytes


class EventSplitter:
    """Splits a byte stream into events.

    It looks at each byte once, however small the parts are.

    :param second: tells a second answer, which ends the stream where it
        begins between two events; ``None`` if none may follow
    :ivar ended: whether the head of a second answer has ended the stream
    """

    def __init__(self, second: SecondAnswer | None = None) -> None:
        self.ended = False
        self._second = second
        self._buffer = bytearray()
        self._searched = 0

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered.

        The beginning of the head of a second answer isn't one.
        """
        if not self._buffer.strip():
            return False
        return self._second is None or not self._second.may_begin(
            bytes(self._buffer)
        )

    @property
    def size(self) -> int:
        """Number of bytes buffered."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises BadEventError: if an event is too long
        """
        if self.ended:
            return []
        buffer = self._buffer
        buffer += data
        events: list[Event] = []
        start, search = 0, self._searched
        while found := EVENT_END.search(buffer, search):
            search = found.end()
            raw = bytes(buffer[start:search])
            if self._second is not None and self._second.is_head(raw):
                self.ended = True
                buffer.clear()
                return events
            events.append(self._event(raw))
            start = search
        del buffer[:start]
        if len(buffer) > MAX_EVENT_BYTES:
            raise BadEventError("an event is too long")
        self._searched = max(0, len(buffer) - MAX_PARTIAL_END)
        return events

    def _event(self, raw: bytes) -> Event:
        if self._second is not None and self._second.is_within(raw):
            # An event was cut; nothing of it may pass for whole.
            return Event(raw, None, b"")
        return _parse_event(raw)


class EventOrder:
    """Checks that event numbers are consecutive.

    :ivar last: number of the last event; ``None`` before the first of a run
        from the start
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def accept(self, event: Event) -> None:
        """Accept the next event.

        :raises BadEventError: if its number doesn't follow the last one, or
            is none with which a run begins
        """
        last = self.last
        follows = FIRST_NUMBERS if last is None else (last + 1,)
        if event.number not in follows:
            reason = f"event {event.number} came after {last}"
            raise BadEventError(reason, _holds_part(event))
        self.last = event.number

    def accept_leading(
        self, events: list[Event]
    ) -> tuple[list[Event], BadEventError | None]:
        """Accept events up to the first invalid one; return it as an error."""
        for index, event in enumerate(events):
            try:
                self.accept(event)
            except BadEventError as exc:
                return events[:index], exc
        return events, None


def _holds_part(event: Event) -> bool:
    """Return whether an event is a part of one with a head behind it."""
    raw = event.raw.lstrip()
    hidden = HEAD_START in raw and not raw.startswith(HEAD_START)
    return hidden and event.number is None


def _parse_event(raw: bytes) -> Event:
    """Parse an event; it has no number if a line, as a chunk's size, is none.

    Such an event follows none, and so isn't accepted.
    """
    number = None
    data = []
    for line in raw.splitlines():
        name, colon, value = line.partition(b":")
        if name and not colon and name not in BARE_FIELDS:
            return Event(raw, None, b"")
        value = value.removeprefix(b" ")
        if name == b"id" and NUMBER.fullmatch(value.strip()):
            number = int(value)
        elif name == b"data":
            data.append(value)
    return Event(raw, number, b"\n".join(data))


__all__ = [
    "FIRST_NUMBERS",
    "BadEventError",
    "Event",
    "EventOrder",
    "EventSplitter",
]
