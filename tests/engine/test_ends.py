"""Tests of answers of services and model engines that end early."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.api import EngineFailed, Finished, GenerationRequest
from mulberrypass.engine.model_client import WRONG_ANSWER, HttpModelEngine
from mulberrypass.engine.plain_client import HttpPlainService
from tests.engine.endless import AnsweringServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

DEADLINE_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = HEAD + b"\r\n"
REQUEST = GenerationRequest("r1", "m", "1", "a b", 4)
FIRST = b'data: {"request_id":"r1","offset":0,"tokens":["x"]}\n\n'
SECOND = b'data: {"request_id":"r1","offset":1,"tokens":["y"]}\n\n'
LAST = (
    b'data: {"request_id":"r1","finish_reason":"stop",'
    b'"completion_tokens":2}\n\n'
)
DONE = b"data: [DONE]\n\n"
STREAM = FIRST + SECOND + LAST + DONE
RESULT = b'{"request_id": "r1", "result": {"a": 1}}'
REPORT = (
    b'{"running": 1, "waiting": 2, "kv_used_tokens": 3, "leaving": false,'
    b' "at": 4.5, "versions": ["v"]}'
)
EVENTS = b'{"events": [{"sequence": 1, "stored": true, "block": 7}]}'
TOKENS = b'{"offset": 0, "tokens": ["x"]}'
# Documents that a part or a mix of answers may be.
NO_OBJECTS = (b"", b"[]", b"7", b'"x"', b"null")


def framed(body: bytes) -> bytes:
    """Return an answer with a length."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


class EndedStreamTest(unittest.TestCase):
    """The last event proves the end; its connection or length doesn't."""

    def ends(self, sent: bytes) -> list[Finished | EngineFailed]:
        """Return the events that end the answer."""
        server = AnsweringServer(self, sent, close=True)
        engine = HttpModelEngine(server.address)
        self.addCleanup(engine.close)
        events = engine.generate(REQUEST, DEADLINE_S)
        found = [e.ok if e.is_ok() else e.error for e in events]
        kinds = (Finished, EngineFailed)
        return [event for event in found if isinstance(event, kinds)]

    def test_stream_cut_short_is_cut(self) -> None:
        for size in (0, 10, len(FIRST), len(FIRST + SECOND)):
            with self.subTest(size):
                (end,) = self.ends(UNFRAMED + STREAM[:size])
                assert isinstance(end, EngineFailed)
                self.assertTrue(end.resumable)

    def test_marker_without_the_last_event_is_no_end(self) -> None:
        for make in (framed, lambda body: UNFRAMED + body):
            ends = self.ends(make(FIRST + SECOND + DONE))
            self.assertEqual([WRONG_ANSWER], ends)

    def test_answer_is_whole_whatever_comes_after_its_last_event(self) -> None:
        whole = FIRST + SECOND + LAST
        for after in (b"", DONE[:4], DONE, LAST, FIRST, DONE + UNFRAMED):
            for head in (UNFRAMED, HEAD + b"Content-Length: 99999\r\n\r\n"):
                with self.subTest(after, head=head):
                    ends = self.ends(head + whole + after)
                    self.assertEqual([Finished("stop", 2)], ends)


class EndedDocumentTest(unittest.TestCase):
    """A document shows where it ends, whatever ends its answer."""

    def engine(self, sent: bytes) -> HttpModelEngine:
        server = AnsweringServer(self, sent, close=True)
        engine = HttpModelEngine(server.address)
        self.addCleanup(engine.close)
        return engine

    def call(self, sent: bytes) -> Result[object, EngineFailed]:
        server = AnsweringServer(self, sent, close=True)
        service = HttpPlainService(server.address)
        self.addCleanup(service.close)
        return service.call("r1", {}, DEADLINE_S).map(dict)

    def test_document_cut_short_is_no_answer(self) -> None:
        calls: dict[bytes, Callable[[bytes], Result[object, EngineFailed]]] = {
            RESULT: self.call,
            REPORT: lambda sent: self.engine(sent).load().map(repr),
            EVENTS: lambda sent: self.engine(sent).cache_events(0).map(repr),
            TOKENS: lambda sent: self.engine(sent).cancel("r1").map(repr),
        }
        for document, call in calls.items():
            with self.subTest(document):
                self.assertTrue(call(framed(document)).is_ok())
                self.assertTrue(call(UNFRAMED + document).is_ok())
                for size in range(1, len(document)):
                    cut = call(UNFRAMED + document[:size])
                    self.assertTrue(cut.is_error(), document[:size])
                for other in (*NO_OBJECTS, document * 2):
                    self.assertTrue(call(UNFRAMED + other).is_error(), other)
                    self.assertTrue(call(framed(other)).is_error(), other)


if __name__ == "__main__":
    unittest.main()
