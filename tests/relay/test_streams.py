"""Tests of reading a stream over several runs."""

from __future__ import annotations

import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.relay.events import BadEventError
from mulberrypass.relay.streams import BROKEN_OFF, IN_DOUBT, EventStream
from tests.relay.fakes import CUT, Script, ScriptedAnswer, event

OTHER_ID = EngineFailed("an answer to another request", Ran.MAYBE)


def never() -> Deadline:
    """Return a deadline that doesn't come."""
    return Deadline.after(60.0)


def unframed(*numbers: int) -> Script:
    """Return an answer that only the end of its connection ends."""
    return Script(parts=[event(n) for n in numbers], ends_with_connection=True)


def framed(*numbers: int) -> Script:
    """Return an answer whose framing ends it."""
    return Script(parts=[event(n) for n in numbers])


class EventStreamTest(unittest.TestCase):
    """Runs that end between two events."""

    def read(
        self, stream: EventStream, script: Script, as_it_came: bool = False
    ) -> bytes | EngineFailed:
        """Return what a run adds, or why it doesn't end the stream."""
        answer = ScriptedAnswer(script, [], [])
        try:
            return b"".join(
                stream.read(
                    answer,
                    never,
                    lambda: None,
                    lambda _size: None,
                    lambda: True,
                    as_it_came,
                )
            )
        except WireError as exc:
            return exc.failed

    def test_where_runs_begin_and_what_they_show(self) -> None:
        # Each run: after which event it is asked, and how it ends.
        cases: dict[
            str, tuple[int | None, list[tuple[int | None, Script, str]]]
        ]
        cases = {
            "two unframed runs": (
                None,
                [
                    (None, unframed(1, 2, 3), "end in doubt"),
                    (2, unframed(3), "second run"),
                ],
            ),
            "a framed second run": (
                None,
                [
                    (None, unframed(1, 2), "end in doubt"),
                    (1, framed(2), "second run"),
                ],
            ),
            "numbers from 0": (
                None,
                [
                    (None, unframed(0), "end in doubt"),
                    (None, unframed(0), "second run"),
                ],
            ),
            "two events from 0": (
                None,
                [
                    (None, unframed(0, 1), "end in doubt"),
                    (None, unframed(0, 1), "second run"),
                ],
            ),
            "broken off": (
                None,
                [
                    (None, unframed(1), "end in doubt"),
                    (None, unframed(1, 2), "an earlier run was broken off"),
                    (1, framed(2), "framed"),
                ],
            ),
            "broken off twice": (
                None,
                [
                    (None, unframed(1), "end in doubt"),
                    (None, unframed(1, 2), "an earlier run was broken off"),
                    (1, unframed(2), "end in doubt"),
                    (1, unframed(2, 3), "an earlier run was broken off"),
                    (2, unframed(3), "end in doubt"),
                    (2, unframed(3), "second run"),
                ],
            ),
            "a second run without events": (
                None,
                [
                    (None, unframed(1, 2), "end in doubt"),
                    (1, unframed(), "ended before the event in doubt"),
                    (1, framed(), "ended before the event in doubt"),
                    (1, unframed(2), "second run"),
                ],
            ),
            "all events had come": (
                5,
                [
                    (5, unframed(), "ended without an event"),
                    (4, unframed(5), "end in doubt"),
                    (4, unframed(5), "second run"),
                ],
            ),
            "all events had come, and framed": (5, [(5, framed(), "framed")]),
            "nothing came": (
                None,
                [
                    (None, unframed(), "ended without an event"),
                    (None, framed(), "ended without an event"),
                ],
            ),
        }
        for name, (after, runs) in cases.items():
            stream = EventStream(after)
            for number, (asked, script, shown) in enumerate(runs):
                with self.subTest(name, run=number):
                    self.assertEqual(asked, stream.resume_after)
                    end = self.read(stream, script)
                    if isinstance(end, EngineFailed):
                        self.assertEqual(shown, end.reason)
                    else:
                        self.assertEqual(shown, stream.proof)

    def test_second_run_adds_nothing(self) -> None:
        stream = EventStream(None)
        self.assertIs(IN_DOUBT, self.read(stream, unframed(1, 2)))
        self.assertIs(BROKEN_OFF, self.read(stream, unframed(2, 3)))
        self.assertEqual((2, 2), (stream.last, stream.count))

    def test_second_run_that_is_cut_proves_nothing(self) -> None:
        stream = EventStream(None)
        self.read(stream, unframed(1, 2))
        cuts: dict[str, list[bytes | EngineFailed]] = {
            "after the event": [event(2), CUT],
            "inside the event": [event(2)[:5]],
            "by another id": [OTHER_ID],
        }
        for name, parts in cuts.items():
            with self.subTest(name):
                script = Script(parts=parts, ends_with_connection=True)
                self.assertIsInstance(self.read(stream, script), EngineFailed)
                self.assertEqual((True, ""), (stream.in_doubt, stream.proof))

    def test_second_run_that_is_cut_in_a_further_event(self) -> None:
        for end in (CUT, b""):
            stream = EventStream(None)
            self.read(stream, unframed(1, 2))
            parts = [event(2), event(3)[:5], end]
            script = Script(parts=parts, ends_with_connection=True)
            self.assertIs(BROKEN_OFF, self.read(stream, script))
            self.assertEqual((False, 2), (stream.in_doubt, stream.last))
            self.assertIsInstance(self.read(stream, unframed()), EngineFailed)
            self.assertIs(IN_DOUBT, self.read(stream, unframed(3)))

    def test_second_run_with_other_numbers_proves_nothing(self) -> None:
        stream = EventStream(None)
        self.read(stream, unframed(1, 2, 3))
        for numbers in ((1,), (2,), (4,), (3, 3), (3, 2), (3, 5)):
            with self.subTest(numbers), self.assertRaises(BadEventError):
                self.read(stream, unframed(*numbers))
            self.assertEqual((True, ""), (stream.in_doubt, stream.proof))

    def test_end_that_is_handed_on_as_it_came(self) -> None:
        stream = EventStream(None)
        end = self.read(stream, unframed(1, 2), as_it_came=True)
        self.assertEqual(event(1) + event(2), end)
        self.assertEqual("", stream.proof)
        empty = self.read(EventStream(2), unframed(), as_it_came=True)
        self.assertIsInstance(empty, EngineFailed)


if __name__ == "__main__":
    unittest.main()
