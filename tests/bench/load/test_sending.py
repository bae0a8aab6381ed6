"""Tests of the open loop and of the senders."""

from __future__ import annotations

import json
import logging
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.bench.load.direct_sender import BASELINES, DirectSender
from mulberrypass.bench.load.entry_sender import EntrySender
from mulberrypass.bench.load.open_loop import (
    LoadOutcome,
    LoadPlan,
    OutgoingRequest,
    RequestResult,
    Sample,
    Sender,
    make_prompt,
    send_all,
)
from mulberrypass.bench.load.workload import Arrival, RequestSize
from mulberrypass.model.outcome import Ran
from mulberrypass.runtime.http import (
    HttpRoute,
    Problem,
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
SIZE = RequestSize(4, 3)


def _plan(count: int) -> LoadPlan:
    arrivals = tuple(Arrival(0.0, SIZE, "firm-a") for _ in range(count))
    return LoadPlan(arrivals, warm_up_s=0.0)


class _FixedSender(Sender):
    def __init__(self, answers: dict[int, RequestResult]) -> None:
        self._answers = answers

    def send(self, req: OutgoingRequest) -> RequestResult:
        return self._answers[req.index]


class OpenLoopTest(unittest.TestCase):
    def test_latency_is_measured_from_the_intended_time(self) -> None:
        tokens = expected_tokens(
            make_prompt(Arrival(0, SIZE, "firm-a"), 0), 0, 3
        )
        start = time.monotonic() - 5.0
        answers = {0: RequestResult(tokens, [start + 7.0, start + 7.5])}
        (sample,) = send_all(_plan(1), _FixedSender(answers), start, 0, 1)
        self.assertAlmostEqual(7.0, sample.first_s)
        self.assertAlmostEqual(0.5, sample.gaps_s[0])
        self.assertGreaterEqual(sample.total_s, 5.0)
        self.assertFalse(sample.wrong)

    def test_answers_are_verified(self) -> None:
        prompt = make_prompt(Arrival(0, SIZE, "firm-a"), 0)
        complete = expected_tokens(prompt, 0, 3)
        for result, wrong, failure in (
            (RequestResult(complete, [0.0]), False, ""),
            (RequestResult(complete[:2], [0.0]), True, ""),
            (RequestResult((*complete[:2], "x"), [0.0]), True, ""),
            (RequestResult(refused=True), False, "refused"),
            (RequestResult(error="cut"), False, "cut"),
        ):
            with self.subTest(result=result):
                sender = _FixedSender({0: result})
                (sample,) = send_all(_plan(1), sender, 0.0, 0, 1)
                self.assertEqual(
                    (wrong, failure), (sample.wrong, sample.failure)
                )

    def test_parts_send_each_request_once(self) -> None:
        plan = _plan(5)
        sender = _FixedSender({n: RequestResult() for n in range(5)})
        sent = [
            sample.index
            for part in range(2)
            for sample in send_all(plan, sender, 0.0, part, 2)
        ]
        self.assertEqual([0, 1, 2, 3, 4], sorted(sent))

    def test_only_requests_within_the_limits_are_measured(self) -> None:
        arrivals = tuple(
            Arrival(at, RequestSize(1, tokens), customer)
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
        self.assertEqual(1, LoadOutcome(plan, samples).recorder().done)


class DirectSenderTest(unittest.TestCase):
    def test_each_baseline_receives_complete_answers(self) -> None:
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
                    [("", False)] * 6, [(s.failure, s.wrong) for s in samples]
                )


class EntrySenderTest(unittest.TestCase):
    """EntrySender against a server that imitates the entry program."""

    def setUp(self) -> None:
        self.replies: list[Reply] = []
        app = WsgiApp(
            (
                HttpRoute("GET", "/v1/addresses", self._addresses),
                HttpRoute(
                    "POST", "/v1/services/{service}/requests", self._post
                ),
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

    def send(self, *replies: Reply) -> RequestResult:
        self.replies = list(replies)
        sender = EntrySender([self.address], ["firm-a"])
        self.addCleanup(sender.close)
        arrival = Arrival(0.0, SIZE, "firm-a")
        req = OutgoingRequest(0, arrival, "a b", time.monotonic(), 20.0)
        return sender.send(req)

    def test_results_by_kind_of_answer(self) -> None:
        busy = Problem(503, "instance_busy", "", Ran.NO)
        late = Problem(503, "deadline", "", Ran.NO)
        maybe = Problem(502, "engine_failed", "", Ran.MAYBE)
        complete = RequestResult(("x", "y", "z"))
        cut = "cut: ended without its last event"
        for replies, expected in (
            ((_stream("done"),), complete),
            ((busy, _stream("done")), complete),
            ((late,), RequestResult(refused=True)),
            ((maybe,), RequestResult(error="problem: engine_failed")),
            ((_stream("error"),), RequestResult(error="error event: x")),
            ((_stream(""),), RequestResult(error=cut)),
        ):
            with self.subTest(expected=expected):
                result = self.send(*replies)
                actual = (result.refused, result.error)
                self.assertEqual((expected.refused, expected.error), actual)
                if not expected.error:
                    self.assertEqual(expected.tokens, result.tokens)


def _stream(last: str) -> Streamed:
    def chunks() -> Iterator[bytes]:
        yield _event("tokens", {"tokens": ["x"]})
        yield _event("tokens", {"tokens": ["y", "z"]})
        if last:
            yield _event(last, {"code": "x"})

    return Streamed(chunks(), "text/event-stream")


def _event(name: str, doc: dict[str, object]) -> bytes:
    return f"event: {name}\ndata: {json.dumps(doc)}\n\n".encode()
