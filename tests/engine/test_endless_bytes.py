"""Tests of calls to a backend server whose bytes never end."""

from __future__ import annotations

from dataclasses import replace
import time
import unittest
from unittest.mock import patch

from mulberrypass.engine import pool as pool_module
from mulberrypass.engine.api import EngineFailed, GenerationRequest
from mulberrypass.engine.model_client import WRONG_ANSWER, HttpModelEngine
from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import (
    MAX_ERROR_BYTES,
    Deadline,
    WireError,
)
from tests.engine.endless import (
    CHUNKED,
    NO_LENGTH,
    OK_HEAD,
    SURPLUS_DELAY_S,
    AnsweringServer,
    Bytes,
    EndlessServer,
)

TRICKLE_S = 0.02
DEADLINE_S = 0.15
SLACK_S = 0.2
LONG_S = 10.0
# Well above what any of these cases takes, well below its deadline.
FAST_S = 1.5
HEADS = {
    "no line end": Bytes(b"", b"x"),
    "header lines": Bytes(OK_HEAD, b"X-A: b\r\n"),
    "header without end": Bytes(OK_HEAD + b"X-A: ", b"b"),
    "interim heads": Bytes(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
BODIES = {
    "chunk size": Bytes(CHUNKED, b"0"),
    "chunk extension": Bytes(CHUNKED + b"5;", b"x"),
    "trailer": Bytes(CHUNKED + b"0\r\nX-A: ", b"b"),
    "trailers": Bytes(CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "body without length": Bytes(NO_LENGTH, b"x"),
    "chunks": Bytes(CHUNKED, b"1\r\nx\r\n"),
}


def call(pool: ConnectionPool, deadline: Deadline) -> bytes:
    """Make a call and read its whole answer."""
    exchange = pool.exchange("GET", "/", None, deadline, repeatable=False)
    try:
        return exchange.read_whole(MAX_ERROR_BYTES, deadline)
    finally:
        exchange.finish()


class EndlessBytesTest(unittest.TestCase):
    """Heads and bodies that don't end held a thread without a bound.

    Each single read succeeded within its time-out.
    """

    def assert_ends(
        self, sent: Bytes, deadline_s: float, limit_s: float
    ) -> None:
        server = EndlessServer(self, sent)
        pool = ConnectionPool(server.address)
        started = time.monotonic()
        with self.assertRaises(WireError):
            call(pool, Deadline.after(deadline_s))
        self.assertLess(time.monotonic() - started, limit_s)
        self.assertIsNone(pool.take_idle())
        self.assertTrue(server.closed.wait(0.5))

    def test_trickle_ends_at_the_deadline(self) -> None:
        for name, sent in (HEADS | BODIES).items():
            with self.subTest(name):
                self.assert_ends(
                    replace(sent, pause_s=TRICKLE_S),
                    DEADLINE_S,
                    DEADLINE_S + SLACK_S,
                )

    def test_flood_ends_at_a_size(self) -> None:
        for name, sent in (HEADS | BODIES).items():
            with self.subTest(name):
                self.assert_ends(sent, LONG_S, FAST_S)


class EndlessGenerationTest(unittest.TestCase):
    """A stream of lines that are no events ran until its deadline."""

    def failure_of(self, sent: Bytes, deadline_s: float) -> EngineFailed:
        server = EndlessServer(self, sent)
        engine = HttpModelEngine(server.address)
        self.addCleanup(engine.close)
        req = GenerationRequest("r1", "m", "1", "a b", 4)
        *events, last = engine.generate(req, deadline_s)
        self.assertEqual([], events)
        self.assertTrue(server.closed.wait(0.5))
        return last.error

    def test_lines_without_an_event(self) -> None:
        for unit in (b": x\n", b"\n", b"x"):
            with self.subTest(unit):
                started = time.monotonic()
                sent = Bytes(NO_LENGTH, unit)
                self.assertEqual(WRONG_ANSWER, self.failure_of(sent, LONG_S))
                sent = Bytes(NO_LENGTH, unit, TRICKLE_S)
                failed = self.failure_of(sent, DEADLINE_S)
                self.assertEqual("deadline", failed.reason)
                self.assertLess(time.monotonic() - started, FAST_S)


class PartOfAnswerTest(unittest.TestCase):
    def assert_no_answer(self, part: bytes) -> None:
        server = AnsweringServer(self, part, close=True)
        pool = ConnectionPool(server.address)
        with self.assertRaises(WireError):
            call(pool, Deadline.after(1.0))
        self.assertIsNone(pool.take_idle())

    def test_head_that_ends_early_is_no_answer(self) -> None:
        for part in (OK_HEAD, OK_HEAD[:-20], OK_HEAD + b"Content-Len"):
            with self.subTest(part):
                self.assert_no_answer(part)

    def test_interim_status_is_no_answer(self) -> None:
        self.assert_no_answer(b"HTTP/1.1 103 Early Hints\r\n\r\n")

    def test_chunks_that_end_early_are_no_answer(self) -> None:
        for part in (b"", b"1\r\nx", b"1\r\nx\r\n", b"0\r\n"):
            with self.subTest(part):
                self.assert_no_answer(CHUNKED + part)


class SurplusTest(unittest.TestCase):
    """Bytes after a complete answer belong to no request."""

    def test_connection_with_surplus_bytes_is_not_used_again(self) -> None:
        whole = OK_HEAD + b"Content-Length: 2\r\n\r\nok"
        chunks = CHUNKED + b"2\r\nok\r\n0\r\n\r\n"
        cases = {
            "with the answer": (whole + whole, b""),
            "with the last chunk": (chunks + b"x", b""),
            "a moment later": (whole, b"x" * 100_000),
        }
        for name, (answer, then) in cases.items():
            with self.subTest(name):
                server = AnsweringServer(self, answer, then)
                pool = ConnectionPool(server.address)
                self.assertEqual(b"ok", call(pool, Deadline.after(1.0)))
                time.sleep(2 * SURPLUS_DELAY_S)
                self.assertIsNone(pool.take_idle())

    def test_body_beyond_its_length_is_no_answer(self) -> None:
        whole = OK_HEAD + b"Content-Length: 2\r\n\r\nok"
        for more in (b"x", b"x" * 100_000):
            with self.subTest(len(more)):
                server = AnsweringServer(self, whole + more)
                pool = ConnectionPool(server.address)
                with self.assertRaises(WireError):
                    call(pool, Deadline.after(1.0))
                self.assertIsNone(pool.take_idle())

    def test_old_idle_connections_are_closed(self) -> None:
        """Below those in use, bytes could arrive for good."""
        server = AnsweringServer(self, OK_HEAD + b"Content-Length: 0\r\n\r\n")
        pool = ConnectionPool(server.address)
        self.addCleanup(pool.close)
        deadline = Deadline.after(1.0)
        both = [pool.open(deadline, f"r{n}") for n in range(2)]
        for exchange in both:
            exchange.send("GET", "/", None, deadline)
        with patch.object(pool_module, "MAX_IDLE_S", 0.0):
            for exchange in both:
                exchange.finish()
        kept = pool.take_idle()
        assert kept is not None
        kept.close()
        self.assertIsNone(pool.take_idle())

    def test_connection_without_surplus_is_used_again(self) -> None:
        for answer in (
            OK_HEAD + b"Content-Length: 2\r\n\r\nok",
            CHUNKED + b"2\r\nok\r\n0\r\n\r\n",
        ):
            with self.subTest(answer):
                server = AnsweringServer(self, answer)
                pool = ConnectionPool(server.address)
                self.addCleanup(pool.close)
                for _ in range(3):
                    call(pool, Deadline.after(1.0))
                self.assertEqual(1, server.channels)


if __name__ == "__main__":
    unittest.main()
