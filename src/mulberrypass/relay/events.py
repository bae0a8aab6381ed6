"""Server-sent events, taken apart without changing a byte."""

from __future__ import annotations

from dataclasses import dataclass

# A longer event is no event of an engine.
MAX_EVENT_BYTES = 1_048_576


class BadEventError(Exception):
    """The bytes are no events."""


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    :param raw: its bytes, the empty line included
    :param number: its id; ``None`` where it has none
    :param data: its data, lines joined by line feeds
    """

    raw: bytes
    number: int | None
    data: bytes


class EventSplitter:
    """Cuts a byte stream into events."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def pending(self) -> bool:
        """Whether part of an event has come."""
        return bool(self._partial.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes, and give the events that are whole now.

        :raises BadEventError: where an event is too long
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
    """Checks that each event is the one that must follow.

    :ivar last: number of the last event; ``None`` before the first
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def accept(self, event: Event) -> None:
        """Take the next event.

        :raises BadEventError: where it is another than must follow
        """
        number, last = event.number, self.last
        if number is None or (last is not None and number != last + 1):
            raise BadEventError(f"event {number} came after {last}")
        self.last = number

    def accept_leading(
        self, events: list[Event]
    ) -> tuple[list[Event], BadEventError | None]:
        """Take events up to one that must not follow, and say why not."""
        for index, event in enumerate(events):
            try:
                self.accept(event)
            except BadEventError as exc:
                return events[:index], exc
        return events, None


def _first_event_length(buffer: bytes) -> int:
    """Give the length of the first event; -1 where it is not whole."""
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
