"""Tests of the HTTP handlers of online requests."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from typing import TYPE_CHECKING, Any
import unittest

from expression import Ok

from mulberrypass.caller.online_body import MAX_BODY_BYTES
from mulberrypass.engine.api import Finished, Tokens
from mulberrypass.policy.messages import RefusalReason, Refuse
from mulberrypass.runtime.http import (
    Answer,
    HttpRoute,
    Problem,
    Streamed,
    WsgiApp,
)
from mulberrypass.runtime.http_server import HttpServer
from tests.caller.harness import VALID_BODY, OnlineHarness
from tests.online.fakes import BROKEN, ScriptedEngine

if TYPE_CHECKING:
    from mulberrypass.runtime.http import Reply
    from tests.online.fakes import Script


def document(reply: Reply) -> dict[str, Any]:
    if isinstance(reply, Problem):
        return reply.document()
    assert isinstance(reply, Answer)
    value: dict[str, Any] = json.loads(reply.body)
    return value


def sse(reply: Reply) -> list[tuple[str, dict[str, Any]]]:
    assert isinstance(reply, Streamed)
    text = b"".join(reply.chunks).decode()
    blocks = [block.split("\n") for block in text.strip().split("\n\n")]
    return [(b[0][7:], json.loads(b[1][6:])) for b in blocks]


class OnlineCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = OnlineHarness()
        self.addCleanup(self.harness.executor.shutdown)

    def test_invalid_requests_have_specific_errors(self) -> None:
        rows: tuple[tuple[int, str, dict[str, Any]], ...] = (
            (400, "not_json", {"body": b"{"}),
            (400, "not_json", {"body": b"\xff\xfe"}),
            (400, "not_json", {"body": b"[" * 100_000}),
            (400, "bad_field", {"body": b"[1]"}),
            (400, "bad_field", {"body": b"{}"}),
            (400, "bad_field", {"body": b'{"input": 7}'}),
            (400, "bad_field", {"body": b'{"input": " "}'}),
            (400, "bad_field", {"body": b'{"input": "a", "more": 1}'}),
            (400, "bad_field", {"body": b'{"input":"a","max_tokens":"9"}'}),
            (400, "bad_field", {"body": b'{"input":"a","max_tokens":0}'}),
            (400, "bad_field", {"body": b'{"input":"a","max_tokens":9}'}),
            (400, "cut_body", {"length": 99}),
            (400, "bad_header", {"request_timeout_ms": "soon"}),
            (400, "bad_header", {"request_timeout_ms": "0"}),
            (400, "bad_header", {"idempotency_key": "a b"}),
            (400, "bad_header", {"idempotency_key": "x" * 201}),
            (401, "unknown_key", {"key": "key-c"}),
            (401, "unknown_key", {"key": "key-old"}),
            (404, "no_such_service", {"service": "none"}),
            (404, "no_such_service", {"service": "private"}),
            (
                400,
                "bad_field",
                {"service": "booking", "body": b'{"input":1,"stream":true}'},
            ),
            (
                400,
                "bad_field",
                {"service": "slip", "body": b'{"input":"a","stream":true}'},
            ),
        )
        for status, code, given in rows:
            with self.subTest(code=code, given=str(given)[:60]):
                reply = self.harness.post(**given)
                assert isinstance(reply, Problem)
                self.assertEqual((status, code), (reply.status, reply.code))
                self.assertEqual("no", reply.document()["ran"])
        self.assertEqual([], self.harness.permits.asks)
        self.assertEqual({}, self.harness.shares.state())

    def test_plain_answer(self) -> None:
        answer = document(self.harness.post())
        self.assertEqual("a b", answer["output"])
        self.assertEqual(2, answer["tokens"])

    def test_stream_is_complete_and_releases_its_thread(self) -> None:
        reply = self.harness.post(b'{"input": "a", "stream": true}')
        self.assertEqual({"firm-a": 1}, self.harness.shares.state())
        events = sse(reply)
        self.assertEqual(["tokens", "done"], [name for name, _ in events])
        self.assertEqual(["a", "b"], events[0][1]["tokens"])
        assert isinstance(reply, Streamed)
        reply.chunks.close()  # type: ignore[attr-defined]
        self.assertEqual({}, self.harness.shares.state())

    def test_failed_stream_ends_with_an_error_event(self) -> None:
        script: Script = [Tokens(0, ("a",)), BROKEN]
        self.harness.backends.engines["e-1"] = ScriptedEngine([script])
        events = sse(self.harness.post(b'{"input": "a", "stream": true}'))
        self.assertEqual(["tokens", "error"], [name for name, _ in events])
        self.assertEqual("maybe", events[1][1]["ran"])

    def test_refused_stream_is_a_problem_answer(self) -> None:
        refuse = Refuse("", RefusalReason.CUSTOMER_LIMIT, 0.3)
        self.harness.permits.answers = [refuse]
        reply = self.harness.post(b'{"input": "a", "stream": true}')
        assert isinstance(reply, Problem)
        self.assertEqual(429, reply.status)
        self.assertEqual("no", reply.document()["ran"])
        self.assertEqual({}, self.harness.shares.state())

    def test_one_customer_cannot_hold_all_threads(self) -> None:
        harness = OnlineHarness(threads=4)
        self.addCleanup(harness.executor.shutdown)
        stream = b'{"input": "a", "stream": true}'
        first = [harness.post(stream) for _ in range(3)]
        self.assertIsInstance(first[0], Streamed)
        refused = first[2]
        assert isinstance(refused, Problem)
        self.assertEqual("instance_busy", refused.code)
        self.assertIsInstance(harness.post(key="key-b"), Answer)

    def test_recorded_result_is_visible_to_its_customer_only(self) -> None:
        reply = self.harness.post(service="slip", idempotency_key="k1")
        request_id = document(reply)["request_id"]
        own = document(self.harness.get(request_id, "key-a"))
        self.assertEqual(("done", "a b"), (own["state"], own["output"]))
        for key, status in (("key-b", 404), ("none", 401)):
            other = self.harness.get(request_id, key)
            assert isinstance(other, Problem)
            self.assertEqual(status, other.status)

    def test_idempotency_keys_are_scoped_to_customers(self) -> None:
        ids = {
            document(
                self.harness.post(
                    service="slip", key=key, idempotency_key="k1"
                )
            )["request_id"]
            for key in ("key-a", "key-b")
        }
        self.assertEqual(2, len(ids))

    def test_asynchronous_request_is_accepted_and_completes(self) -> None:
        reply = self.harness.post(service="slip", prefer="respond-async")
        assert isinstance(reply, Answer)
        self.assertEqual(202, reply.status)
        request_id = document(reply)["request_id"]
        self.harness.runners.shutdown()
        own = document(self.harness.get(request_id, "key-a"))
        self.assertEqual("done", own["state"])


class SlowCallerTest(unittest.TestCase):
    """Slow or disconnected callers don't affect other callers."""

    def setUp(self) -> None:
        self.harness = OnlineHarness()
        self.addCleanup(self.harness.executor.shutdown)
        path = "/v1/services/{service}/requests"
        app = WsgiApp((HttpRoute("POST", path, self.harness.post_handler),))
        self.server = HttpServer(app, "127.0.0.1", 0, 1, MAX_BODY_BYTES)
        self.server.start()
        self.addCleanup(self.server.stop, 5.0)

    def post(self) -> int:
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        self.addCleanup(conn.close)
        headers = {"Authorization": "Bearer key-a"}
        conn.request("POST", "/v1/services/dock/requests", VALID_BODY, headers)
        return conn.getresponse().status

    def test_slow_senders_occupy_no_thread(self) -> None:
        head = b"POST /v1/services/dock/requests HTTP/1.1\r\n"
        part = head + b"Content-Length: 100\r\n\r\n{"
        for sent in (b"", head, part):
            sock = socket.create_connection(("127.0.0.1", self.server.port))
            self.addCleanup(sock.close)
            sock.sendall(sent)
        self.assertEqual(200, self.post())

    def test_disconnect_cancels_the_stream(self) -> None:
        pause = threading.Event()

        class EndlessEngine(ScriptedEngine):
            def generate(self, req: Any, deadline_s: float) -> Any:
                offset = 0
                while not self.cancelled:
                    yield Ok(Tokens(offset, ("a",)))
                    offset += 1
                    pause.wait(0.001)
                yield Ok(Finished("cancelled", offset))

        engine = EndlessEngine()
        self.harness.backends.engines["e-1"] = engine
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        headers = {"Authorization": "Bearer key-a"}
        body = b'{"input": "a", "stream": true}'
        conn.request("POST", "/v1/services/dock/requests", body, headers)
        resp = conn.getresponse()
        resp.read(1)
        resp.close()
        conn.close()
        self.harness.backends.engines["e-1"] = ScriptedEngine()
        self.assertEqual(200, self.post())
        self.harness.executor.shutdown()
        self.assertEqual(1, len(engine.cancelled))
