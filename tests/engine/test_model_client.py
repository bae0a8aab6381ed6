"""Contract of the HTTP model engine, against the stand-in."""

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


def _read(
    events: Iterable[Result[StreamEvent, EngineFailed]],
) -> tuple[tuple[str, ...], Finished | EngineFailed | None]:
    tokens: tuple[str, ...] = ()
    end: Finished | EngineFailed | None = None
    for event in events:
        if event.is_error():
            return tokens, event.error
        match event.ok:
            case Tokens(tokens=more):
                tokens += more
            case Finished():
                end = event.ok
    return tokens, end


def _generation(prompt: str, **fields: Any) -> GenerationRequest:
    values: dict[str, Any] = {"max_tokens": 12} | fields
    values.setdefault("request_id", "r1")
    return GenerationRequest(model="m", version="v1", prompt=prompt, **values)


class EngineCase(unittest.TestCase):
    options = FAST

    def setUp(self) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self.served = FakeEngine(self.options).serve(HOST, 0)
        self.addCleanup(self.served.stop)
        self.engine = HttpModelEngine(f"{HOST}:{self.served.port}")
        self.addCleanup(self.engine.close)

    def admin(self, method: str, path: str, doc: Any = None) -> Any:
        conn = http.client.HTTPConnection(HOST, self.served.port, timeout=20)
        self.addCleanup(conn.close)
        conn.request(method, path, json.dumps(doc) if doc else None)
        return json.loads(conn.getresponse().read())

    def fault(self, **faults: Any) -> None:
        self.admin("PUT", "/admin/faults", faults)


class GenerateTest(EngineCase):
    def test_whole_answers(self) -> None:
        for prompt, count, chunk, reason in (
            ("one two", 12, 1, "length"),
            ("one two len=5", 5, 4, "stop"),
            ("one slow=3", 36, 16, "length"),
            ("word " * 700, 12, 5, "length"),
        ):
            with self.subTest(prompt=prompt[:20]):
                req = _generation(prompt, chunk_tokens=chunk, seed=7)
                tokens, end = _read(self.engine.generate(req, DEADLINE_S))
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
                    self.fault(**faults)
                req = _generation(prompt)
                _, end = _read(self.engine.generate(req, DEADLINE_S))
                self.assertEqual(expected, end)

    def test_deadline_ends_the_wait(self) -> None:
        self.fault(late_s=30.0)
        req = _generation("a")
        _, end = _read(self.engine.generate(req, 0.05))
        self.assertEqual(EngineFailed("deadline", Ran.MAYBE, True), end)
        self.fault(late_s=0.0)

    def test_connections_are_used_again(self) -> None:
        for _ in range(3):
            _read(self.engine.generate(_generation("a"), DEADLINE_S))
        self.assertTrue(self.engine.load().is_ok())
        self.assertEqual(1, len(self.engine._pool._idle))

    def test_runs_are_counted(self) -> None:
        _read(self.engine.generate(_generation("a"), DEADLINE_S))
        self.fault(leaving=True)
        req = _generation("a", request_id="late")
        _read(self.engine.generate(req, DEADLINE_S))
        doc = self.admin("GET", "/admin/runs")
        once = {"started": 1, "finished": 1, "cancelled": 0}
        self.assertEqual({"r1": once, "late": once}, doc["runs"])
        self.assertEqual(["late"], doc["leaving_starts"])


class ResumeTest(EngineCase):
    def test_cut_stream_goes_on_from_its_offset(self) -> None:
        self.fault(cut_streams=1, cut_after_tokens=4)
        req = _generation("a b", max_tokens=40)
        shown, end = _read(self.engine.generate(req, DEADLINE_S))
        self.assertEqual(EngineFailed("cut", Ran.MAYBE, True), end)
        rest, end = _read(self.engine.resume("r1", len(shown), DEADLINE_S))
        self.assertEqual(expected_tokens("a b", 0, 40), shown + rest)
        self.assertEqual(Finished("length", 40), end)

    def test_unknown_run_is_refused(self) -> None:
        _, end = _read(self.engine.resume("none", 0, DEADLINE_S))
        expected = EngineFailed("unknown_run", Ran.MAYBE, status=404)
        self.assertEqual(expected, end)

    def test_cancel_ends_the_stream_and_gives_its_tokens(self) -> None:
        req = _generation("a", max_tokens=100_000)
        events = self.engine.generate(req, DEADLINE_S)
        next(events)
        made = self.engine.cancel("r1").default_value(Tokens(0, ()))
        self.assertEqual(
            expected_tokens("a", 0, len(made.tokens)), made.tokens
        )
        shown, end = _read(events)
        self.assertEqual(EngineFailed("cancelled", Ran.YES), end)
        self.assertEqual(made.tokens[1:], shown)


class CallsTest(EngineCase):
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
        _, end = _read(self.engine.generate(_generation("a"), DEADLINE_S))
        expected = EngineFailed("not_loaded", Ran.NO, status=404)
        self.assertEqual(expected, end)

    def test_old_fences_are_taken_where_set(self) -> None:
        self.fault(ignore_fences=True)
        self.engine.order(LoadOrder("m", "v2"), 9)
        old = self.engine.order(UnloadOrder("m", "v2"), 1)
        self.assertTrue(old.is_ok())

    def test_cache_events_follow_a_long_prompt(self) -> None:
        req = _generation("w " * 64)
        _read(self.engine.generate(req, DEADLINE_S))
        events = self.engine.cache_events(1)
        self.assertEqual([2, 3, 4], [e.sequence for e in events.ok])

    def test_nobody_listens(self) -> None:
        with socket.socket() as bound:
            bound.bind((HOST, 0))
            engine = HttpModelEngine(f"{HOST}:{bound.getsockname()[1]}")
            _, end = _read(engine.generate(_generation("a"), DEADLINE_S))
        reason = "no connection: ConnectionRefusedError"
        self.assertEqual(EngineFailed(reason, Ran.NO), end)


class WrongPeerTest(unittest.TestCase):
    """A peer that breaks the protocol on the raw socket."""

    def answer(self, payload: bytes) -> EngineFailed | Finished | None:
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            conn, _ = listener.accept()
            with conn, conn.makefile("rb") as sent:
                # A close with unread bytes would reset the connection.
                sent.readline()
                length = http.client.parse_headers(sent)["Content-Length"]
                sent.read(int(length))
                conn.sendall(payload)

        thread = threading.Thread(target=serve)
        thread.start()
        self.addCleanup(thread.join)
        port = listener.getsockname()[1]
        engine = HttpModelEngine(f"{HOST}:{port}")
        return _read(engine.generate(_generation("a"), DEADLINE_S))[1]

    def test_broken_answers(self) -> None:
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
                self.assertEqual(expected, self.answer(payload))
