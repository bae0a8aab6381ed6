"""The output of a batch item, kept across its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
import sys
from typing import TYPE_CHECKING

from mulberrypass.relay.end_proof import End, EndProof
from mulberrypass.relay.events import FIRST_NUMBERS, BadEventError

if TYPE_CHECKING:
    from mulberrypass.relay.events import Event

# As much as an answer that is forwarded whole may have.
MAX_OUTPUT_BYTES = 8_388_608
# Ends before a part of an event that never comes again; it was none then.
MAX_DENIALS = 3
# Of an entry of a list.
POINTER_BYTES = 8


@dataclass(slots=True)
class Progress:
    """The output of an item so far, kept across attempts.

    :param event_texts: data of the events received
    :param size: bytes of these texts
    :param taken: bytes of memory that they take
    :param last: number of the last event; ``None`` before the first
    :param failures: attempts that ended with status 500 of the engine
    :param route_missing_since: monotonic time; ``None`` while it exists
    :param proof: where the attempts have ended
    :param denials: attempts that ended before an event that was shown
    """

    event_texts: list[str] = field(default_factory=list)
    size: int = 0
    taken: int = 0
    last: int | None = None
    failures: int = 0
    route_missing_since: float | None = None
    proof: EndProof = field(default_factory=EndProof)
    denials: int = 0

    def add(self, event: Event) -> None:
        """Add an event to the output.

        :raises BadEventError: if it makes the output too long; it begins
            anew
        """
        text = event.data.decode("utf-8", "replace")
        self.last = event.number
        self.size += len(text.encode())
        self.taken += _taken(text)
        self.event_texts.append(text)
        if self.size > MAX_OUTPUT_BYTES:
            self.begin_anew()
            raise BadEventError("the output is too long")

    def note_begun(self) -> None:
        """Note that an attempt was cut inside the event after the last."""
        if self.last is not None:
            self.proof.note_shown(self.last + 1)

    @property
    def whole(self) -> bool:
        """Whether no event is missing before the last one."""
        if self.last is None:
            return False
        missing = self.last + 1 - len(self.event_texts)
        return missing in FIRST_NUMBERS

    def resume(self) -> int | None:
        """Return the number of the event after which an attempt resumes.

        It brings a last event again whose end is in doubt.
        """
        if self.last is not None and self.proof.doubts(self.last):
            text = self.event_texts.pop()
            self.size -= len(text.encode())
            self.taken -= _taken(text)
            self.last = self.last - 1 if self.event_texts else None
        return self.last

    def judge(self, brought: int, unframed: bool) -> End:
        """Return what the end of an attempt says about the output.

        :param brought: number of events that it brought
        :param unframed: whether only the end of its connection ended it
        :raises BadEventError: if events are missing; it begins anew
        """
        end = self.proof.judge(self.last, brought, unframed)
        broken_off = end is End.BROKEN_OFF
        missing = not broken_off and not self.whole
        self.denials += broken_off
        # A framed answer that lacks an event of another attempt is no output.
        denied = broken_off and not unframed
        if missing or denied or self.denials >= MAX_DENIALS:
            self.begin_anew()
        if missing:
            raise BadEventError("events are missing in the output")
        return end

    def begin_anew(self) -> None:
        """Forget the output, so that the next attempt runs from the start."""
        self.event_texts.clear()
        self.size = self.taken = 0
        self.last = None
        self.denials = 0
        self.proof.forget()


def _taken(text: str) -> int:
    return sys.getsizeof(text) + POINTER_BYTES


__all__ = ["MAX_DENIALS", "MAX_OUTPUT_BYTES", "Progress"]
