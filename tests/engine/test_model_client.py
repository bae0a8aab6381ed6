"""Tests of the model engine client against the fake engine."""

from __future__ import annotations

import http.client
import json
import logging
import socket
import threading
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.engine.api import (
    EngineFailed,
    Finished,
    GenerationRequest,
    LoadOrder,
    RoleOrder,
    StaleFence,
    Tokens,
    UnloadOrder,
)
from mulberrypass.engine.model_client import HttpModelEngine
from mulberrypass.model.objects import Role
from mulberrypass.model.outcome import Ran
from mulberrypass.testing.engine_http import EngineOptions, FakeEngine
from mulberrypass.testing.engine_step import EngineShape
from mulberrypass.testing.engine_tokens import expected_tokens

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

    from mulberrypass.engine.api import StreamEvent

HOST = "127.0.20.1"
DEADLINE_S = 20.0
FAST = EngineOptions(
    shape=EngineShape(slots=4),
    time_scale=0.02,
    report_lag_s=0.0,
    event_lag_s=0.0,
    event_loss=0.0,
    load_s=0.0,
    threads=16,
)


def _collect(
    events: Iterable[Result[StreamEvent, EngineFailed]],
) -> tuple[tuple[str, ...], Finished | EngineFailed | None]:
    tokens: tuple[str, ...] = ()
    end: Finished | EngineFailed | None = None
    for event in events:
        if event.is_error():
            return tokens, event.error
        match event.ok:
            case Tokens(tokens=part):
                tokens += part
            case Finished():
                end = event.ok
    return tokens, end


def _make_request(prompt: str, **fields: Any) -> GenerationRequest:
    values: dict[str, Any] = {"max_tokens": 12} | fields
    values.setdefault("request_id", "r1")
    return GenerationRequest(model="m", version="v1", prompt=prompt, **values)


class EngineTestCase(unittest.TestCase):
    options = FAST

    def setUp(self) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self.served = FakeEngine(self.options).serve(HOST, 0)
        self.addCleanup(self.served.stop)
        self.engine = HttpModelEngine(f"{HOST}:{self.served.port}")
        self.addCleanup(self.engine.close)

    def call_admin(self, method: str, path: str, doc: Any = None) -> Any:
        conn = http.client.HTTPConnection(HOST, self.served.port, timeout=20)
        self.addCleanup(conn.close)
        conn.request(method, path, json.dumps(doc) if doc else None)
        return json.loads(conn.getresponse().read())

    def set_faults(self, **faults: Any) -> None:
        self.call_admin("PUT", "/admin/faults", faults)


class GenerateTest(EngineTestCase):
    def test_complete_answers(self) -> None:
        for prompt, count, chunk, reason in (
            ("one two", 12, 1, "length"),
            ("one two len=5", 5, 4, "stop"),
            ("one slow=3", 36, 16, "length"),
            ("word " * 700, 12, 5, "length"),
        ):
            with self.subTest(prompt=prompt[:20]):
                req = _make_request(prompt, chunk_tokens=chunk, seed=7)
                tokens, end = _collect(self.engine.generate(req, DEADLINE_S))
                self.assertEqual(expected_tokens(prompt, 7, count), tokens)
                self.assertEqual(Finished(reason, count), end)

    def test_failures(self) -> None:
        cut = EngineFailed("cut", Ran.MAYBE, resumable=True)
        wrong = EngineFailed("wrong answer", Ran.MAYBE)
        poisoned = EngineFailed("poisoned", Ran.YES, False, 422, True)
        refused = EngineFailed("refused", Ran.NO, status=503)
        table: tuple[tuple[str, dict[str, Any], EngineFailed], ...] = (
            ("a", {"cut_streams": 1, "cut_after_tokens": 3}, cut),
            ("a", {"crossed": 1}, wrong),
            ("a", {"refuse": 1}, refused),
            ("a poison", {}, poisoned),
            ("a crash", {}, cut),
        )
        for prompt, faults, expected in table:
            with self.subTest(expected=expected, faults=faults):
                if faults:
                    self.set_faults(**faults)
                req = _make_request(prompt)
                _, end = _collect(self.engine.generate(req, DEADLINE_S))
                self.assertEqual(expected, end)

    def test_deadline_limits_the_wait(self) -> None:
        self.set_faults(late_s=30.0)
        req = _make_request("a")
        _, end = _collect(self.engine.generate(req, 0.05))
        self.assertEqual(EngineFailed("deadline", Ran.MAYBE, True), end)
        self.set_faults(late_s=0.0)

    def test_connections_are_reused(self) -> None:
        for _ in range(3):
            _collect(self.engine.generate(_make_request("a"), DEADLINE_S))
        self.assertTrue(self.engine.load().is_ok())
        first = self.engine._pool._idle[0][1]
        self.assertTrue(self.engine.load().is_ok())
        self.assertEqual(
            [first], [conn for _, conn in self.engine._pool._idle]
        )

    def test_runs_are_counted(self) -> None:
        _collect(self.engine.generate(_make_request("a"), DEADLINE_S))
        self.set_faults(leaving=True)
        req = _make_request("a", request_id="late")
        _collect(self.engine.generate(req, DEADLINE_S))
        doc = self.call_admin("GET", "/admin/runs")
        once = {"started": 1, "finished": 1, "cancelled": 0}
        self.assertEqual({"r1": once, "late": once}, doc["runs"])
        self.assertEqual(["late"], doc["leaving_starts"])


