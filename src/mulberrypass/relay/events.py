"""Parses server-sent events and keeps their bytes unchanged."""

from __future__ import annotations

from dataclasses import dataclass

# Engines send no longer events; a larger one means a broken stream.
MAX_EVENT_BYTES = 1_048_576


class BadEventError(Exception):
    """The bytes are not a valid sequence of events."""


@dataclass(frozen=True, slots=True)
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
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises BadEventError: if an event is too long
        """
        buffer = self._partial + data
        events = []
        while True:
            end = _first_event_length(buffer)
            if end < 0:
                break
            events.append(_parse_event(buffer[:end]))
            buffer = buffer[end:]
        if len(buffer) > MAX_EVENT_BYTES:
            raise BadEventError("an event is too long")
        self._partial = buffer
        return events


class EventOrder:
    """Checks that event numbers are consecutive.

    :ivar last: number of the last event; ``None`` before the first
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def accept(self, event: Event) -> None:
        """Accept the next event.

        :raises BadEventError: if its number doesn't follow the last one
        """
        number, last = event.number, self.last
        if number is None or (last is not None and number != last + 1):
            raise BadEventError(f"event {number} came after {last}")
        self.last = number

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


def _first_event_length(buffer: bytes) -> int:
    """Return the length of the first event; -1 if it is incomplete."""
    ends = [
        found + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (found := buffer.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def _parse_event(raw: bytes) -> Event:
    number = None
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.strip().isdigit():
            number = int(value)
        elif name == b"data":
            data.append(value)
    return Event(raw, number, b"\n".join(data))


__all__ = ["BadEventError", "Event", "EventOrder", "EventSplitter"]
