"""Tests of requests that come late in a planned stop."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
import json
import socket
import threading
import time

from tests.platform.raw_site import (
    FRONT,
    HOST,
    SLOTS,
    RawSiteTest,
    Reply,
    stream_route,
)

GRACE_S = 3.0
# The process ends its answers this long after the signal.
ANSWERS_END_S = 2.3
# New requests are taken for a third of the grace.
LATE_S = 0.85
EARLY_S = 0.3
BODY = b"q" * 10
MAX_RETRY_AFTER_S = 0.2


class LateInAStopTest(RawSiteTest):
    """Requests that came late were passed on, and cut at the end."""

    engine_count = 1
    routes = (
        stream_route("resumed", Resumable=True),
        stream_route("once"),
        stream_route("plain", RouteType="idempotent"),
        stream_route("single", RouteType="non_idempotent"),
    )

    def setUp(self) -> None:
        super().setUp()
        self.address = self.start_instance(GRACE_S)
        self.pool = ThreadPoolExecutor(2 * SLOTS)
        self.addCleanup(self.pool.shutdown)

    def pace(self, answer_s: float) -> None:
        """Set how long answers take."""
        for engine in self.engines:
            engine.event_s = answer_s / engine.events

    def answer(self, path: str, number: int) -> Future[Reply]:
        """Send a request on another thread."""
        return self.pool.submit(
            self.send, self.address, f"/{path}/x", "", number
        )

    def warm(self, path: str) -> None:
        """Let the instance see how long answers take."""
        for number in range(3):
            reply = self.answer(path, number).result()
            self.assertEqual(200, reply.status, reply.body)

    def stop(self) -> float:
        """Begin the stop, and return when."""
        begun = time.monotonic()
        threading.Thread(target=self.processes[0].stop, daemon=True).start()
        return begun

    def check_refused(self, reply: Reply, request_id: str) -> None:
        """Check that a request was refused and never reached an engine."""
        self.assertEqual(503, reply.status)
        self.assertTrue(reply.whole)
        self.assertEqual("stopping", json.loads(reply.body)["reason"])
        wait_s = float(reply.headers["retry-after"])
        self.assertLessEqual(wait_s, MAX_RETRY_AFTER_S)
        for engine in self.engines:
            self.assertNotIn(request_id, engine.runs)

    def test_answer_that_cannot_end_is_refused_at_once(self) -> None:
        self.pace(1.8)
        for path in ("once", "single"):
            self.warm(path)
        self.stop()
        time.sleep(LATE_S)
        begun = time.monotonic()
        replies = [self.answer(p, n) for p, n in (("once", 7), ("single", 8))]
        for number, reply in zip((7, 8), replies, strict=True):
            self.check_refused(reply.result(), f"r{number}")
        self.assertLess(time.monotonic() - begun, 0.5)

    def test_answer_that_can_end_is_given(self) -> None:
        self.pace(0.8)
        self.warm("once")
        self.stop()
        time.sleep(LATE_S)
        reply = self.answer("once", 7).result()
        self.assertEqual((200, True), (reply.status, reply.whole))
        self.assertEqual(3, reply.body.count(b"data:"))

    def test_body_that_ends_late_is_refused(self) -> None:
        """Its request comes whole long after new ones are taken."""
        self.pace(0.8)
        self.warm("once")
        self.stop()
        time.sleep(LATE_S)
        with socket.create_connection((self.address, FRONT)) as conn:
            head = (
                "POST /once/x HTTP/1.1",
                f"Host: {HOST}",
                "X-Mulberrypass-Request-Id: r7",
                "X-Mulberrypass-Deadline-Ms: 4000",
                "X-Mulberrypass-Token-Counts: 300,20",
                f"Content-Length: {len(BODY)}",
                "",
                "",
            )
            conn.sendall("\r\n".join(head).encode() + BODY[:1])
            time.sleep(ANSWERS_END_S - LATE_S - 0.6)
            conn.sendall(BODY[1:])
            conn.settimeout(GRACE_S)
            data = b""
            while part := conn.recv(65_536):
                data += part
        self.assertTrue(data.startswith(b"HTTP/1.1 503 "), data[:80])
        self.assertIn(b"Retry-After: 0.2", data)
        self.assertNotIn("r7", self.engines[0].runs)

    def test_request_that_waits_too_long_is_refused(self) -> None:
        self.pace(1.2)
        self.warm("once")
        self.stop()
        time.sleep(EARLY_S)
        running = [self.answer("once", 10 + n) for n in range(SLOTS)]
        time.sleep(0.2)
        waiting = self.answer("once", 30).result()
        self.assertEqual(503, waiting.status)
        self.assertNotIn("r30", self.engines[0].runs)
        for reply in running:
            self.assertEqual(200, reply.result().status)
            self.assertTrue(reply.result().whole)

    def test_unfinished_work_is_answered_with_a_failure(self) -> None:
        """Nothing was known of these routes, so they were taken."""
        self.pace(6.0)
        self.stop()
        time.sleep(LATE_S)
        plain = self.answer("plain", 7)
        single = self.answer("single", 8)
        for reply in (plain.result(), single.result()):
            self.assertEqual(502, reply.status)
            self.assertTrue(reply.whole)

    def test_stream_is_answered_or_visibly_cut(self) -> None:
        """One that has sent no event yet gets a failure instead.

        A stream that may be resumed is tried elsewhere if no event comes in
        half of the 2 s that are left: the first one comes well before.
        """
        self.pace(2.25)
        self.stop()
        time.sleep(EARLY_S)
        begun = [self.answer("once", 7), self.answer("resumed", 8)]
        for reply in begun:
            runs = (reply.result().body, self.engines[0].runs)
            self.assertEqual(200, reply.result().status, runs)
            self.assertFalse(reply.result().whole)

    def test_stream_without_events_is_answered_with_a_failure(self) -> None:
        self.pace(9.0)
        self.stop()
        time.sleep(LATE_S)
        waiting = [self.answer("once", 7), self.answer("resumed", 8)]
        for reply in waiting:
            self.assertIn(reply.result().status, (500, 502))
            self.assertTrue(reply.result().whole)
