"""Parses server-sent events and keeps their bytes unchanged."""

from __future__ import annotations

import re

from mulberrypass.model.value_class import value_class

# Engines send no longer events; a larger one means a broken stream.
MAX_EVENT_BYTES = 1_048_576
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
# Bytes of an end that may have arrived without its last one.
MAX_PARTIAL_END = 3
# Numbers with which a run from the start may begin.
FIRST_NUMBERS = (0, 1)
NUMBER = re.compile(rb"[0-9]{1,18}")


class BadEventError(Exception):
    """The bytes are not a valid sequence of events."""


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
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    @property
    def size(self) -> int:
        """Number of bytes buffered."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises BadEventError: if an event is too long
        """
        buffer = self._buffer
        buffer += data
        events = []
        start, search = 0, self._searched
        while found := EVENT_END.search(buffer, search):
            search = found.end()
            events.append(_parse_event(bytes(buffer[start:search])))
            start = search
        del buffer[:start]
        if len(buffer) > MAX_EVENT_BYTES:
            raise BadEventError("an event is too long")
        self._searched = max(0, len(buffer) - MAX_PARTIAL_END)
        return events


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
            raise BadEventError(f"event {event.number} came after {last}")
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


def _parse_event(raw: bytes) -> Event:
    number = None
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
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
