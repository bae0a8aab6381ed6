"""Tests of what callers get from engines that break the protocol."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import time

from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import ERROR_TEXT
from tests.platform.raw_site import RawSiteTest, Reply, stream_route

WHOLE_EVENTS = 3
# Until the first events of a stream have arrived.
BEGUN_S = 0.4


def whole(number: int) -> bytes:
    """Return the whole answer to a request."""
    events = range(1, WHOLE_EVENTS + 1)
    return b"".join(event(f"r{number}", each) for each in events)


class MisbehavingEngineTest(RawSiteTest):
    engine_count = 1
    routes = (
        stream_route("lookup", MaxAttempts=1),
        stream_route("slip", Resumable=True),
        stream_route("call", RouteType="non_idempotent"),
    )

    def setUp(self) -> None:
        super().setUp()
        self.at = self.start_instance()

    def ask(self, path: str, number: int) -> Reply:
        return self.send(self.at, path, "a1 c3", number)

    def assert_not_whole(self, reply: Reply, number: int) -> None:
        """Check that an answer is a failure or the start of a stream."""
        if reply.status == 200:
            self.assertFalse(reply.whole)
            self.assertTrue(whole(number).startswith(reply.body))
        else:
            self.assertNotIn(reply.status, (429, 503))


class RepeatedRefusalTest(MisbehavingEngineTest):
    """A refusal written once more was taken for that of the next request."""

    def test_refusal_of_an_earlier_request(self) -> None:
        for number, ids in enumerate((False, True), 1):
            for path in ("/lookup/1", "/call/1", "/slip/1"):
                with self.subTest(path, ids=ids):
                    self.setUp()
                    self.faults.ids_in_refusals = ids
                    self.assertEqual(200, self.ask(path, 100).status)
                    self.faults.refusals = 1
                    self.ask(path, number)
                    reply = self.ask(path, 10 + number)
                    runs = sum(e.runs[f"r{10 + number}"] for e in self.engines)
                    self.assertNotIn(reply.status, (429, 503))
                    if path != "/slip/1":
                        self.assertEqual(1, runs)


class ErrorAfterEventsTest(MisbehavingEngineTest):
    """A stream broke off, and the next engine answered with an error."""

    engine_count = 2

    def test_error_is_not_part_of_the_stream(self) -> None:
        self.faults.break_after = 40
        number = 0
        for unframed in (False, True):
            for error in (302, 400, 404, 422, 429, 500, 503):
                number += 1
                self.faults.unframed = unframed
                self.faults.error = error
                reply = self.ask("/slip/1", number)
                with self.subTest(error, unframed=unframed):
                    self.assertNotIn(ERROR_TEXT.encode(), reply.body)
                    self.assertNotIn(b"HTTP/1.1", reply.body)
                    self.assertFalse(reply.whole)
                    self.assertTrue(whole(number).startswith(reply.body))


class EndlessFramingTest(MisbehavingEngineTest):
    """Answers that only the end of the connection ends."""

    engine_count = 2

    def test_whole_answer(self) -> None:
        self.faults.unframed = True
        for number, path in enumerate(("/lookup/1", "/slip/1"), 1):
            reply = self.ask(path, number)
            self.assertEqual((200, True), (reply.status, reply.whole))
            self.assertEqual(whole(number), reply.body)

    def test_answer_that_ends_within_an_event(self) -> None:
        self.faults.unframed = True
        self.faults.break_after = 30
        reply = self.ask("/lookup/1", 1)
        self.assert_not_whole(reply, 1)

    def test_resumable_answer_that_ends_between_events(self) -> None:
        self.faults.unframed = True
        self.faults.break_after = 2 * len(event("r1", 1))
        reply = self.ask("/slip/1", 1)
        self.assertTrue(reply.whole)
        events = (event("r1", n) for n in range(1, 4))
        self.assertEqual(b"".join(events), reply.body)

    def test_resumed_answer_that_ends_after_its_head(self) -> None:
        """It looked like a stream of which all had been received."""
        self.faults.unframed = True
        first = len(event("r1", 1))
        self.faults.break_after = first + 5
        self.faults.resumed_bytes = 0
        reply = self.ask("/slip/1", 1)
        self.assert_not_whole(reply, 1)
        self.assertEqual(event("r1", 1), reply.body)


class CutHeadTest(MisbehavingEngineTest):
    """An engine closed in the middle of the head of its answer."""

    def test_cut_head_is_no_answer(self) -> None:
        number = 0
        for unframed in (False, True):
            self.faults.unframed = unframed
            for size in (0, 5, 12, 15, 17, 30, 44, 60, 80, 100, 120, 150):
                for path in ("/lookup/1", "/call/1"):
                    number += 1
                    self.faults.head_bytes = size
                    reply = self.ask(path, number)
                    with self.subTest(path, size=size, unframed=unframed):
                        self.assert_not_whole(reply, number)
                        self.assertNotEqual(200, reply.status)


class EndOfGraceTest(MisbehavingEngineTest):
    """A stream that a stop broke off looked complete."""

    def test_stream_that_a_stop_breaks_off(self) -> None:
        for engine in self.engines:
            engine.events = 40
            engine.event_s = 0.1
        for number, unframed in enumerate((False, True), 1):
            with self.subTest(unframed=unframed):
                self.faults.unframed = unframed
                self.at = self.start_instance()
                with ThreadPoolExecutor(1) as pool:
                    asked = pool.submit(self.ask, "/lookup/1", number)
                    time.sleep(BEGUN_S)
                    self.processes[-1].stop()
                    reply = asked.result()
                self.assertEqual(200, reply.status)
                self.assertFalse(reply.whole)
