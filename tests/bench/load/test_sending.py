"""Tests of the open loop and of the callers that the bench plays."""

from __future__ import annotations

import json
import logging
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.bench.load.direct_sender import BASELINES, DirectSender
from mulberrypass.bench.load.entry_sender import EntrySender
from mulberrypass.bench.load.open_loop import (
    Answered,
    LoadPlan,
    Outcome,
    Outgoing,
    Sample,
    Sender,
    prompt_of,
    send_all,
)
from mulberrypass.bench.load.workload import Arrival, Size
from mulberrypass.model.outcome import Ran
from mulberrypass.runtime.http import (
    Problem,
    Route,
    Streamed,
    WsgiApp,
    json_answer,
)
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.testing.engine_http import EngineOptions, FakeEngine
from mulberrypass.testing.engine_tokens import expected_tokens

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.runtime.http import Reply, Request

HOST = "127.0.20.5"
SIZE = Size(4, 3)


def _plan(count: int) -> LoadPlan:
    arrivals = tuple(Arrival(0.0, SIZE, "firm-a") for _ in range(count))
    return LoadPlan(arrivals, warm_s=0.0)


class _FixedSender(Sender):
    def __init__(self, answers: dict[int, Answered]) -> None:
        self._answers = answers

    def send(self, req: Outgoing) -> Answered:
        return self._answers[req.index]


class OpenLoopTest(unittest.TestCase):
    def test_latency_counts_from_the_intended_time(self) -> None:
        tokens = expected_tokens(
            prompt_of(Arrival(0, SIZE, "firm-a"), 0), 0, 3
        )
        start = time.monotonic() - 5.0
        answers = {0: Answered(tokens, [start + 7.0, start + 7.5])}
        (sample,) = send_all(_plan(1), _FixedSender(answers), start, 0, 1)
        self.assertAlmostEqual(7.0, sample.first_s)
        self.assertAlmostEqual(0.5, sample.gaps_s[0])
        self.assertGreaterEqual(sample.total_s, 5.0)
        self.assertFalse(sample.wrong)

    def test_answers_are_checked(self) -> None:
        prompt = prompt_of(Arrival(0, SIZE, "firm-a"), 0)
        whole = expected_tokens(prompt, 0, 3)
        for answered, wrong, kind in (
            (Answered(whole, [0.0]), False, ""),
            (Answered(whole[:2], [0.0]), True, ""),
            (Answered((*whole[:2], "x"), [0.0]), True, ""),
            (Answered(refused=True), False, "refused"),
            (Answered(error="cut"), False, "cut"),
        ):
            with self.subTest(answered=answered):
                sender = _FixedSender({0: answered})
                (sample,) = send_all(_plan(1), sender, 0.0, 0, 1)
                self.assertEqual((wrong, kind), (sample.wrong, sample.kind))

    def test_parts_send_each_request_once(self) -> None:
        plan = _plan(5)
        sender = _FixedSender({n: Answered() for n in range(5)})
        sent = [
            sample.index
            for part in range(2)
            for sample in send_all(plan, sender, 0.0, part, 2)
        ]
        self.assertEqual([0, 1, 2, 3, 4], sorted(sent))

    def test_only_what_is_asked_is_measured(self) -> None:
        arrivals = tuple(
            Arrival(at, Size(1, tokens), customer)
            for at, tokens, customer in (
                (0.5, 1, "a"),
                (2.0, 1, "a"),
                (2.0, 90, "a"),
                (2.0, 1, "b"),
                (3.0, 1, "a"),
            )
        )
        plan = LoadPlan(arrivals, 5.0, 1.0, ("a",), 4, 80)
        samples = [
            Sample(i, a.at, a.customer, 1.0, first_s=1.0)
            for i, a in enumerate(arrivals)
        ]
        self.assertEqual(1, Outcome(plan, samples).recorder().done)


class DirectSenderTest(unittest.TestCase):
    def test_each_baseline_gets_whole_answers(self) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        options = EngineOptions(time_scale=0.02, threads=16)
        served = FakeEngine(options).serve(HOST, 0)
        self.addCleanup(served.stop)
        for name in BASELINES:
            with self.subTest(name=name):
                sender = DirectSender([f"{HOST}:{served.port}"], 2, name)
                samples = send_all(_plan(6), sender, 0.0, 0, 1)
                sender.close()
                self.assertEqual(
                    [("", False)] * 6, [(s.kind, s.wrong) for s in samples]
                )


class EntrySenderTest(unittest.TestCase):
    """A caller against a server that plays the entry program."""

    def setUp(self) -> None:
        self.replies: list[Reply] = []
        app = WsgiApp(
            (
                Route("GET", "/v1/addresses", self._addresses),
                Route("POST", "/v1/services/{service}/requests", self._post),
            )
        )
        self.server = HttpServer(app, HOST, 0, 4, 100_000)
        self.server.start()
        self.addCleanup(self.server.stop, 1.0)
        self.address = f"{HOST}:{self.server.port}"

    def _addresses(self, _req: Request) -> Reply:
        entry = {"address": self.address, "zone": "z"}
        return json_answer({"ttl_s": 10, "addresses": [entry]})

    def _post(self, _req: Request) -> Reply:
        return self.replies.pop(0)

    def send(self, *replies: Reply) -> Answered:
        self.replies = list(replies)
        sender = EntrySender([self.address], ["firm-a"])
        self.addCleanup(sender.close)
        arrival = Arrival(0.0, SIZE, "firm-a")
        req = Outgoing(0, arrival, "a b", time.monotonic(), 20.0)
        return sender.send(req)

    def test_what_comes_back(self) -> None:
        busy = Problem(503, "instance_busy", "", Ran.NO)
        late = Problem(503, "deadline", "", Ran.NO)
        maybe = Problem(502, "engine_failed", "", Ran.MAYBE)
        whole = Answered(("x", "y", "z"))
        cut = "cut: ended without its last event"
        for replies, expected in (
            ((_stream("done"),), whole),
            ((busy, _stream("done")), whole),
            ((late,), Answered(refused=True)),
            ((maybe,), Answered(error="problem: engine_failed")),
            ((_stream("error"),), Answered(error="error event: x")),
            ((_stream(""),), Answered(error=cut)),
        ):
            with self.subTest(expected=expected):
                answered = self.send(*replies)
                shown = (answered.refused, answered.error)
                self.assertEqual((expected.refused, expected.error), shown)
                if not expected.error:
                    self.assertEqual(expected.tokens, answered.tokens)


def _stream(last: str) -> Streamed:
    def chunks() -> Iterator[bytes]:
        yield _event("tokens", {"tokens": ["x"]})
        yield _event("tokens", {"tokens": ["y", "z"]})
        if last:
            yield _event(last, {"code": "x"})

    return Streamed(chunks(), "text/event-stream")


def _event(name: str, doc: dict[str, object]) -> bytes:
    return f"event: {name}\ndata: {json.dumps(doc)}\n\n".encode()