class ResumeTest(EngineTestCase):
    def test_interrupted_stream_resumes_at_its_offset(self) -> None:
        self.set_faults(cut_streams=1, cut_after_tokens=4)
        req = _make_request("a b", max_tokens=40)
        received, end = _collect(self.engine.generate(req, DEADLINE_S))
        self.assertEqual(EngineFailed("cut", Ran.MAYBE, True), end)
        rest, end = _collect(
            self.engine.resume("r1", len(received), DEADLINE_S)
        )
        self.assertEqual(expected_tokens("a b", 0, 40), received + rest)
        self.assertEqual(Finished("length", 40), end)

    def test_unknown_run_is_refused(self) -> None:
        _, end = _collect(self.engine.resume("none", 0, DEADLINE_S))
        expected = EngineFailed("unknown_run", Ran.MAYBE, status=404)
        self.assertEqual(expected, end)

    def test_cancel_ends_the_stream_and_returns_its_tokens(self) -> None:
        req = _make_request("a", max_tokens=100_000)
        events = self.engine.generate(req, DEADLINE_S)
        next(events)
        cancelled = self.engine.cancel("r1").default_value(Tokens(0, ()))
        self.assertEqual(
            expected_tokens("a", 0, len(cancelled.tokens)), cancelled.tokens
        )
        received, end = _collect(events)
        self.assertEqual(EngineFailed("cancelled", Ran.YES), end)
        self.assertEqual(cancelled.tokens[1:], received)


class CallsTest(EngineTestCase):
    options = EngineOptions(
        time_scale=0.02,
        report_lag_s=0.0,
        event_lag_s=0.0,
        event_loss=0.0,
        load_s=0.0,
        versions=("v1",),
        threads=4,
    )

    def test_orders_are_fenced(self) -> None:
        for order, fence, highest in (
            (LoadOrder("m", "v2", ("a",)), 5, None),
            (UnloadOrder("m", "v1"), 4, 5),
            (RoleOrder(Role.DECODE), 6, None),
            (UnloadOrder("m", "v1"), 6, None),
        ):
            with self.subTest(order=order):
                result = self.engine.order(order, fence)
                refused = result.error if result.is_error() else None
                wanted = None if highest is None else StaleFence(highest)
                self.assertEqual(wanted, refused)
        report = self.engine.load()
        self.assertEqual(("v2",), report.ok.versions)
        _, end = _collect(self.engine.generate(_make_request("a"), DEADLINE_S))
        expected = EngineFailed("not_loaded", Ran.NO, status=404)
        self.assertEqual(expected, end)

    def test_stale_fences_are_accepted_by_engines_that_ignore_them(
        self,
    ) -> None:
        self.set_faults(ignore_fences=True)
        self.engine.order(LoadOrder("m", "v2"), 9)
        old = self.engine.order(UnloadOrder("m", "v2"), 1)
        self.assertTrue(old.is_ok())

    def test_cache_events_follow_a_long_prompt(self) -> None:
        req = _make_request("w " * 64)
        _collect(self.engine.generate(req, DEADLINE_S))
        events = self.engine.cache_events(1)
        self.assertEqual([2, 3, 4], [e.sequence for e in events.ok])

    def test_connection_refused(self) -> None:
        with socket.socket() as bound:
            bound.bind((HOST, 0))
            engine = HttpModelEngine(f"{HOST}:{bound.getsockname()[1]}")
            _, end = _collect(engine.generate(_make_request("a"), DEADLINE_S))
        reason = "no connection: ConnectionRefusedError"
        self.assertEqual(EngineFailed(reason, Ran.NO), end)


class MalformedAnswerTest(unittest.TestCase):
    """Answers from a raw socket that violate the protocol."""

    def outcome_of(self, payload: bytes) -> EngineFailed | Finished | None:
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            conn, _ = listener.accept()
            with conn, conn.makefile("rb") as sent:
                # Closing with unread bytes would reset the connection.
                sent.readline()
                length = http.client.parse_headers(sent)["Content-Length"]
                sent.read(int(length))
                conn.sendall(payload)

        thread = threading.Thread(target=serve)
        thread.start()
        self.addCleanup(thread.join)
        port = listener.getsockname()[1]
        engine = HttpModelEngine(f"{HOST}:{port}")
        return _collect(engine.generate(_make_request("a"), DEADLINE_S))[1]

    def test_malformed_answers(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n"
        gap = b'data: {"request_id":"r1","offset":2,"tokens":["x"]}\n\n'
        short = (
            b'data: {"request_id":"r1","finish_reason":"stop",'
            b'"completion_tokens":3}\n\n'
        )
        cut = EngineFailed("cut", Ran.MAYBE, resumable=True)
        wrong = EngineFailed("wrong answer", Ran.MAYBE)
        for name, payload, expected in (
            ("ends early", head, cut),
            ("gap", head + gap, wrong),
            ("wrong count", head + short, wrong),
            ("not JSON", head + b"data: nonsense\n\n", wrong),
            ("long line", head + b"x" * 1_200_000, wrong),
            (
                "no answer",
                b"",
                EngineFailed("no answer: RemoteDisconnected", Ran.MAYBE, True),
            ),
        ):
            with self.subTest(name=name):
                self.assertEqual(expected, self.outcome_of(payload))
