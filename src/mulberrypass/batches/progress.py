"""The output of a batch item, kept across its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mulberrypass.relay.events import FIRST_NUMBERS, BadEventError

if TYPE_CHECKING:
    from mulberrypass.relay.events import Event

# As much as an answer that is forwarded whole may have.
MAX_OUTPUT_BYTES = 8_388_608


@dataclass(slots=True)
class Progress:
    """The output of an item so far, kept across attempts.

    :param event_texts: data of the events received
    :param size: bytes of data in these events
    :param last: number of the last event; ``None`` before the first
    :param failures: attempts that ended with status 500 of the engine
    :param route_missing_since: monotonic time; ``None`` while it exists
    """

    event_texts: list[str] = field(default_factory=list)
    size: int = 0
    last: int | None = None
    failures: int = 0
    route_missing_since: float | None = None

    def add(self, event: Event) -> None:
        """Add an event to the output.

        :raises BadEventError: if it makes the output too long; it begins
            anew
        """
        self.last = event.number
        self.size += len(event.data)
        self.event_texts.append(event.data.decode("utf-8", "replace"))
        if self.size > MAX_OUTPUT_BYTES:
            self.begin_anew()
            raise BadEventError("the output is too long")

    @property
    def whole(self) -> bool:
        """Whether no event is missing before the last one."""
        if self.last is None:
            return False
        missing = self.last + 1 - len(self.event_texts)
        return missing in FIRST_NUMBERS

    def begin_anew(self) -> None:
        """Forget the output, so that the next attempt runs from the start."""
        self.event_texts.clear()
        self.size = 0
        self.last = None


__all__ = ["MAX_OUTPUT_BYTES", "Progress"]
