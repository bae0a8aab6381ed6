"""Tests of the event parser."""

from __future__ import annotations

import time
import unittest

from mulberrypass.relay.events import (
    MAX_EVENT_BYTES,
    BadEventError,
    EventOrder,
    EventSplitter,
)

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n:note\n\n"


class FirstEventTest(unittest.TestCase):
    """A stream whose first events were missing was taken for whole."""

    def accepted(self, last: int | None, number: int) -> bool:
        order = EventOrder(last)
        (event,) = EventSplitter().feed(b"id: %d\ndata: x\n\n" % number)
        try:
            order.accept(event)
        except BadEventError:
            return False
        return True

    def test_run_from_the_start(self) -> None:
        numbers = [n for n in range(30) if self.accepted(None, n)]
        self.assertEqual([0, 1], numbers)

    def test_resumed_run(self) -> None:
        numbers = [n for n in range(30) if self.accepted(20, n)]
        self.assertEqual([21], numbers)


class EventSplitterTest(unittest.TestCase):
    def test_chunk_size_does_not_change_events(self) -> None:
        for size in range(1, len(STREAM) + 1):
            with self.subTest(size):
                splitter = EventSplitter()
                events = []
                for at in range(0, len(STREAM), size):
                    events += splitter.feed(STREAM[at : at + size])
                self.assertEqual(STREAM, b"".join(e.raw for e in events))
                self.assertEqual([1, 2, None], [e.number for e in events])
                self.assertEqual(
                    [b"a", b"b\nc", b""], [e.data for e in events]
                )
                self.assertFalse(splitter.pending)

    def test_incomplete_event_is_pending(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n")
        self.assertTrue(splitter.pending)

    def test_crlf_line_ends(self) -> None:
        events = EventSplitter().feed(b"id: 4\r\ndata: x\r\n\r\n")
        self.assertEqual([4], [e.number for e in events])
        self.assertEqual(b"x", events[0].data)

    def test_crlf_end_in_parts(self) -> None:
        raw = b"id: 4\r\ndata: x\r\n\r\n"
        for size in range(1, len(raw)):
            with self.subTest(size):
                splitter = EventSplitter()
                events = []
                for at in range(0, 2 * len(raw), size):
                    events += splitter.feed((2 * raw)[at : at + size])
                self.assertEqual([raw, raw], [e.raw for e in events])

    def test_event_without_end_in_small_parts_takes_little_time(self) -> None:
        """Each part cost as much as all parts before it."""
        splitter = EventSplitter()
        started = time.process_time()
        for _ in range(MAX_EVENT_BYTES // 8):
            splitter.feed(b"data: x\n")
        self.assertLess(time.process_time() - started, 2.0)

    def test_unknown_field_is_ignored(self) -> None:
        raw = b"x-weight-versions: 3\nid: 4\ndata: x\n\n"
        events = EventSplitter().feed(raw)
        self.assertEqual(b"x", events[0].data)

    def test_event_with_an_endless_number_has_none(self) -> None:
        raw = b"id: " + b"1" * 5_000 + b"\ndata: x\n\n"
        self.assertIsNone(EventSplitter().feed(raw)[0].number)

    def test_size_of_a_chunk_is_no_line_of_an_event(self) -> None:
        """It was a part of the event, or ended its data early."""
        for raw in (
            b"\r\n1f\r\nid: 2\ndata: b\n\n",
            b"id: 2\ndata: b\r\n1f\r\nc\n\n",
            b"id: 2\r\n1f\r\n\ndata: b\n\n",
        ):
            with self.subTest(raw), self.assertRaises(BadEventError):
                order = EventOrder(1)
                for found in EventSplitter().feed(b"id: 1\n\n" + raw)[1:]:
                    order.accept(found)

    def test_field_without_a_value(self) -> None:
        (event,) = EventSplitter().feed(b"id: 2\ndata\ndata: b\n: c\n\n")
        self.assertEqual((2, b"\nb"), (event.number, event.data))

    def test_event_over_size_limit_is_rejected(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(BadEventError):
            splitter.feed(b"x" * (MAX_EVENT_BYTES + 1))
